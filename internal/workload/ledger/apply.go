package ledger

import (
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// MaxTasks bounds the subtasks of a job, so that one submission can't exhaust memory.
const MaxTasks = 10000

// IsValidSubmit reports whether the steps of a job can be understood.
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

func verdict(v workloadpb.Verdict) *workloadpb.Response { return &workloadpb.Response{Verdict: v} }

// AnswerSubmit answers a submission without a change where that is possible; ok is false for one to replicate.
func (s *State) AnswerSubmit(m *workloadpb.Submit) (r *workloadpb.Response, ok bool) {
	q, _, v := s.Route(m.Host, m.Path, m.Id, m.Key)
	if v != workloadpb.Verdict_VERDICT_DONE {
		return verdict(v), true
	}
	if j := s.byID[m.Id]; j != nil && j.Queue == q.Name {
		return verdict(workloadpb.Verdict_VERDICT_DONE), true
	} else if j != nil || !IsValidSubmit(m) {
		return verdict(workloadpb.Verdict_VERDICT_INVALID), true
	}
	return nil, false
}

func (s *State) applySubmit(m *workloadpb.Submit, at int64) *workloadpb.Response {
	if r, ok := s.AnswerSubmit(m); ok {
		return r
	}
	q, account, _ := s.Route(m.Host, m.Path, m.Id, m.Key)
	s.nextJob++
	j := &Job{
		Number: s.nextJob, ID: m.Id, Queue: q.Name, Account: account, Spec: m.Spec, Steps: m.Steps,
		MaxRuns: m.MaxRuns, StartAt: m.StartAtMs, Interval: m.IntervalMs, Accepted: at, state: Queued,
	}
	if j.MaxRuns == 0 {
		j.beginOccurrence(0)
	}
	s.addJob(j)
	s.active = append(s.active, j)
	s.changed()
	return verdict(workloadpb.Verdict_VERDICT_DONE)
}

func (s *State) addJob(j *Job) {
	s.jobs[j.Number], s.byID[j.ID] = j, j
}

// FindJob returns the job of a call, or the answer when there is none.
func (s *State) FindJob(host, path, key, id string) (*Job, *workloadpb.Response) {
	q, _, v := s.Route(host, path, id, key)
	if v != workloadpb.Verdict_VERDICT_DONE {
		return nil, verdict(v)
	}
	j := s.byID[id]
	if j == nil || j.Queue != q.Name {
		return nil, verdict(workloadpb.Verdict_VERDICT_NO_JOB)
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

// Inspect answers a read of a job or of the number of jobs that wait in a queue.
func (s *State) Inspect(m *workloadpb.Inspect) *workloadpb.Response {
	if m.Id != "" {
		j, r := s.FindJob(m.Host, m.Path, m.Key, m.Id)
		if r != nil {
			return r
		}
		return &workloadpb.Response{Verdict: workloadpb.Verdict_VERDICT_DONE, State: string(j.state)}
	}
	q, _, v := s.Route(m.Host, m.Path, m.Id, m.Key)
	r := verdict(v)
	if v == workloadpb.Verdict_VERDICT_DONE {
		for _, j := range s.active {
			if j.Queue == q.Name && !j.HasStarted {
				r.Pending++
			}
		}
	}
	return r
}

func (s *State) endJob(j *Job, state JobState, at int64) {
	j.state, j.Ended = state, at
	s.endedJobs = append(s.endedJobs, j)
	s.active = slices.DeleteFunc(s.active, func(o *Job) bool { return o == j })
	for _, o := range j.occurrences {
		for _, st := range o.Steps {
			for i := range st.Tasks {
				s.stopAttempts(&st.Tasks[i])
			}
		}
	}
	s.compact(j)
	s.changed()
}

func (s *State) stopAttempts(t *Task) {
	for _, a := range t.ActiveRuns {
		s.stops = append(s.stops, Stop{Worker: a.Worker, Key: t.Key(a.Run)})
	}
}

// compact frees what only a job that may still run needs.
func (s *State) compact(j *Job) {
	if !j.IsActive() && j.activeRuns == 0 {
		j.Spec, j.Steps, j.occurrences = "", nil, nil
	}
}

func (s *State) applyOccur(m *workloadpb.BeginOccurrences) {
	for i, n := range m.Jobs {
		if j := s.jobs[n]; j != nil && j.IsActive() && j.next == m.Occurrences[i] && j.next < j.MaxRuns {
			j.beginOccurrence(j.next)
			j.next++
			s.changed()
		}
	}
}

func (s *State) applyExpire(m *workloadpb.Expire) {
	for _, n := range m.Jobs {
		if j := s.jobs[n]; j != nil && !j.IsActive() && j.activeRuns == 0 {
			delete(s.jobs, n)
			delete(s.byID, j.ID)
		}
	}
}

// subtask returns the subtask of a key, nil when it is complete or unknown.
func (s *State) subtask(k RunKey) *Task {
	j := s.jobs[k.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(k.Occurrence)
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
	for _, a := range m.Assignments {
		k := keyOf(a.Subtask, a.Run)
		if t := s.subtask(k); t != nil && s.mayAssign(t, a) {
			s.assign(t, k.Run, s.workers[a.Worker])
		}
	}
	s.changed()
}

// mayAssign repeats the checks of the scheduler, because a command may be applied later than it was decided.
func (s *State) mayAssign(t *Task, a *workloadpb.Assignment) bool {
	w := s.workers[a.Worker]
	step := t.step.Step
	j := t.step.Occurrence.Job
	if w == nil || w.IsDraining() || t.Done || !j.IsActive() || a.Run <= t.LastRun || !t.step.Ready() {
		return false
	}
	if len(t.ActiveRuns) > 0 && !step.Speculative {
		return false
	}
	if p := s.pools[w.Pool()]; p != nil && !RequiredCapacity(step).Within(w.Free()) {
		return false
	}
	allowance := ResourcesOf(s.accounts[j.Account].GetAllowance())
	return s.usage[j.Account].Plus(ResourcesOf(step.Need)).WithinQuota(allowance)
}

func (s *State) assign(t *Task, run int32, w *Worker) {
	j := t.step.Occurrence.Job
	if t.IsWaiting() {
		t.step.waiting--
	}
	t.LastRun = max(t.LastRun, run)
	t.ActiveRuns = append(t.ActiveRuns, ActiveRun{Run: run, Worker: w})
	w.runs[t.Key(run)] = t
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
	for _, e := range m.Ends {
		if e.Number > 0 && e.Number <= w.info.Noted {
			continue
		}
		k := keyOf(e.Subtask, e.Run)
		t := w.runs[k]
		if t == nil {
			t = s.subtask(k)
		}
		if t == nil {
			continue
		}
		s.endRun(w, k, e.How, e.Checkpoint)
		s.settle(t, at)
	}
	w.info.Noted = max(w.info.Noted, m.Noted)
	s.changed()
}

// endRun records the end of a run. A run that was given up before counts too if it ended done or failed.
func (s *State) endRun(w *Worker, k RunKey, how workloadpb.How, checkpoint string) {
	t := w.runs[k]
	if t == nil {
		if t = s.subtask(k); t == nil {
			return
		}
	} else {
		s.release(t, w, k)
	}
	switch how {
	case workloadpb.How_HOW_DONE:
		members := t.step.Tasks
		if !t.step.Step.Gang {
			members = members[t.Index : t.Index+1]
		}
		for i := range members {
			markDone(&members[i])
			s.stopAttempts(&members[i])
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
		t.step.waiting--
	}
	t.Done, t.Checkpoint = true, ""
	t.step.done++
}

// release takes a run off its worker.
func (s *State) release(t *Task, w *Worker, k RunKey) {
	j := t.step.Occurrence.Job
	delete(w.runs, k)
	w.used = w.used.Minus(RequiredCapacity(t.step.Step))
	s.usage[j.Account] = s.usage[j.Account].Minus(ResourcesOf(t.step.Step.Need))
	t.ActiveRuns = slices.DeleteFunc(t.ActiveRuns, func(a ActiveRun) bool { return a.Run == k.Run && a.Worker == w })
	if t.IsWaiting() {
		t.step.waiting++
	}
	j.activeRuns--
	s.compact(j)
}

// settle ends the occurrence and the job of a subtask when its end completes them or is one failure too many.
func (s *State) settle(t *Task, at int64) {
	o := t.step.Occurrence
	j := o.Job
	if !j.IsActive() {
		return
	}
	if limit := s.queues[j.Queue].GetMaxAttempts(); limit > 0 && !t.Done && !t.step.Step.Lasting {
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
	if o.idle() {
		j.occurrences = slices.DeleteFunc(j.occurrences, func(other *Occurrence) bool { return other == o })
	}
	if j.MaxRuns == 0 || j.next == j.MaxRuns && !slices.ContainsFunc(j.occurrences, func(o *Occurrence) bool { return !o.Complete() }) {
		s.endJob(j, Completed, at)
	}
}
