// Package caller serves callers over HTTP: it authorizes and queues their requests, sends them to endpoints and answers
// each exactly once. It also serves the job paths.
package caller
