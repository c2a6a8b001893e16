package workload

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Name is the name of the plug-in.
const Name = "workload"

func init() {
	kernel.Register(Name, nil, func(k *kernel.Kernel) kernel.Plugin {
		e := newEngine(ledger.New())
		k.Provide(Name, e)
		return kernel.Plugin{
			Apply:        e.apply,
			Respond:      e.respond,
			Observe:      e.handleEvent,
			Decide:       e.decide,
			BecomeLeader: e.resetLeaderState,
			Snapshot:     e.state.Snapshot,
			Restore:      e.state.Restore,
		}
	})
}

func (e *Engine) apply(c kernel.Command) ([]byte, error) {
	m, err := decodeCommand(c.Body)
	if err != nil {
		return nil, kernel.ErrInvalid.New("%v", err)
	}
	r := e.state.Apply(m, c.At.Milliseconds())
	e.handleApplied(m, r)
	return proto.Marshal(r)
}

// respond answers commands that need no replication.
func (e *Engine) respond(now time.Duration, c kernel.Command) ([]byte, kernel.ReplyMode) {
	e.now = now
	m, err := decodeCommand(c.Body)
	if err != nil {
		return nil, kernel.Replicate // Apply returns the error.
	}
	r, reply := e.answerFromState(m)
	if r == nil {
		return nil, kernel.Replicate
	}
	body, err := proto.Marshal(r)
	if err != nil {
		e.cfg.Log.Error(err, "failed to encode response")
		return nil, kernel.Replicate
	}
	return body, reply
}

// answerFromState answers a command that changes nothing, and returns nil for one that must be replicated.
func (e *Engine) answerFromState(m *workloadpb.Command) (*workloadpb.Response, kernel.ReplyMode) {
	done := &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE}
	switch c := m.Change.(type) {
	case *workloadpb.Command_Submit:
		if r, ok := e.state.AnswerSubmit(c.Submit); ok {
			return r, kernel.AfterReadIndex
		}
		if r := e.admit(c.Submit); r != nil {
			return r, kernel.AfterReadIndex
		}
	case *workloadpb.Command_Cancel:
		j, r := e.state.FindJob(c.Cancel.Host, c.Cancel.Path, c.Cancel.Key, c.Cancel.Id)
		if r != nil {
			return r, kernel.AfterReadIndex
		}
		if !j.IsActive() {
			done.State = string(j.State())
			return done, kernel.AfterReadIndex
		}
	case *workloadpb.Command_Inspect:
		return e.state.Inspect(c.Inspect), kernel.AfterReadIndex
	case *workloadpb.Command_ReadDocument:
		if e.state.Document() == nil {
			return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_NOT_READY}, kernel.AfterReadIndex
		}
		done.Source = e.state.Document().Source
		return done, kernel.AfterReadIndex
	case *workloadpb.Command_Explain:
		return e.answerExplain(c.Explain), kernel.AfterReadIndex
	case *workloadpb.Command_InspectWave:
		w := e.state.Wave(c.InspectWave.Number)
		if w == nil {
			return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_NO_JOB}, kernel.AfterReadIndex
		}
		done.Completed = ledger.WaveCompleted(w)
		return done, kernel.AfterReadIndex
	case *workloadpb.Command_Document:
		if d := e.state.Document(); d != nil && c.Document.Version <= d.Version {
			return done, kernel.AfterReadIndex
		}
	case *workloadpb.Command_EvacuateZone:
		if e.state.IsEvacuated(c.EvacuateZone.Zone) != c.EvacuateZone.Restored {
			return done, kernel.AfterReadIndex
		}
	case *workloadpb.Command_Report:
		if e.handleHeartbeat(c.Report) || e.state.IsRecorded(c.Report.Worker) {
			return done, kernel.Immediate
		}
	case *workloadpb.Command_Leave:
		e.forgetSuccessor(c.Leave)
		w := e.state.WorkerByID(c.Leave.Id)
		if (w == nil || w.StartedMs() != c.Leave.BornMs) && !e.state.HasLosses(c.Leave.Id, c.Leave.BornMs) {
			return done, kernel.Immediate
		}
	}
	return nil, kernel.Replicate
}
