// Package endpoint tracks the endpoints that announce themselves, selects an endpoint for each request and sends the
// request to it.
package endpoint
