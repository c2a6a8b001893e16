package workload

import (
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// listPause is the least time between two reads of the list of instances.
	listPause = 2 * time.Second
	// dutyPause is the time before an order for an instance that was not carried out is repeated.
	dutyPause = 500 * time.Millisecond
	// downMargin covers that an instance is back later than its upkeep takes.
	downMargin = 500 * time.Millisecond
	// drainPatience is how long an instance that is next may go on with what it runs.
	drainPatience = 1500 * time.Millisecond
)

// upkeep is what the leader knows about instances and the waves that are under way.
type upkeep struct {
	instances map[string]Instance
	listedAt  time.Duration
	listing   bool
	stale     bool
	steps     map[string]*upkeepStep // by instance
	recorded  time.Duration
}

// upkeepStep is an instance of a wave that is next or down.
type upkeepStep struct {
	wave     int64
	began    time.Duration // chosen
	ordering bool
	retryAt  time.Duration
	ordered  bool          // an order was sent and may be carried out
	downTill time.Duration // confirmed; down until then
}

func (u *upkeep) reset() { *u = upkeep{instances: map[string]Instance{}, steps: map[string]*upkeepStep{}, stale: true} }

// driveUpkeep takes the instances of each wave down, at most as many at once as it allows.
func (e *Engine) driveUpkeep() {
	if e.now-e.ledAt < e.cfg.TakeOver {
		return
	}
	for _, w := range e.state.Waves() {
		if !ledger.WaveCompleted(w) {
			e.driveWave(w)
		}
	}
	for name, st := range e.upkeep.steps {
		if st.downTill > 0 && e.now > st.downTill {
			delete(e.upkeep.steps, name)
			e.upkeep.stale = true
		}
	}
}

func (e *Engine) driveWave(w *workloadpb.Wave) {
	u := &e.upkeep
	if u.stale || u.listedAt == 0 {
		if !u.listing && (u.listedAt == 0 || e.now-u.listedAt > listPause) {
			u.listing = true
			e.act(ListInstances{})
		}
		if u.listedAt == 0 {
			return
		}
	}
	busy := 0
	for _, st := range u.steps {
		if st.wave == w.Number {
			busy++
		}
	}
	for _, name := range w.Instances {
		st := u.steps[name]
		if st != nil && st.wave == w.Number && st.downTill == 0 {
			e.driveStep(w, name, st)
		}
	}
	for busy < int(w.Cap) {
		name := e.nextInstance(w)
		if name == "" {
			return
		}
		u.steps[name] = &upkeepStep{wave: w.Number, began: e.now}
		if s := e.sessionOf(name); s != nil {
			s.reserved = true
		}
		busy++
	}
}

func (e *Engine) sessionOf(instance string) *session {
	w := e.state.WorkerByID(e.upkeep.instances[instance].Worker)
	if w == nil {
		return nil
	}
	return e.sessions[w.Number()]
}

// nextInstance chooses the instance whose upkeep costs least.
func (e *Engine) nextInstance(w *workloadpb.Wave) string {
	best, least := "", int64(-1)
	for _, name := range w.Instances {
		if slices.Contains(w.Begun, name) || slices.Contains(w.Gone, name) || e.upkeep.steps[name] != nil {
			continue
		}
		cost := int64(0)
		if s := e.sessionOf(name); s != nil {
			if !e.mayTake(s) {
				continue
			}
			cost = s.worker.Used().CPU
		}
		if best == "" || cost < least {
			best, least = name, cost
		}
	}
	return best
}

// mayTake reports whether the steps of what lasts on a worker may miss its subtasks.
func (e *Engine) mayTake(s *session) bool {
	taken := map[*ledger.StepRun]int{}
	for _, t := range s.worker.Runs() {
		if st := t.Step(); st.Step.Lasting {
			taken[st]++
		}
	}
	for st, n := range taken {
		if n+e.missing(st, s) > int(max(st.Step.MayMiss, 0)) && st.Step.MayMiss > 0 {
			return false
		}
	}
	return true
}

// missing counts the subtasks of a step that are not at work on other workers than that of s.
func (e *Engine) missing(st *ledger.StepRun, s *session) int {
	n := 0
	for i := range st.Subtasks {
		t := &st.Subtasks[i]
		working, here := false, false
		for _, a := range t.Attempts {
			o := e.sessions[a.Worker.Number()]
			if o == nil {
				continue
			}
			here = here || o == s
			r := o.runs[t.Key(a.Run)]
			working = working || r != nil && r.listed && r.percent == 100 && o.failures == 0 && !o.reserved && !r.stop
		}
		if !working && !here {
			n++
		}
	}
	return n
}

func (e *Engine) driveStep(w *workloadpb.Wave, name string, st *upkeepStep) {
	if st.ordering || e.now < st.retryAt {
		return
	}
	in, ok := e.upkeep.instances[name]
	if !ok && e.upkeep.listedAt > st.began {
		e.propose(&workloadpb.Command{Change: &workloadpb.Command_Maintained{
			Maintained: &workloadpb.Maintained{Wave: w.Number, Gone: []string{name}},
		}})
		st.retryAt = e.now + proposalTimeout
		return
	}
	if !ok || !in.Up && !st.ordered {
		e.upkeep.stale = true
	}
	if s := e.sessionOf(name); s != nil && !st.ordered {
		s.reserved = true
		if !e.mayTake(s) && st.retryAt == 0 {
			// Others of a step went missing meanwhile; the instance goes on until they are back.
			s.reserved = false
			delete(e.upkeep.steps, name)
			return
		}
		if len(s.runs) > 0 && e.now-st.began < drainPatience && !onlyLasting(s) {
			return
		}
	}
	st.ordering, st.ordered = true, true
	e.act(Maintain{Instance: name, Wave: w.Number, Token: e.term})
}

func onlyLasting(s *session) bool {
	for _, r := range s.runs {
		if !r.subtask.Step().Step.Lasting {
			return false
		}
	}
	return true
}

func (e *Engine) onInstances(ev InstancesDone) {
	u := &e.upkeep
	u.listing = false
	u.listedAt = max(u.listedAt, 1)
	if ev.Outcome != Accepted {
		e.cfg.Log.Info("list of instances was not read", "outcome", ev.Outcome.String())
		u.stale = true
		if len(u.instances) == 0 {
			u.listedAt = 0
		}
		return
	}
	u.stale, u.listedAt = false, e.now
	clear(u.instances)
	for _, in := range ev.Instances {
		u.instances[in.Name] = in
	}
}

func (e *Engine) onMaintain(ev MaintainDone) {
	st := e.upkeep.steps[ev.Maintain.Instance]
	if st == nil {
		return
	}
	st.ordering = false
	e.cfg.Log.Info("upkeep was ordered", "instance", ev.Maintain.Instance, "wave", ev.Maintain.Wave, "outcome", ev.Outcome.String())
	m := &workloadpb.Maintained{Wave: ev.Maintain.Wave}
	switch ev.Outcome {
	case Accepted:
		m.Begun = []string{ev.Maintain.Instance}
		st.downTill = e.now + e.cfg.Maintenance + downMargin
		if s := e.sessionOf(ev.Maintain.Instance); s != nil {
			e.ended(s)
		}
	case Malformed, Missing:
		m.Gone = []string{ev.Maintain.Instance}
		delete(e.upkeep.steps, ev.Maintain.Instance)
	default:
		st.retryAt = e.now + dutyPause
		if ev.Outcome == Busy {
			st.ordered = false
			e.upkeep.stale = true
		}
		return
	}
	e.propose(&workloadpb.Command{Change: &workloadpb.Command_Maintained{Maintained: m}})
}
