package workload

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
)

// Reply is the answer of a worker to any request, with the lists that only RenewLease returns.
type Reply struct {
	Answer
	Running []RunStatus
	Ended   []EndedRun
}

// HeaderOf returns the header of a request to a worker, and whether an action is such a request.
func HeaderOf(a kernel.Action) (RequestHeader, bool) {
	switch a := a.(type) {
	case RenewLease:
		return a.RequestHeader, true
	case StartRun:
		return a.RequestHeader, true
	case StopRun:
		return a.RequestHeader, true
	case ThrottleRun:
		return a.RequestHeader, true
	}
	return RequestHeader{}, false
}

// WithHeader returns a request to a worker with another header. Other actions are returned unchanged.
func WithHeader(a kernel.Action, h RequestHeader) kernel.Action {
	switch a := a.(type) {
	case RenewLease:
		a.RequestHeader = h
		return a
	case StartRun:
		a.RequestHeader = h
		return a
	case StopRun:
		a.RequestHeader = h
		return a
	case ThrottleRun:
		a.RequestHeader = h
		return a
	}
	return a
}

// TimeoutOf returns how long the answer to a request to a worker is waited for.
func TimeoutOf(a kernel.Action) time.Duration {
	if renewal, ok := a.(RenewLease); ok {
		return renewal.Wait + RequestTimeout
	}
	return RequestTimeout
}

// ResultOf returns the event that tells the result of a request to a worker, nil for another action.
func ResultOf(a kernel.Action, r Reply) kernel.Event {
	switch a := a.(type) {
	case RenewLease:
		return RenewLeaseResult{Request: a, Answer: r.Answer, Running: r.Running, Ended: r.Ended}
	case StartRun:
		return StartRunResult{Request: a, Answer: r.Answer}
	case StopRun:
		return StopRunResult{Request: a, Answer: r.Answer}
	case ThrottleRun:
		return ThrottleRunResult{Request: a, Answer: r.Answer}
	}
	return nil
}
