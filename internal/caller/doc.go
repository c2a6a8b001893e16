// Package caller serves callers: it authorises, queues and sends their requests and answers each exactly once.
package caller
