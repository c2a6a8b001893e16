package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer"
	"github.com/hibiscusroute/hibiscusroute/internal/relay/relaypb"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
)

const (
	// StreamKind is the kind of the streams from the leader to a relay.
	StreamKind = "relay"
	// pingInterval is the longest time between two reports of a relay.
	pingInterval = 100 * time.Millisecond
	// flushInterval is the shortest time between two frames in a direction, so that requests and answers share frames.
	flushInterval = 8 * time.Millisecond
	// maxFrameAge is how old the newest ping that the leader knew may be when a request is sent. It bounds the time for
	// which a relay or a frame may be held up.
	maxFrameAge = 800 * time.Millisecond
	// maxReportBytes is the size above which a report is split, far below the largest frame between processes. An answer
	// of a worker takes at most 70 KB.
	maxReportBytes = 256 << 10
)

// ServerConfig holds the settings of a server.
type ServerConfig struct {
	// CallWorker sends a request to a worker and returns the answer without times.
	CallWorker func(ctx context.Context, a kernel.Action) workload.Reply
	// Term returns the newest term of the control group that this process knows.
	Term func() uint64
	// BootTime returns the nanoseconds of a monotonic clock that also runs while the machine is suspended.
	BootTime func() int64
	Log      logr.Logger
}

// Server sends the requests of the leader to workers.
type Server struct {
	cfg ServerConfig

	mu   sync.Mutex
	term uint64 // the newest one of a frame
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Serve serves the stream of a leader.
func (s *Server) Serve(ctx context.Context, from string, stream *peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := &outbox[*relaypb.Answer]{}
	answers.init()
	go func() {
		defer cancel()
		if err := s.report(ctx, stream, answers); err != nil && ctx.Err() == nil {
			s.cfg.Log.Info("failed to report to the leader; closing the stream", "leader", from, "reason", err.Error())
			_ = stream.Close() // The stream is not used again.
		}
	}()
	for {
		f := &relaypb.Frame{}
		if err := stream.Receive(f); err != nil {
			return err
		}
		reason := s.rejection(f)
		if reason != "" {
			s.cfg.Log.Info("withheld requests of the leader", "leader", from, "reason", reason, "requests", len(f.Requests))
		}
		for _, m := range f.Requests {
			if reason != "" {
				answers.add(withheld(m))
				continue
			}
			a, err := decodeRequest(f, m)
			if err != nil {
				s.cfg.Log.Info("withheld a malformed request of the leader", "leader", from, "reason", err.Error())
				answers.add(withheld(m))
				continue
			}
			go s.send(ctx, f, m.Number, a, answers)
		}
	}
}

// send sends a request unless its permission has run out since its frame was received.
func (s *Server) send(
	ctx context.Context, f *relaypb.Frame, number uint64, a kernel.Action, answers *outbox[*relaypb.Answer],
) {
	r := workload.Reply{Answer: workload.Answer{Outcome: workload.Withheld}}
	if s.rejection(f) == "" {
		// The leader waits for as long as if it had sent the request itself.
		callCtx, cancel := context.WithTimeout(ctx, workload.TimeoutOf(a)-s.ageOf(f))
		r = s.cfg.CallWorker(callCtx, a)
		cancel()
	}
	answers.add(encodeAnswer(number, r))
}

func withheld(m *relaypb.Request) *relaypb.Answer {
	return &relaypb.Answer{Number: m.GetNumber(), Outcome: int32(workload.Withheld)}
}

// rejection returns why the requests of a frame must not be sent now, empty if they may. The leader has built the frame
// after its ping, so its permission is at most as old as the ping and the leader's confirmation together.
func (s *Server) rejection(f *relaypb.Frame) string {
	s.mu.Lock()
	s.term = max(s.term, f.Term)
	term := s.term
	s.mu.Unlock()
	age := s.ageOf(f)
	switch {
	case f.Term < max(term, s.cfg.Term()):
		return "a later leader is known"
	case f.Ping == 0 || age < 0 || age > maxFrameAge:
		return "the frame was held up"
	case f.ConfirmationAge < 0 || age+time.Duration(f.ConfirmationAge) >= workload.MaxConfirmationAge:
		return "the confirmation of the leader is too old"
	}
	return ""
}

// ageOf returns how old a frame is at most.
func (s *Server) ageOf(f *relaypb.Frame) time.Duration {
	return time.Duration(s.cfg.BootTime() - f.Ping)
}

// report sends the answers and pings until ctx is done.
func (s *Server) report(ctx context.Context, stream *peer.Stream, answers *outbox[*relaypb.Answer]) error {
	for ctx.Err() == nil {
		m := &relaypb.Report{Ping: s.cfg.BootTime()}
		size := 0
		for _, a := range answers.take() {
			if size += answerBytes(a); size > maxReportBytes && len(m.Answers) > 0 {
				if err := stream.Send(m); err != nil {
					return err
				}
				m, size = &relaypb.Report{Ping: s.cfg.BootTime()}, answerBytes(a)
			}
			m.Answers = append(m.Answers, a)
		}
		if err := stream.Send(m); err != nil {
			return err
		}
		answers.wait(ctx, pingInterval)
	}
	return nil
}

// answerBytes estimates the encoded size of an answer from above.
func answerBytes(a *relaypb.Answer) int {
	n := requestBytes
	for _, r := range a.Running {
		n += requestBytes + len(r.Checkpoint)
	}
	for _, r := range a.Ended {
		n += requestBytes + len(r.Checkpoint)
	}
	return n
}
