package ledger

import (
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/job/jobpb"
	"github.com/hibiscusroute/hibiscusroute/internal/placement"
)

// commandsPerFullCheck is the number of commands between two checks of all jobs. The other checks cover only the
// changed jobs, because a check of 8,192 jobs takes about 1 ms.
const commandsPerFullCheck = 1024

// Check verifies the invariants of the jobs that changed since the last check, and at intervals those of all jobs.
func (s *State) Check() error {
	if s.checksUntilFull--; s.checksUntilFull < 0 {
		s.checksUntilFull = commandsPerFullCheck
		if err := s.recount(); err != nil {
			return err
		}
	}
	for key := range s.uncheckedJobs {
		if j, ok := s.jobs[key]; ok {
			if err := checkJob(j); err != nil {
				return err
			}
		}
	}
	for _, key := range s.uncheckedStarts {
		if j, ok := s.jobs[key]; ok && j.Instance != "" {
			if err := s.checkStart(j); err != nil {
				return err
			}
		}
	}
	clear(s.uncheckedJobs)
	s.uncheckedStarts = s.uncheckedStarts[:0]
	return nil
}

func checkJob(j *jobpb.Job) error {
	active := j.Phase == jobpb.Phase_PHASE_STARTING || j.Phase == jobpb.Phase_PHASE_RUNNING ||
		j.Phase == jobpb.Phase_PHASE_CHECKPOINTING
	switch {
	case j.Phase == jobpb.Phase_PHASE_NONE:
		return errorx.IllegalState.New("job %s has no phase", j.Key)
	case active != (j.Instance != "") && j.Phase != jobpb.Phase_PHASE_CANCELLED:
		return errorx.IllegalState.New("job %s is %v on instance %q", j.Key, j.Phase, j.Instance)
	case !j.Submit.Idempotent && j.Starts > 1:
		return errorx.IllegalState.New("job %s is not idempotent and was started %d times", j.Key, j.Starts)
	}
	return nil
}

// checkStart verifies the limits and the capacity after a start only, because a new configuration may lower them below
// what already runs.
func (s *State) checkStart(j *jobpb.Job) error {
	in := s.pools.Instance(j.Instance)
	a := s.allocations[j.Instance]
	poolName, _ := s.pools.PoolOf(j.Instance)
	switch {
	case in == nil || a == nil:
		return errorx.IllegalState.New("job %s started on unknown instance %s", j.Key, j.Instance)
	case !a.charge.Fits(Capacity(in)):
		return errorx.IllegalState.New("instance %s is charged %+v with %d jobs", j.Instance, a.charge, len(a.jobs))
	case poolName != s.Index().Queues[j.Submit.Queue].Pool:
		return errorx.IllegalState.New("job %s of queue %s started in pool %s", j.Key, j.Submit.Queue, poolName)
	case s.runningByTeam[j.Submit.Team] > s.Index().Teams[j.Submit.Team].UpperLimit:
		return errorx.IllegalState.New("team %s runs %d jobs above its upper limit", j.Submit.Team,
			s.runningByTeam[j.Submit.Team])
	}
	return nil
}

// recount verifies all jobs and compares the derived counters with them.
func (s *State) recount() error {
	running, charge, waiting, payload := map[string]int{}, map[string]placement.Resources{}, 0, 0
	for _, j := range s.jobs {
		if err := checkJob(j); err != nil {
			return err
		}
		if j.Instance != "" {
			running[j.Submit.Team]++
			charge[j.Instance] = charge[j.Instance].Add(JobResources(j.Charge))
		}
		if j.Phase == jobpb.Phase_PHASE_WAITING {
			waiting++
		}
		if !HasEnded(j) {
			payload += len(j.Submit.Payload)
		}
	}
	for team, n := range s.runningByTeam {
		if running[team] != n {
			return errorx.IllegalState.New("team %s has %d jobs running, counted as %d", team, running[team], n)
		}
	}
	for name, a := range s.allocations {
		if charge[name] != a.charge {
			return errorx.IllegalState.New("instance %s is charged %+v, counted as %+v", name, charge[name], a.charge)
		}
	}
	for _, list := range s.waitingByQueue {
		waiting -= len(list)
	}
	if waiting != 0 || len(charge) != len(s.allocations) || payload != s.payloadBytes {
		return errorx.IllegalState.New("job counters differ: %d waiting, %d of %d instances, %d of %d payload bytes",
			waiting, len(charge), len(s.allocations), payload, s.payloadBytes)
	}
	return nil
}
