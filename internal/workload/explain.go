package workload

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/backlog"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/explanation"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/schedule"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

const (
	// explainedID is the ID of jobs that are explained. Clients can't choose it, as theirs are hexadecimal.
	explainedID = "explained"
	// maxExplainedSteps bounds the time and the size of an explanation.
	maxExplainedSteps = 64
)

// answerExplain answers where a job would go now. It changes nothing.
func (e *Engine) answerExplain(m *workloadpb.Explain) *workloadpb.Response {
	if !e.leading || m.GetJob() == nil {
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_NOT_READY}
	}
	job := proto.CloneOf(m.Job)
	job.Path, job.Id = job.Path+explainedID, explainedID
	body, err := json.Marshal(e.explain(job))
	if err != nil {
		e.cfg.Log.Error(err, "failed to encode explanation")
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_NOT_READY}
	}
	return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE, Explanation: body}
}

func (e *Engine) explain(m *workloadpb.Submit) *explanation.Explanation {
	q, account, verdict := e.state.Route(m.Host, m.Path, m.Id, m.Key)
	if verdict != workloadpb.Verdict_VERDICT_DONE {
		return &explanation.Explanation{Rejection: map[workloadpb.Verdict]string{
			workloadpb.Verdict_VERDICT_NO_QUEUE: explanation.NoQueue, workloadpb.Verdict_VERDICT_BAD_KEY: explanation.UnknownKey,
			workloadpb.Verdict_VERDICT_NOT_READY: explanation.NotReady,
		}[verdict]}
	}
	x := &explanation.Explanation{Queue: q.Name, Pool: q.Pool, Account: account}
	if !ledger.IsValidSubmit(m) {
		x.Rejection = explanation.Invalid
		return x
	}
	after, reason := e.rejectForLoad(ledger.SubmitBytes(m))
	if after == 0 {
		after, reason = e.copyForAdmission(account).rejectBacklog(m)
	}
	if after > 0 {
		x.Rejection, x.RetryAfterMs = reason, after.Milliseconds()
	}
	if m.MaxRuns > 0 {
		x.BeginsAtMs = m.StartAtMs
		m.MaxRuns = 0
	}
	j := ledger.NewJob(m, q, account, e.wallClockMs())
	j.Number = math.MaxUint64 // It is accepted after all others.
	x.Instances = e.explainInstances(q.Pool, j)
	if x.Rejection == "" {
		e.explainSteps(x, j, q)
	}
	return x
}

// copyForAdmission returns a copy of the engine on which the admission of a job of an account can be decided without effect.
func (e *Engine) copyForAdmission(account string) *Engine {
	c := *e
	b := &c.backlog
	b.pools = nil // A decision adds to the sums, so the copy computes its own.
	b.unapplied, b.rejectedAt, b.gates = maps.Clone(b.unapplied), maps.Clone(b.rejectedAt), map[gateKey]*backlog.Gate{}
	for k, g := range e.backlog.gates {
		b.gates[k] = g.Clone()
	}
	c.shares.buckets = map[string]*bucket{}
	if old := e.shares.buckets[account]; old != nil {
		copied := *old
		c.shares.buckets[account] = &copied
	}
	return &c
}

// explainInstances returns the size of a pool by the last decision on it.
func (e *Engine) explainInstances(pool string, j *ledger.Job) *explanation.Instances {
	i := slices.IndexFunc(e.poolViews, func(v *poolView) bool { return v.name == pool })
	if i < 0 { // The deployment has no spare pool, so no pool changes its size.
		n := 0
		for _, w := range e.state.Workers() {
			if w.Pool() == pool {
				n++
			}
		}
		return &explanation.Instances{Has: n, Wants: n, WantsWithJob: n}
	}
	v := e.poolViews[i]
	demand := v.demand
	for _, s := range j.Occurrences()[0].Steps {
		if s.Ready() {
			demand = demand.Plus(ledger.RequiredCapacity(s.Step).Times(len(s.Tasks)))
		}
	}
	return &explanation.Instances{
		Has: v.have, Wants: v.want, WantsWithJob: max(v.want, v.instancesFor(demand)), Gets: v.growing,
	}
}

// explainSteps runs scheduling passes for the pool of a job, with and without the other jobs, and drops the assignments. The passes
// lack the preferences of interference, as they would register new kinds; these change workers, but not what starts.
func (e *Engine) explainSteps(x *explanation.Explanation, j *ledger.Job, q *workloadpb.Queue) {
	beyondShare := !e.copyForAdmission(j.Account).shares.hasToken(e.state, j.Account, e.now)
	in := schedule.Input{
		State: e.state, NowMs: e.wallClockMs(), ClockMs: e.state.ClockAt(e.term, e.now.Milliseconds()), Order: e.cfg.JobOrder,
		MaxAssignments: maxAssignmentsPerCommand, Allowed: e.adviserAllows, MayReserve: e.advice.mayReserve,
		BeyondShare: func(o *ledger.Job) bool { return o == j && beyondShare || e.shares.isBeyondShare(o) },
		IsDelayed:   func(s *ledger.StepRun) bool { return e.rejections.isDelayed(s, e.now) },
		// To tell the worker may request lists, so tasks with late starts take no capacity here.
		PinnedTo: func(t *ledger.Task) string {
			if t.LateStart() != nil {
				return noWorker
			}
			return ""
		},
	}
	o := j.Occurrences()[0]
	c := in.NewCandidate(o, q)
	alone := e.planWith(in, []schedule.Candidate{c})
	others := slices.DeleteFunc(schedule.RankCandidates(in), func(o schedule.Candidate) bool { return o.Pool() != q.Pool })
	compare := in.CompareFunc()
	position, _ := slices.BinarySearchFunc(others, c, compare)
	planned := e.planWith(in, slices.Insert(others, position, c))
	usage := e.state.Usage(j.Account)
	for _, a := range planned {
		if a.Subtask.Job == j.Number {
			usage = usage.Plus(ledger.ResourcesOf(o.Steps[a.Subtask.Step].Step.Need))
		} else if other := e.state.Job(a.Subtask.Job); other != nil && other.Account == j.Account {
			usage = usage.Plus(needOf(other, a.Subtask))
		}
	}
	for i, s := range o.Steps {
		if i == maxExplainedSteps {
			x.StepsOmitted = len(o.Steps) - i
			break
		}
		x.Steps = append(x.Steps, e.explainStep(&in, s, q, planned, alone, usage))
	}
}

// needOf returns what a task of a job counts against the quota of its account.
func needOf(j *ledger.Job, m *workloadpb.Task) ledger.Resources {
	for _, o := range j.Occurrences() {
		if o.Number == m.Occurrence {
			return ledger.ResourcesOf(o.Steps[m.Step].Step.Need)
		}
	}
	return ledger.Resources{}
}

// planWith returns the assignments of a scheduling pass for candidates of one pool.
func (e *Engine) planWith(in schedule.Input, candidates []schedule.Candidate) []*workloadpb.Assignment {
	in.Candidates = candidates
	for _, w := range e.state.Workers() {
		if s := e.sessions[w.Number()]; w.Pool() == candidates[0].Pool() && s != nil && e.isUsable(s) {
			in.Workers = append(in.Workers, s.schedulerView())
		}
	}
	return schedule.Plan(in)
}

// explainStep tells which tasks of a step would start; usage is what the account uses after that.
func (e *Engine) explainStep(
	in *schedule.Input, s *ledger.StepRun, q *workloadpb.Queue, planned, alone []*workloadpb.Assignment, usage ledger.Resources,
) explanation.Step {
	x := explanation.Step{Step: int(s.Number), Tasks: len(s.Tasks)}
	if !s.Ready() {
		x.WaitsFor = []string{explanation.EarlierSteps}
		return x
	}
	isOwn := func(a *workloadpb.Assignment) bool {
		return a.Subtask.Job == s.Occurrence.Job.Number && a.Subtask.Step == s.Number
	}
	startsOn := map[string]int{}
	byNumber, reasons, labelled := map[uint64]string{}, map[string]int{}, false
	for _, w := range e.state.Workers() {
		if w.Pool() == q.Pool {
			byNumber[w.Number()] = w.ID()
			reasons[e.explainWorker(in, s, w)]++
			labelled = labelled || s.Step.Label == "" || w.HasLabel(s.Step.Label)
		}
	}
	for _, a := range planned {
		if isOwn(a) {
			x.Starting++
			startsOn[byNumber[a.Worker]]++
		}
	}
	x.StartsOn, x.Workers = sortedCounts(startsOn), sortedCounts(reasons)
	if q.GetAdvice() != nil {
		x.WaitsFor = append(x.WaitsFor, explanation.Adviser)
	}
	if x.Starting == x.Tasks {
		return x
	}
	startingAlone := 0
	for _, a := range alone {
		if isOwn(a) {
			startingAlone++
		}
	}
	further := 1
	if s.Step.Gang {
		further = x.Tasks
	}
	quota := ledger.ResourcesOf(e.state.Account(s.Occurrence.Job.Account).GetAllowance())
	add := func(holds bool, what string) {
		if holds {
			x.WaitsFor = append(x.WaitsFor, what)
		}
	}
	add(!usage.Plus(ledger.ResourcesOf(s.Step.Need).Times(further)).WithinQuota(quota), explanation.Quota)
	add(startingAlone > x.Starting, explanation.JobsBefore)
	if len(x.WaitsFor) > 0 && x.WaitsFor[len(x.WaitsFor)-1] != explanation.Adviser {
		return x
	}
	add(reasons["zone-evacuated"] > 0, explanation.EvacuatedZone)
	add(!labelled, explanation.Label)
	add(labelled && (reasons["no-capacity"]+reasons["maximum-per-worker"]+reasons[explanation.HasRoom] > 0 || len(byNumber) == 0),
		explanation.Capacity)
	if len(x.WaitsFor) == 0 {
		x.WaitsFor = append(x.WaitsFor, explanation.Workers)
	}
	return x
}

// explainWorker returns why a worker takes no task of a step now.
func (e *Engine) explainWorker(in *schedule.Input, s *ledger.StepRun, w *ledger.Worker) string {
	ws := e.sessions[w.Number()]
	if ws == nil {
		return "unknown"
	}
	if reason := e.exclusion(ws); reason != "" {
		return reason
	}
	v, keptFor := ws.schedulerView(), e.keptFor[w.Number()]
	if reason := in.Misfit(s, v, w.Free(), 0); reason != "" {
		return reason
	}
	if v.IsKeptFromJob(s.Occurrence.Job.Number) || keptFor != 0 {
		return "kept-for-isolated-run"
	}
	return explanation.HasRoom
}

// sortedCounts returns numbers ordered by name.
func sortedCounts(m map[string]int) []explanation.Count {
	var list []explanation.Count
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, explanation.Count{Name: name, Count: m[name]})
	}
	return list
}
