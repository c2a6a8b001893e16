// Package site assembles the processes of a deployment that runs on workers of the users' platform: control processes,
// which replicate the state and schedule the jobs, and entry processes, which forward the calls of clients to the
// leader. The protocol of the platform is hidden behind dispatch.Port and the callers of Caller.Execute.
package site
