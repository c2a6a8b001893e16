package relay_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/relay"
	"github.com/hibiscusroute/hibiscusroute/internal/relay/relaypb"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// manyRequests is a number of requests from which on relays are used.
const manyRequests = 500

// fakeRelay is a control process that relays the requests of a leader.
type fakeRelay struct {
	transport *peer.Transport
	stop      context.CancelFunc
	term      atomic.Uint64
	// suspended is the time for which the machine was suspended.
	suspended atomic.Int64

	mu   sync.Mutex
	sent []kernel.Action
	// answer answers requests; it may be nil.
	answer func(a kernel.Action) workload.Reply
}

func startTransport(t *testing.T, name string, handle func(tr *peer.Transport)) (*peer.Transport, context.CancelFunc) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tr, err := peer.New(peer.Config{Name: name, Listener: ln, Log: logr.Discard()})
	assert.NilError(t, err)
	handle(tr)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return tr, cancel
}

func startRelay(t *testing.T) *fakeRelay {
	t.Helper()
	f := &fakeRelay{}
	started := time.Now()
	server := relay.NewServer(relay.ServerConfig{
		CallWorker: func(_ context.Context, a kernel.Action) workload.Reply {
			f.mu.Lock()
			f.sent = append(f.sent, a)
			answer := f.answer
			f.mu.Unlock()
			if answer != nil {
				return answer(a)
			}
			return workload.Reply{Answer: workload.Answer{Outcome: workload.Accepted, ClockMs: 7}}
		},
		Term:     f.term.Load,
		BootTime: func() int64 { return 1 + int64(time.Since(started)) + f.suspended.Load() },
		Log:      logr.Discard(),
	})
	f.transport, f.stop = startTransport(t, "relay", func(tr *peer.Transport) { tr.Handle(relay.StreamKind, server.Serve) })
	return f
}

func (f *fakeRelay) sentRequests() []kernel.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]kernel.Action{}, f.sent...)
}

// leader routes requests in a term.
type leader struct {
	*relay.Router
	ctx context.Context

	// busy holds up the control loop while it is locked.
	busy sync.RWMutex

	mu     sync.Mutex
	events []kernel.Event
}

func startLeader(t *testing.T, term uint64, relays ...*fakeRelay) *leader {
	t.Helper()
	tr, _ := startTransport(t, "leader", func(*peer.Transport) {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &leader{ctx: ctx}
	started := time.Now()
	l.Router = relay.NewRouter(relay.RouterConfig{
		Open: func(ctx context.Context, address string) (*peer.Stream, error) {
			return tr.Open(ctx, address, relay.StreamKind)
		},
		Relays: func() []string {
			var list []string
			for _, f := range relays {
				list = append(list, f.transport.Address())
			}
			return list
		},
		Term:            func() uint64 { return term },
		ConfirmationAge: func() (time.Duration, bool) { return 0, true },
		Observe: func(ctx context.Context, events []kernel.Event) {
			l.busy.RLock()
			defer l.busy.RUnlock()
			if ctx.Err() != nil {
				return // The control loop takes nothing after its context.
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.events = append(l.events, events...)
		},
		Now: func() time.Duration { return time.Since(started) },
		Log: logr.Discard(),
	})
	return l
}

// connect routes requests until the relays take them.
func (l *leader) connect(t *testing.T) {
	t.Helper()
	waitFor(t, "relays", func() bool { return len(l.Route(l.ctx, stops(manyRequests))) == 0 })
	answers := 0
	waitFor(t, "answers", func() bool {
		answers += len(l.takeResults())
		return answers == manyRequests
	})
}

func (l *leader) takeResults() []kernel.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.events
	l.events = nil
	return list
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "still waiting for %s", what)
	}
}

func header(worker string) workload.RequestHeader {
	return workload.RequestHeader{
		Target:       workload.Target{Incarnation: 3, ID: worker, Address: "10.0.0.1:80", StartedMs: 44},
		FencingToken: 9, LeaseExpiryMs: 5000,
	}
}

func stops(n int) []kernel.Action {
	list := make([]kernel.Action, n)
	for i := range list {
		list[i] = workload.StopRun{RequestHeader: header("w"), Name: workload.RunName{Job: "j", Index: int32(i), Run: 1}}
	}
	return list
}

func outcomeOf(ev kernel.Event) workload.Outcome {
	switch ev := ev.(type) {
	case workload.StopRunResult:
		return ev.Outcome
	case workload.StartRunResult:
		return ev.Outcome
	}
	return -1
}

// Guards against requests and answers that lose a field on their way.
func TestRelayKeepsRequestsAndAnswers(t *testing.T) {
	name := workload.RunName{Job: "j", Occurrence: 1, Step: 2, Index: 3, Run: 4}
	reply := workload.Reply{
		Answer:  workload.Answer{Outcome: workload.Accepted, ClockMs: 12, Unattributed: true, Repeated: true, Closed: true},
		Running: []workload.RunStatus{{Name: name, Checkpoint: "c", Percent: 40, Load: 17}},
		Ended:   []workload.EndedRun{{Number: 5, Name: name, How: workloadpb.How_HOW_FAILED, Checkpoint: "d"}},
	}
	f := startRelay(t)
	f.answer = func(kernel.Action) workload.Reply { return reply }
	l := startLeader(t, 1, f)
	l.connect(t)
	for _, a := range []kernel.Action{
		workload.RenewLease{RequestHeader: header("w"), AckedEnd: 8, Wait: 1500 * time.Millisecond},
		workload.StartRun{RequestHeader: header("w"), Name: name, Spec: "text", Checkpoint: "c", Ticket: "t"},
		workload.StopRun{RequestHeader: header("w"), Name: name},
		workload.ThrottleRun{RequestHeader: header("w"), Name: name, Percent: 60},
	} {
		t.Run(a.ActionName(), func(t *testing.T) {
			assert.Equal(t, len(l.Route(l.ctx, []kernel.Action{a})), 0)
			var results []kernel.Event
			waitFor(t, "the answer", func() bool { results = append(results, l.takeResults()...); return len(results) > 0 })
			sent := f.sentRequests()
			assert.DeepEqual(t, sent[len(sent)-1], a)
			want := reply
			switch got := results[0].(type) {
			case workload.RenewLeaseResult:
				assert.DeepEqual(t, got.Running, want.Running)
				assert.DeepEqual(t, got.Ended, want.Ended)
				want.SentAt, want.EndedAt = got.SentAt, got.EndedAt
				assert.DeepEqual(t, got.Answer, want.Answer)
			case workload.StartRunResult:
				want.SentAt, want.EndedAt = got.SentAt, got.EndedAt
				assert.DeepEqual(t, got.Answer, want.Answer)
			}
		})
	}
}

// Guards against a relay that was paused and sends requests although another process may lead since.
func TestRelayWithholdsRequestsAfterPause(t *testing.T) {
	for _, tt := range []struct {
		name      string
		suspended time.Duration
		term      uint64
		want      workload.Outcome
	}{
		{"none", 0, 1, workload.Accepted},
		{"short", 300 * time.Millisecond, 1, workload.Accepted},
		{"long", 3 * time.Second, 1, workload.Withheld},
		{"later-leader", 0, 2, workload.Withheld},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := startRelay(t)
			l := startLeader(t, 1, f)
			l.connect(t)
			before := len(f.sentRequests())
			f.suspended.Store(int64(tt.suspended))
			f.term.Store(tt.term)
			// The leader has had no ping since the pause.
			assert.Equal(t, len(l.Route(l.ctx, stops(1))), 0)
			var results []kernel.Event
			waitFor(t, "the result", func() bool { results = append(results, l.takeResults()...); return len(results) > 0 })
			assert.Equal(t, outcomeOf(results[0]), tt.want)
			assert.Equal(t, len(f.sentRequests()) > before, tt.want == workload.Accepted)
		})
	}
}

// Guards against a former leader whose requests go out beside those of the next one through the same relay.
func TestRelayWithholdsRequestsOfFormerLeader(t *testing.T) {
	f := startRelay(t)
	former, next := startLeader(t, 1, f), startLeader(t, 2, f)
	former.connect(t)
	next.connect(t)
	before := len(f.sentRequests())
	former.Route(former.ctx, stops(1))
	var results []kernel.Event
	waitFor(t, "the result", func() bool { results = append(results, former.takeResults()...); return len(results) > 0 })
	assert.Equal(t, outcomeOf(results[0]), workload.Withheld)
	assert.Equal(t, len(f.sentRequests()), before)
}

// Guards against a request that is told not to have been sent although its relay has sent it, and against requests that
// stay without a result after their relay has ended.
func TestRequestsOfLostRelayHaveNoAnswer(t *testing.T) {
	f := startRelay(t)
	l := startLeader(t, 1, f)
	l.connect(t)
	block := make(chan struct{})
	defer close(block)
	f.mu.Lock()
	f.answer = func(kernel.Action) workload.Reply { <-block; return workload.Reply{} }
	f.mu.Unlock()
	before := len(f.sentRequests())
	l.Route(l.ctx, stops(10))
	waitFor(t, "the requests", func() bool { return len(f.sentRequests()) == before+10 })
	f.stop()
	var results []kernel.Event
	waitFor(t, "the results", func() bool { results = append(results, l.takeResults()...); return len(results) == 10 })
	for _, r := range results {
		assert.Equal(t, outcomeOf(r), workload.NoAnswer)
	}
	assert.Equal(t, len(l.Route(l.ctx, stops(manyRequests))), manyRequests, "a lost relay gets requests")
}

// Guards against a request that stays in flight for the rest of the term, because its result was dropped with the stream of its
// relay while the control loop was busy.
func TestResultOutlivesStreamOfRelay(t *testing.T) {
	f := startRelay(t)
	l := startLeader(t, 1, f)
	l.connect(t)
	before := len(f.sentRequests())
	l.busy.Lock()
	l.Route(l.ctx, stops(10))
	waitFor(t, "the requests", func() bool { return len(f.sentRequests()) == before+10 })
	time.Sleep(100 * time.Millisecond) // The answers arrive.
	f.stop()
	time.Sleep(100 * time.Millisecond) // The stream ends.
	l.busy.Unlock()
	results := 0
	waitFor(t, "the results", func() bool { results += len(l.takeResults()); return results == 10 })
}

// Guards against a worker that counts as lost because the relay that calls it is cut off from it.
func TestWorkerThatFailsThroughRelayIsCalledDirectly(t *testing.T) {
	f := startRelay(t)
	l := startLeader(t, 1, f)
	l.connect(t)
	f.mu.Lock()
	f.answer = func(kernel.Action) workload.Reply {
		return workload.Reply{Answer: workload.Answer{Outcome: workload.Unreachable}}
	}
	f.mu.Unlock()
	assert.Equal(t, len(l.Route(l.ctx, stops(1))), 0)
	waitFor(t, "direct requests", func() bool { return len(l.Route(l.ctx, stops(1))) == 1 })
}

// Guards against a malformed request that ends a relay, or that keeps the others of its frame from being sent.
func TestMalformedRequestIsWithheld(t *testing.T) {
	f := startRelay(t)
	tr, _ := startTransport(t, "leader", func(*peer.Transport) {})
	stream, err := tr.Open(t.Context(), f.transport.Address(), relay.StreamKind)
	assert.NilError(t, err)
	report := &relaypb.Report{}
	assert.NilError(t, stream.Receive(report))
	assert.NilError(t, stream.Send(&relaypb.Frame{Term: 1, Ping: report.Ping, Requests: []*relaypb.Request{
		{Number: 1, Kind: relaypb.Kind_KIND_START_RUN, Address: "a", Spec: 4},
		{Number: 2, Kind: relaypb.Kind_KIND_STOP_RUN},
		{Number: 3, Kind: 99, Address: "a"},
		{Number: 4, Kind: relaypb.Kind_KIND_STOP_RUN, Address: "a", Worker: "w"},
	}}))
	outcomes := map[uint64]int32{}
	for len(outcomes) < 4 {
		report := &relaypb.Report{}
		assert.NilError(t, stream.Receive(report))
		for _, a := range report.Answers {
			outcomes[a.Number] = a.Outcome
		}
	}
	withheld := int32(workload.Withheld)
	assert.DeepEqual(t, outcomes, map[uint64]int32{1: withheld, 2: withheld, 3: withheld, 4: int32(workload.Accepted)})
}

// Guards against a detour through other processes where the leader alone suffices.
func TestFewRequestsAreSentDirectly(t *testing.T) {
	f := startRelay(t)
	l := startLeader(t, 1, f)
	l.connect(t)
	waitFor(t, "direct requests", func() bool {
		time.Sleep(500 * time.Millisecond)
		return len(l.Route(l.ctx, stops(1))) == 1
	})
}
