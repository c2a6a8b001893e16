package ledger

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// MaxTasks is the maximum number of tasks of a job. It keeps one submission from exhausting memory.
const MaxTasks = 10000

// IsValidSubmit reports whether the steps and the number of occurrences of a submitted job are valid.
func IsValidSubmit(m *workloadpb.Submit) bool {
	total := int32(0)
	for i, st := range m.Steps {
		if st.Count < 1 || st.Count > MaxTasks {
			return false
		}
		total += st.Count
		for _, n := range st.After {
			if n < 0 || int(n) >= i {
				return false
			}
		}
	}
	return len(m.Steps) > 0 && total <= MaxTasks && m.MaxRuns >= 0
}

func newResponse(v workloadpb.Verdict) *workloadpb.Response { return &workloadpb.Response{Verdict: v} }

// AnswerSubmit returns the response to a submission that doesn't change the state: one that is rejected, or that
// repeats an accepted one. ok is false if the submission has to be replicated.
func (s *State) AnswerSubmit(m *workloadpb.Submit) (r *workloadpb.Response, ok bool) {
	q, _, v := s.Route(m.Host, m.Path, m.Id, m.Key)
	if v != workloadpb.Verdict_VERDICT_DONE {
		return newResponse(v), true
	}
	if j := s.jobsByID[m.Id]; j != nil && j.queue == q {
		return newResponse(workloadpb.Verdict_VERDICT_DONE), true
	} else if j != nil || !IsValidSubmit(m) {
		return newResponse(workloadpb.Verdict_VERDICT_INVALID), true
	}
	return nil, false
}

func (s *State) applySubmit(m *workloadpb.Submit, at int64) *workloadpb.Response {
	if r, ok := s.AnswerSubmit(m); ok {
		return r
	}
	q, account, _ := s.Route(m.Host, m.Path, m.Id, m.Key)
	j := NewJob(m, q, account, at)
	s.nextJob++
	j.Number = s.nextJob
	s.addJob(j)
	s.activeJobs = append(s.activeJobs, j)
	s.markChanged()
	return newResponse(workloadpb.Verdict_VERDICT_DONE)
}

// NewJob returns the job of a submission to a queue that is accepted at a time, without a number. It changes no state.
func NewJob(m *workloadpb.Submit, q *workloadpb.Queue, account string, at int64) *Job {
	j := &Job{
		ID: m.Id, Queue: q.Name, Account: account, Spec: m.Spec, Steps: m.Steps, MaxRuns: m.MaxRuns,
		StartAtMs: m.StartAtMs, IntervalMs: m.IntervalMs, AcceptedMs: at, state: Queued, route: routeOf(q),
		size: sizeOf(m.Spec, m.Steps),
	}
	if j.MaxRuns == 0 {
		j.beginOccurrence(0)
	}
	return j
}

func (s *State) addJob(j *Job) {
	s.jobs[j.Number], s.jobsByID[j.ID] = j, j
	j.queue = s.findQueue(j.route, j.Queue)
	s.resize(j)
}

// FindJob returns the job that a call refers to, or the response to the call if there is no such job.
func (s *State) FindJob(host, path, key, id string) (*Job, *workloadpb.Response) {
	q, _, v := s.Route(host, path, id, key)
	if v != workloadpb.Verdict_VERDICT_DONE {
		return nil, newResponse(v)
	}
	j := s.jobsByID[id]
	if j == nil || j.queue != q {
		return nil, newResponse(workloadpb.Verdict_VERDICT_NO_JOB)
	}
	return j, nil
}

func (s *State) applyCancel(m *workloadpb.Cancel, at int64) *workloadpb.Response {
	j, r := s.FindJob(m.Host, m.Path, m.Key, m.Id)
	if r != nil {
		return r
	}
	if j.IsActive() {
		s.endJob(j, Cancelled, at)
	}
	return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE, State: string(j.state)}
}

// Inspect returns the state of a job, or the number of jobs of a queue that have not started.
func (s *State) Inspect(m *workloadpb.Inspect) *workloadpb.Response {
	if m.Id != "" {
		j, r := s.FindJob(m.Host, m.Path, m.Key, m.Id)
		if r != nil {
			return r
		}
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE, State: string(j.state)}
	}
	q, _, v := s.Route(m.Host, m.Path, m.Id, m.Key)
	r := newResponse(v)
	if v == workloadpb.Verdict_VERDICT_DONE {
		for _, j := range s.activeJobs {
			if j.queue == q && !j.HasStarted {
				r.Pending++
			}
		}
	}
	return r
}

func (s *State) endJob(j *Job, state JobState, at int64) {
	j.state, j.EndedMs = state, at
	s.undatedEnds = append(s.undatedEnds, j)
	s.endedJobs = append(s.endedJobs, j)
	s.activeJobs = slices.DeleteFunc(s.activeJobs, func(o *Job) bool { return o == j })
	for _, o := range j.occurrences {
		for _, st := range o.Steps {
			for i := range st.Tasks {
				s.requestStops(&st.Tasks[i])
			}
		}
	}
	s.compactJob(j)
	s.markChanged()
}

func (s *State) requestStops(t *Task) {
	for _, a := range t.ActiveRuns {
		s.pendingStops = append(s.pendingStops, Stop{Worker: a.Worker, Key: t.Key(a.Run)})
	}
}

// compactJob frees the specification and the steps of an ended job that has no active runs.
func (s *State) compactJob(j *Job) {
	if !j.IsActive() && j.activeRuns == 0 {
		j.Spec, j.Steps, j.occurrences = "", nil, nil
		s.resize(j)
	}
}

func (s *State) applyBeginOccurrences(m *workloadpb.BeginOccurrences) {
	for i, n := range m.Jobs {
		if j := s.jobs[n]; j != nil && j.IsActive() && j.nextOccurrence == m.Occurrences[i] &&
			j.nextOccurrence < j.MaxRuns {
			j.beginOccurrence(j.nextOccurrence)
			j.nextOccurrence++
			s.resize(j)
			s.markChanged()
		}
	}
}

func (s *State) applyExpire(m *workloadpb.Expire) {
	for _, n := range m.Jobs {
		if j := s.jobs[n]; j != nil && !j.IsActive() && j.activeRuns == 0 {
			delete(s.jobs, n)
			delete(s.jobsByID, j.ID)
			s.resize(j)
		}
	}
}

// findTask returns the task of a run key, nil if its occurrence has ended or is unknown.
func (s *State) findTask(k RunKey) *Task {
	j := s.jobs[k.Job]
	if j == nil {
		return nil
	}
	o := j.findOccurrence(k.Occurrence)
	if o == nil || k.Step < 0 || int(k.Step) >= len(o.Steps) {
		return nil
	}
	st := o.Steps[k.Step]
	if k.Index < 0 || int(k.Index) >= len(st.Tasks) {
		return nil
	}
	return &st.Tasks[k.Index]
}

func (s *State) applyAssign(m *workloadpb.Assign) {
	rejected := s.gangsInEvacuatedZones(m)
	for _, a := range m.Assignments {
		k := RunKeyOf(a.Subtask, a.Run)
		if t := s.findTask(k); t != nil && !rejected[t.step] && s.mayAssign(t, a, m.RecordsLosses) {
			r := ActiveRun{Run: k.Run, Worker: s.workers[a.Worker], Isolated: a.Isolated, assignNumber: m.Number}
			if m.RecordsLosses {
				r.assignedMs = max(s.clockMs, 1)
			}
			s.assignRun(t, r)
			if w := r.Worker.info; w.AssignedSinceMs == 0 {
				w.AssignedSinceMs = max(s.clockMs, 1)
			}
		}
	}
	s.markChanged()
}

// mayAssign repeats the checks of the scheduler, because the state may have changed since the command was proposed. Earlier
// versions, which don't record losses, compare resources that a task doesn't need with what is free, too.
func (s *State) mayAssign(t *Task, a *workloadpb.Assignment, recordsLosses bool) bool {
	w := s.workers[a.Worker]
	step := t.step.Step
	j := t.step.Occurrence.Job
	if w == nil || !s.MayTakeRuns(w) || t.Done || !j.IsActive() || a.Run <= t.LastRun || !t.step.Ready() {
		return false
	}
	if len(t.ActiveRuns) > 0 && !step.Speculative {
		return false
	}
	required := RequiredCapacity(step)
	fits := required.Within(w.Free()) && (recordsLosses || required.WithinEach(w.Free()))
	if s.pools[w.Pool()] != nil && !fits {
		return false
	}
	quota := ResourcesOf(s.accounts[j.Account].GetAllowance())
	return s.usage[j.Account].Plus(ResourcesOf(step.Need)).WithinQuota(quota)
}

func (s *State) assignRun(t *Task, r ActiveRun) {
	w := r.Worker
	j := t.step.Occurrence.Job
	if t.IsWaiting() {
		t.step.waitingTasks--
	}
	t.LastRun = max(t.LastRun, r.Run)
	t.ActiveRuns = append(t.ActiveRuns, r)
	w.runs[t.Key(r.Run)] = t
	w.used = w.used.Plus(RequiredCapacity(t.step.Step))
	s.usage[j.Account] = s.usage[j.Account].Plus(ResourcesOf(t.step.Step.Need))
	j.activeRuns++
	j.HasStarted = true
	if j.state == Queued {
		j.state = Running
	}
}

func (s *State) applyEnds(m *workloadpb.Ends, at int64) {
	w := s.workers[m.Worker]
	if w == nil {
		return
	}
	if m.LateStartsRemainingMs > 0 {
		s.recordUnansweredStarts(w.ID(), m.LateStartsRemainingMs)
	}
	for _, e := range m.Ends {
		if e.Number > 0 && e.Number <= w.info.Noted {
			continue
		}
		k := RunKeyOf(e.Subtask, e.Run)
		t := w.runs[k]
		if t == nil {
			t = s.findTask(k)
		}
		if t == nil {
			continue
		}
		if e.How == workloadpb.How_HOW_LOST {
			s.recordLoss(w, k)
			s.recordLateStarts(w.ID(), lateStartsAfterEnd.Milliseconds())
		}
		s.endRun(w, k, e.How, e.Checkpoint)
		if e.LateStartRemainingMs > 0 {
			s.setLateStart(t, w, e)
		}
		s.endJobIfFinished(t, at)
	}
	w.info.Noted = max(w.info.Noted, m.Noted)
	if w.HasLeft() && len(w.runs) == 0 {
		s.removeWorker(w, false)
	}
	s.markChanged()
}

// endRun records the end of a run. A run that was released from its worker before still counts if it is done or failed.
// The task is done after a run that is, unless it is long-running.
func (s *State) endRun(w *Worker, k RunKey, how workloadpb.How, checkpoint string) {
	t := w.runs[k]
	if t == nil {
		if t = s.findTask(k); t == nil {
			return
		}
	} else {
		s.releaseRun(t, w, k)
	}
	switch how {
	case workloadpb.How_HOW_DONE:
		if t.step.Step.Lasting && s.leaseTerm > 0 {
			// The task starts again until its job is cancelled. Entries from before the first bound of leases are those of
			// earlier versions, which marked the task done.
			break
		}
		members := t.step.Tasks
		if !t.step.Step.Gang {
			members = members[t.Index : t.Index+1]
		}
		for i := range members {
			markDone(&members[i])
			s.requestStops(&members[i])
		}
	case workloadpb.How_HOW_FAILED:
		t.Failures++
	}
	if checkpoint != "" && !t.Done {
		t.Checkpoint = checkpoint
		for i := range t.step.Tasks {
			if t.step.Step.Gang {
				t.step.Tasks[i].Checkpoint = checkpoint
			}
		}
	}
}

func markDone(t *Task) {
	if t.Done {
		return
	}
	if t.IsWaiting() {
		t.step.waitingTasks--
	}
	t.Done, t.Checkpoint, t.lateStart = true, "", nil
	t.setLosses(nil)
	t.step.doneTasks++
}

// releaseRun removes a run from its worker and returns the resources that the run used.
func (s *State) releaseRun(t *Task, w *Worker, k RunKey) {
	j := t.step.Occurrence.Job
	delete(w.runs, k)
	w.used = w.used.Minus(RequiredCapacity(t.step.Step))
	s.usage[j.Account] = s.usage[j.Account].Minus(ResourcesOf(t.step.Step.Need))
	t.ActiveRuns = slices.DeleteFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Run == k.Run && a.Worker == w })
	if t.IsWaiting() {
		t.step.waitingTasks++
	}
	j.activeRuns--
	s.compactJob(j)
}

// endJobIfFinished ends the job of a task if all its occurrences are complete, or if the task or its gang has failed as
// often as the queue allows. It removes the occurrence of the task if that is complete and has no active runs.
func (s *State) endJobIfFinished(t *Task, at int64) {
	o := t.step.Occurrence
	j := o.Job
	if !j.IsActive() {
		return
	}
	if limit := s.QueueOf(j).GetMaxAttempts(); limit > 0 && !t.Done && !t.step.Step.Lasting {
		failures := t.Failures
		if t.step.Step.Gang {
			failures = t.step.Failures()
		}
		if failures >= limit {
			s.endJob(j, Failed, at)
			return
		}
	}
	if !o.Complete() {
		return
	}
	if o.isIdle() {
		j.occurrences = slices.DeleteFunc(j.occurrences, func(other *Occurrence) bool { return other == o })
		s.resize(j)
	}
	if j.MaxRuns == 0 || j.nextOccurrence == j.MaxRuns &&
		!slices.ContainsFunc(j.occurrences, func(o *Occurrence) bool { return !o.Complete() }) {
		s.endJob(j, Completed, at)
	}
}
