package schedule

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Worker is a boot that may take new runs.
type Worker struct {
	*ledger.Worker
	// LatencySensitive, BestEffort and LongRunning count the assigned runs that serve users, that fill beside others, and that last.
	LatencySensitive, BestEffort, LongRunning int
	// UnusedCPU is the number of thousandths of a core that no run has asked for, fillers included.
	UnusedCPU int64
	// LongRunningUsage is the room that runs which last take; it does not become free by itself.
	LongRunningUsage ledger.Resources
	// Suspect workers are used when no other has room.
	Suspect bool

	free ledger.Resources
}

// Input is what a pass decides on.
type Input struct {
	State *ledger.State
	// Candidates is what Waiting returned; Workers need to hold those of their pools only.
	Candidates []Candidate
	Workers    []*Worker
	// Now is the time of day in Unix milliseconds.
	Now   int64
	Order Order
	// MaxAssignments bounds the assignments of one pass.
	MaxAssignments int
	// BeyondShare reports whether a job is beyond the share of its client account; it may be nil.
	BeyondShare func(j *ledger.Job) bool
	// Allowed reports whether advice lets a worker run a step; it may be nil.
	Allowed func(s *ledger.StepRun, w *Worker) bool
}

type pass struct {
	in    *Input
	pools map[string][]*Worker
	usage map[string]ledger.Resources
	out   []*workloadpb.Assignment
}

// Plan returns the assignments to make now.
func Plan(in Input) []*workloadpb.Assignment {
	p := &pass{in: &in, pools: map[string][]*Worker{}, usage: map[string]ledger.Resources{}}
	for _, w := range in.Workers {
		w.free = w.Free()
		p.pools[w.Pool()] = append(p.pools[w.Pool()], w)
	}
	for _, c := range in.Candidates {
		for _, s := range c.occurrence.Steps {
			if s.Waiting() > 0 && s.Ready() && len(p.out) < in.MaxAssignments {
				p.place(s, p.pools[c.queue.Pool], ledger.ResourcesOf(in.State.Account(c.occurrence.Job.Account).GetAllowance()))
			}
		}
	}
	return p.out
}

// place starts as many waiting subtasks of a step as fit, all or none of a gang.
func (p *pass) place(s *ledger.StepRun, workers []*Worker, allowance ledger.Resources) {
	var waiting []*ledger.Task
	for i := range s.Tasks {
		if t := &s.Tasks[i]; t.IsWaiting() {
			waiting = append(waiting, t)
		}
	}
	if s.Step.Gang && len(waiting) < len(s.Tasks) || len(waiting) == 0 {
		return
	}
	account := s.Occurrence.Job.Account
	need := ledger.ResourcesOf(s.Step.Need)
	n := 0
	for used := p.usage[account].Plus(p.in.State.Usage(account)); n < len(waiting); n++ {
		if used = used.Plus(need); !used.WithinQuota(allowance) {
			break
		}
	}
	if s.Step.Gang && n < len(waiting) {
		return
	}
	chosen := p.choose(s, workers, n)
	if s.Step.Gang && len(chosen) < len(waiting) {
		p.giveBack(s, chosen)
		return
	}
	run := int32(0)
	for _, t := range waiting[:len(chosen)] {
		run = max(run, t.LastRun)
	}
	for i, w := range chosen {
		t := waiting[i]
		next := t.LastRun
		if s.Step.Gang {
			next = run
		}
		key := t.Key(next + 1)
		p.out = append(p.out, &workloadpb.Assignment{Subtask: key.TaskMessage(), Worker: w.Number(), Run: key.Run})
	}
	p.usage[account] = p.usage[account].Plus(need.Times(len(chosen)))
}

func (p *pass) giveBack(s *ledger.StepRun, workers []*Worker) {
	for _, w := range workers {
		w.free = w.free.Plus(ledger.RequiredCapacity(s.Step))
		w.count(s.Step, -1)
	}
}

func (w *Worker) count(s *workloadpb.Step, n int) {
	w.UnusedCPU -= int64(n) * s.Need.GetCpu()
	if s.Fills {
		w.BestEffort += n
	}
	if s.TargetMs > 0 {
		w.LatencySensitive += n
	}
	if s.Lasting {
		w.LongRunning += n
	}
}

// choose takes room for up to n subtasks of a step and returns their workers.
func (p *pass) choose(s *ledger.StepRun, workers []*Worker, n int) []*Worker {
	onStep := map[uint64]int{}
	rack := s.Step.DataRack
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].ActiveRuns {
			onStep[a.Worker.Number()]++
			if s.Step.RackSensitive {
				rack = a.Worker.Rack()
			}
		}
	}
	room := ledger.RequiredCapacity(s.Step)
	fits := func(w *Worker) bool {
		return room.Within(w.free) && (s.Step.MaxPerWorker == 0 || onStep[w.Number()] < int(s.Step.MaxPerWorker)) &&
			(s.Step.Label == "" || w.HasLabel(s.Step.Label)) && (p.in.Allowed == nil || p.in.Allowed(s, w))
	}
	if s.Step.RackSensitive && rack == "" {
		rack = widestRack(s, workers, room, fits)
	}
	var chosen []*Worker
	for len(chosen) < n && len(p.out)+len(chosen) < p.in.MaxAssignments+len(s.Tasks) {
		var best *Worker
		for _, w := range workers {
			if fits(w) && (best == nil || better(s.Step, rack, w, best, onStep)) {
				best = w
			}
		}
		if best == nil {
			if s.Step.Lasting {
				reserve(s, workers, room, onStep)
			}
			break
		}
		best.free = best.free.Minus(room)
		best.count(s.Step, 1)
		onStep[best.Number()]++
		chosen = append(chosen, best)
	}
	return chosen
}

// reserve keeps the worker free that will have room for a subtask soonest. What lasts would otherwise wait for as long
// as smaller subtasks take each piece of room.
func reserve(s *ledger.StepRun, workers []*Worker, room ledger.Resources, onStep map[uint64]int) {
	var best *Worker
	for _, w := range workers {
		if !room.Within(w.Capacity().Minus(w.LongRunningUsage)) || s.Step.Label != "" && !w.HasLabel(s.Step.Label) ||
			s.Step.MaxPerWorker > 0 && onStep[w.Number()] >= int(s.Step.MaxPerWorker) {
			continue
		}
		if best == nil || w.slack(room) > best.slack(room) {
			best = w
		}
	}
	if best != nil {
		best.free = best.free.Minus(room)
	}
}

// slack is the share of its capacity that a worker would have left after a subtask took its room, of what it has least;
// negative while there is no room.
func (w *Worker) slack(room ledger.Resources) float64 {
	left, whole := w.free.Minus(room), w.Capacity()
	least := 1.0
	for _, r := range [][2]int64{{left.CPU, whole.CPU}, {left.Memory, whole.Memory}, {left.Accelerators, whole.Accelerators}} {
		if r[1] > 0 {
			least = min(least, float64(r[0])/float64(r[1]))
		}
	}
	return least
}

// maxLasting is how many subtasks of a step that lasts share a worker when they may. An upkeep moves them one by one,
// each in about two seconds, so that three are gone well within the time of a wave.
const maxLasting = 3

// PreferredPerWorker returns how many subtasks of a step that lasts should share a worker.
func PreferredPerWorker(s *workloadpb.Step) int {
	if s.MaxPerWorker > 0 {
		return min(int(s.MaxPerWorker), maxLasting)
	}
	return maxLasting
}

// widestRack returns the rack that holds most subtasks of a step, so that they run beside each other.
func widestRack(s *ledger.StepRun, workers []*Worker, room ledger.Resources, fits func(*Worker) bool) string {
	count := map[string]int{}
	for _, w := range workers {
		if !fits(w) {
			continue
		}
		n := 0
		for free := w.free; room.Within(free) && n < len(s.Tasks); n++ {
			if s.Step.MaxPerWorker > 0 && n >= int(s.Step.MaxPerWorker) {
				break
			}
			free = free.Minus(room)
			if room == (ledger.Resources{}) {
				n = len(s.Tasks)
				break
			}
		}
		count[w.Rack()] += n
	}
	best := ""
	for _, w := range workers {
		if r := w.Rack(); best == "" || count[r] > count[best] {
			best = r
		}
	}
	return best
}

// better compares two workers that both have room for a subtask of a step.
func better(s *workloadpb.Step, rack string, a, b *Worker, onStep map[uint64]int) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if rack != "" {
		if x, y := slices.Contains(a.Labels(), rack), slices.Contains(b.Labels(), rack); x != y {
			return x
		}
	}
	switch {
	case s.Fills:
		// What fills disturbs what serves, and works with what is left.
		if a.LatencySensitive != b.LatencySensitive {
			return a.LatencySensitive < b.LatencySensitive
		}
		if a.BestEffort != b.BestEffort {
			return a.BestEffort < b.BestEffort
		}
		return a.UnusedCPU > b.UnusedCPU
	case s.TargetMs > 0 || s.Lasting:
		// Few of a step on one worker, so that a loss or an upkeep takes few of them away; else on workers that have
		// subtasks that last already, so that the others can change their pool.
		per := PreferredPerWorker(s)
		if x, y := onStep[a.Number()] < per, onStep[b.Number()] < per; x != y {
			return x
		}
		if s.TargetMs > 0 && a.LatencySensitive+a.BestEffort != b.LatencySensitive+b.BestEffort {
			return a.LatencySensitive+a.BestEffort < b.LatencySensitive+b.BestEffort
		}
		if a.LongRunning != b.LongRunning {
			return a.LongRunning > b.LongRunning
		}
		return a.free.CPU < b.free.CPU
	}
	// The fullest worker that fits leaves room for wide subtasks elsewhere.
	return a.free.CPU < b.free.CPU
}
