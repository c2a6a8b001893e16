package relay

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/relay/relaypb"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

var errMalformed = errorx.NewNamespace("relay").NewType("malformed")

func encodeRun(n workload.RunName) *relaypb.Run {
	return &relaypb.Run{Job: n.Job, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index, Run: n.Run}
}

func decodeRun(m *relaypb.Run) workload.RunName {
	return workload.RunName{
		Job: m.GetJob(), Occurrence: m.GetOccurrence(), Step: m.GetStep(), Index: m.GetIndex(), Run: m.GetRun(),
	}
}

// frameBuilder builds a frame in which requests share the specifications of their jobs.
type frameBuilder struct {
	frame relaypb.Frame
	specs map[string]uint32
	bytes int
}

func (b *frameBuilder) specIndex(spec string) uint32 {
	i, ok := b.specs[spec]
	if !ok {
		if b.specs == nil {
			b.specs = map[string]uint32{}
		}
		i = uint32(len(b.frame.Specs))
		b.specs[spec] = i
		b.frame.Specs = append(b.frame.Specs, spec)
		b.bytes += len(spec)
	}
	return i
}

// add adds a request to a worker with a header that replaces its own.
func (b *frameBuilder) add(number uint64, a kernel.Action, h workload.RequestHeader) {
	m := &relaypb.Request{
		Number: number, Incarnation: h.Incarnation, Worker: h.ID, Address: h.Address, StartedMs: h.StartedMs,
		FencingToken: h.FencingToken, LeaseExpiryMs: h.LeaseExpiryMs,
	}
	switch a := a.(type) {
	case workload.RenewLease:
		m.Kind, m.AckedEnd, m.WaitMs = relaypb.Kind_KIND_RENEW_LEASE, a.AckedEnd, a.Wait.Milliseconds()
	case workload.StartRun:
		m.Kind, m.Run, m.Spec = relaypb.Kind_KIND_START_RUN, encodeRun(a.Name), b.specIndex(a.Spec)
		m.Checkpoint, m.Ticket = a.Checkpoint, a.Ticket
	case workload.StopRun:
		m.Kind, m.Run = relaypb.Kind_KIND_STOP_RUN, encodeRun(a.Name)
	case workload.ThrottleRun:
		m.Kind, m.Run, m.Percent = relaypb.Kind_KIND_THROTTLE_RUN, encodeRun(a.Name), int32(a.Percent)
	}
	b.bytes += requestBytes + len(m.Checkpoint) + len(m.Ticket)
	b.frame.Requests = append(b.frame.Requests, m)
}

// decodeRequest returns the request to a worker in a frame.
func decodeRequest(f *relaypb.Frame, m *relaypb.Request) (kernel.Action, error) {
	h := workload.RequestHeader{
		Target: workload.Target{
			Incarnation: m.GetIncarnation(), ID: m.GetWorker(), Address: m.GetAddress(), StartedMs: m.GetStartedMs(),
		},
		FencingToken: m.GetFencingToken(), LeaseExpiryMs: m.GetLeaseExpiryMs(),
	}
	if h.Address == "" {
		return nil, errMalformed.New("request without an address")
	}
	switch m.GetKind() {
	case relaypb.Kind_KIND_RENEW_LEASE:
		return workload.RenewLease{
			RequestHeader: h, AckedEnd: m.AckedEnd, Wait: time.Duration(m.WaitMs) * time.Millisecond,
		}, nil
	case relaypb.Kind_KIND_START_RUN:
		if int(m.Spec) >= len(f.Specs) {
			return nil, errMalformed.New("specification %d of %d", m.Spec, len(f.Specs))
		}
		return workload.StartRun{
			RequestHeader: h, Name: decodeRun(m.Run), Spec: f.Specs[m.Spec], Checkpoint: m.Checkpoint, Ticket: m.Ticket,
		}, nil
	case relaypb.Kind_KIND_STOP_RUN:
		return workload.StopRun{RequestHeader: h, Name: decodeRun(m.Run)}, nil
	case relaypb.Kind_KIND_THROTTLE_RUN:
		return workload.ThrottleRun{RequestHeader: h, Name: decodeRun(m.Run), Percent: int(m.Percent)}, nil
	}
	return nil, errMalformed.New("request of kind %d", m.GetKind())
}

func encodeAnswer(number uint64, r workload.Reply) *relaypb.Answer {
	m := &relaypb.Answer{
		Number: number, Outcome: int32(r.Outcome), ExecutedBy: r.ExecutedBy, Unattributed: r.Unattributed,
		Repeated: r.Repeated, Closed: r.Closed, Refused: r.Refused, ClockMs: r.ClockMs,
	}
	for _, row := range r.Running {
		m.Running = append(m.Running, &relaypb.Running{
			Run: encodeRun(row.Name), Checkpoint: row.Checkpoint, Percent: int32(row.Percent), Load: row.Load,
		})
	}
	for _, row := range r.Ended {
		m.Ended = append(m.Ended, &relaypb.Ended{
			Number: row.Number, Run: encodeRun(row.Name), How: int32(row.How), Checkpoint: row.Checkpoint,
		})
	}
	return m
}

func decodeAnswer(m *relaypb.Answer) workload.Reply {
	r := workload.Reply{Answer: workload.Answer{
		Outcome: workload.Outcome(m.GetOutcome()), ExecutedBy: m.GetExecutedBy(), Unattributed: m.GetUnattributed(),
		Repeated: m.GetRepeated(), Closed: m.GetClosed(), Refused: m.GetRefused(), ClockMs: m.GetClockMs(),
	}}
	if r.Outcome < workload.NoAnswer || r.Outcome > workload.Withheld {
		// A relay of another version knows outcomes that this one doesn't; the request may have been carried out.
		r.Outcome = workload.NoAnswer
	}
	for _, row := range m.GetRunning() {
		r.Running = append(r.Running, workload.RunStatus{
			Name: decodeRun(row.GetRun()), Checkpoint: row.GetCheckpoint(), Percent: int(row.GetPercent()),
			Load: row.GetLoad(),
		})
	}
	for _, row := range m.GetEnded() {
		r.Ended = append(r.Ended, workload.EndedRun{
			Number: row.GetNumber(), Name: decodeRun(row.GetRun()), How: workloadpb.How(row.GetHow()),
			Checkpoint: row.GetCheckpoint(),
		})
	}
	return r
}
