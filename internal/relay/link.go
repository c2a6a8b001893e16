package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/relay/relaypb"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// readySilence is the longest time since a report of a relay at which it gets further requests. A relay that is short
	// of processor time reports late and is relieved so.
	readySilence = 6 * pingInterval
	// maxSilence is the time since a report after which the requests to a relay count as unanswered.
	maxSilence = time.Second
	// answerSlack is how much longer an answer may take through a relay than directly.
	answerSlack = 200 * time.Millisecond
	// reopenDelay is the time between attempts to open a stream.
	reopenDelay = 200 * time.Millisecond
	// maxQueueAge is the longest time that a request waits for its frame.
	maxQueueAge = 300 * time.Millisecond
	// requestBytes is the size of a request or of a row of an answer without the texts of variable length.
	requestBytes = 160
	// maxFrameBytes is the size above which the requests are split, far below the largest frame between processes.
	maxFrameBytes = 256 << 10
)

// request is a request on its way.
type request struct {
	number uint64
	action kernel.Action
	sentAt time.Duration // when the leader handed it over
}

// link is the leader's side of a stream to a relay.
type link struct {
	cfg *RouterConfig
	// ctx is that of the term. Results are passed on under it, as they outlive the stream that they came from.
	ctx     context.Context
	address string
	term    uint64
	// failed is called with the ID of a worker that doesn't answer the relay.
	failed func(worker string)
	queue  outbox[*request]

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]*request // sent in a frame
	ping       int64               // newest ping of the relay, 0 if none arrived on this stream
	reportedAt time.Duration
}

func newLink(
	ctx context.Context, cfg *RouterConfig, address string, term uint64, failed func(worker string),
) *link {
	l := &link{cfg: cfg, ctx: ctx, address: address, term: term, failed: failed, pending: map[uint64]*request{}}
	l.queue.init()
	return l
}

// isReady reports whether the relay gets requests.
func (l *link) isReady(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ping != 0 && now-l.reportedAt < readySilence
}

// run opens the stream again and again until the term ends.
func (l *link) run() {
	for l.ctx.Err() == nil {
		streamCtx, cancel := context.WithCancel(l.ctx)
		if stream, err := l.cfg.Open(streamCtx, l.address); err != nil {
			l.cfg.Log.V(1).Info("cannot open a stream to the relay", "address", l.address, "reason", err.Error())
		} else {
			err := l.serve(streamCtx, cancel, stream)
			_ = stream.Close() // The stream is not used again.
			if l.ctx.Err() == nil {
				l.cfg.Log.Info("stream to the relay ended", "address", l.address, "reason", err.Error())
			}
		}
		cancel()
		l.failAll()
		select {
		case <-l.ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// serve sends the queued requests until the stream fails or the relay is silent.
func (l *link) serve(ctx context.Context, cancel context.CancelFunc, stream *peer.Stream) error {
	opened := l.cfg.Now()
	received := make(chan error, 1)
	go func() {
		defer cancel()
		received <- l.receive(stream)
	}()
	for ctx.Err() == nil {
		if err := l.sendQueued(stream); err != nil {
			return err
		}
		if silent := l.expire(opened); silent {
			return errSilent.New("no report for %s", maxSilence)
		}
		l.queue.wait(ctx, pingInterval)
	}
	return <-received
}

// sendQueued sends the queued requests. Requests that may not be sent any more are withheld.
func (l *link) sendQueued(stream *peer.Stream) error {
	list := l.queue.take()
	if late := slices.DeleteFunc(slices.Clone(list), l.isFresh); len(late) > 0 {
		l.observe(late, workload.Withheld)
		list = slices.DeleteFunc(list, func(r *request) bool { return !l.isFresh(r) })
	}
	for len(list) > 0 {
		age, ok := l.cfg.ConfirmationAge()
		if !ok || age >= workload.MaxConfirmationAge {
			l.observe(list, workload.Withheld)
			return nil
		}
		b := &frameBuilder{}
		l.mu.Lock()
		b.frame.Term, b.frame.Ping, b.frame.ConfirmationAge = l.term, l.ping, int64(age)
		for len(list) > 0 && b.bytes < maxFrameBytes {
			r := list[0]
			list = list[1:]
			h, _ := workload.HeaderOf(r.action)
			h.ShortenLease(age)
			l.lastNumber++
			r.number = l.lastNumber
			l.pending[r.number] = r
			b.add(r.number, r.action, h)
		}
		l.mu.Unlock()
		if err := stream.Send(&b.frame); err != nil {
			l.queue.add(list...)
			return err
		}
	}
	return nil
}

func (l *link) isFresh(r *request) bool { return l.cfg.Now()-r.sentAt < maxQueueAge }

// observe tells the control loop that requests ended with an outcome and without an answer.
func (l *link) observe(list []*request, o workload.Outcome) {
	now := l.cfg.Now()
	events := make([]kernel.Event, 0, len(list))
	for _, r := range list {
		events = append(events, r.result(workload.Reply{Answer: workload.Answer{Outcome: o}}, now))
	}
	l.cfg.Observe(l.ctx, events)
}

// result returns the event that tells the control loop of a reply that arrived at a time.
func (r *request) result(reply workload.Reply, now time.Duration) kernel.Event {
	reply.SentAt, reply.EndedAt = r.sentAt, now
	return workload.ResultOf(r.action, reply)
}

// receive passes the answers in the reports of the relay to the control loop.
func (l *link) receive(stream *peer.Stream) error {
	for {
		m := &relaypb.Report{}
		if err := stream.Receive(m); err != nil {
			return err
		}
		now := l.cfg.Now()
		var events []kernel.Event
		l.mu.Lock()
		l.ping, l.reportedAt = m.Ping, now
		for _, a := range m.Answers {
			r := l.pending[a.GetNumber()]
			if r == nil {
				continue // It has counted as unanswered.
			}
			delete(l.pending, a.Number)
			reply := decodeAnswer(a)
			if reply.Outcome == workload.NoAnswer || reply.Outcome == workload.Unreachable {
				l.noteFailure(r)
			}
			events = append(events, r.result(reply, now))
		}
		l.mu.Unlock()
		if len(events) > 0 {
			// A busy control loop must not hold up the pings, or the relay would be relieved in favour of the leader.
			go l.cfg.Observe(l.ctx, events)
		}
	}
}

func (l *link) noteFailure(r *request) {
	h, _ := workload.HeaderOf(r.action)
	l.failed(h.ID)
}

// expire ends the requests whose answers are overdue, and reports whether the relay is silent.
func (l *link) expire(opened time.Duration) (silent bool) {
	now := l.cfg.Now()
	l.mu.Lock()
	var overdue []*request
	for n, r := range l.pending {
		if now-r.sentAt > workload.TimeoutOf(r.action)+answerSlack {
			delete(l.pending, n)
			l.noteFailure(r)
			overdue = append(overdue, r)
		}
	}
	silent = now-max(l.reportedAt, opened) > maxSilence
	l.mu.Unlock()
	if len(overdue) > 0 {
		l.observe(overdue, workload.NoAnswer)
	}
	return silent
}

// failAll ends all requests of a stream that has failed. Those that were in a frame may be carried out.
func (l *link) failAll() {
	queued := l.queue.take()
	l.mu.Lock()
	l.ping = 0
	sent := make([]*request, 0, len(l.pending))
	for _, r := range l.pending {
		sent = append(sent, r)
	}
	l.pending = map[uint64]*request{}
	l.mu.Unlock()
	if l.ctx.Err() != nil {
		return // The term has ended.
	}
	l.observe(queued, workload.Withheld)
	l.observe(sent, workload.NoAnswer)
}
