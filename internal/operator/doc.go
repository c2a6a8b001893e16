// Package operator is the HTTP API through which operators change and watch hibiscusroute, and its Go client.
//
// Every change carries an operation ID in the header Hibiscusroute-Operation-Id. A change whose outcome is unknown is
// answered with status 504 and can be resent with the same ID: it is applied at most once and gets the same answer. The
// client resends by itself.
//
// Errors are JSON objects, see Error.
package operator
