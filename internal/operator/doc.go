// Package operator provides the HTTP API with which operators change and monitor hibiscusroute, and its Go client.
//
// Every change carries an operation ID in the header Hibiscusroute-Operation-Id. The server responds with status 504
// when the outcome of a change is unknown. The change can then be resent with the same ID: it is applied at most once
// and gets the same response. The client resends such changes automatically.
//
// Errors are JSON objects; see Error.
package operator
