// Package endpoint keeps track of the endpoints that announce themselves, selects one for each request and sends it.
package endpoint
