package workload_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against tasks that crash more workers than the rule allows in pools with few workers, after changes of leader or
// a restart of the control processes, and for workers that boot late or under other names.
func TestCrashesAreCountedUnderAdverseConditions(t *testing.T) {
	limited := step(4, 880, 1000, 800)
	limited.MaxPerWorker = 1
	speculative := step(3, 880, 1000, 800)
	speculative.Speculative = true
	gang := step(2, 2000, 1000, 800)
	gang.Gang = true
	same := func(_ string, w *fakeWorker) (string, string) { return w.m.Id, w.m.Address }
	sameID := func(name string, w *fakeWorker) (string, string) {
		return w.m.Id, fmt.Sprintf("a-%s-%d", name, w.sim.now.Milliseconds())
	}
	ordinary, long := step(6, 880, 1000, 800), lasting(3, 2000, 1000)
	for _, tt := range []struct {
		name       string
		workers    int
		jobs       int
		deadly     *workloadpb.Step
		rebootTime time.Duration
		rebootAs   func(name string, w *fakeWorker) (id, address string)
		// electedAfter is the time from each crash to a change of leader, restored whether the ledger is restored then.
		electedAfter time.Duration
		restored     bool
	}{
		{"two jobs two workers", 2, 2, ordinary, 0, nil, 0, false},
		{"three jobs two workers", 2, 3, ordinary, 0, nil, 0, false},
		{"three jobs four workers", 4, 3, ordinary, 0, nil, 0, false},
		{"two long-running jobs two workers", 2, 2, long, 0, nil, 0, false},
		{"three long-running jobs two workers", 2, 3, long, 0, nil, 0, false},
		{"three long-running jobs four workers", 4, 3, long, 0, nil, 0, false},
		{"two gangs three workers", 3, 2, gang, 0, nil, 0, false},
		{"maximum per worker", 4, 2, limited, 0, nil, 0, false},
		{"speculative", 4, 2, speculative, 0, nil, 0, false},
		{"same ID and address", 4, 2, ordinary, 0, same, 0, false},
		{"same ID elsewhere", 4, 2, ordinary, 0, sameID, 0, false},
		{"12 s", 4, 2, ordinary, 12 * time.Second, nil, 0, false},
		{"20 s", 6, 1, ordinary, 20 * time.Second, nil, 0, false},
		{"20 s long-running", 6, 1, long, 20 * time.Second, nil, 0, false},
		{"leader at once", 4, 2, ordinary, 0, nil, simStep, false},
		{"leader before the request fails", 4, 2, ordinary, 0, nil, 500 * time.Millisecond, false},
		{"leader before the boot", 4, 2, ordinary, 0, nil, 3200 * time.Millisecond, false},
		{"leader at the boot", 4, 2, ordinary, 0, nil, 3300 * time.Millisecond, false},
		{"leader after the boot", 4, 2, long, 0, nil, 3310 * time.Millisecond, false},
		{"restore at once", 4, 2, ordinary, 0, nil, simStep, true},
		{"restore before the boot", 4, 2, long, 0, nil, 3200 * time.Millisecond, true},
		{"restore after the boot", 4, 2, ordinary, 0, nil, 3310 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newLossSim(t, tt.workers)
			if tt.rebootTime > 0 {
				s.rebootTime = tt.rebootTime
			}
			s.rebootAs = tt.rebootAs
			s.onCrash = func(string) {
				if tt.electedAfter == 0 {
					return
				}
				s.scheduleLasting(tt.electedAfter, func() {
					if tt.restored {
						data, err := s.e.State().Snapshot()
						assert.NilError(t, err)
						assert.NilError(t, s.e.State().Restore(data))
					}
					s.startTerm()
				})
			}
			s.submit("glass", "last", lasting(1, 1000, 1000))
			s.run(time.Second)
			for i := range tt.jobs {
				s.submit("glass", fmt.Sprintf("deadly-%d", i), tt.deadly)
			}
			s.runBusy(15*time.Second+4*s.rebootTime, time.Duration(2500/tt.workers)*time.Millisecond, nil)
			s.run(20 * time.Second)
			t.Logf("crashes: %v, later starts: %v", s.crashes, s.lateStarts)
			for i := range tt.jobs {
				assert.Equal(t, s.jobState("glass", fmt.Sprintf("deadly-%d", i)), string(ledger.Failed))
			}
			s.assertCompleted()
			assert.Equal(t, s.running("last"), 1)
		})
	}
}

// Guards against a task that goes on crashing workers, because some of them had begun to drain when they crashed.
func TestCrashesOfDrainingWorkersKeepLimit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		deadly *workloadpb.Step
	}{{"ordinary", step(3, 880, 1000, 800)}, {"lasting", lasting(1, 2000, 1000)}} {
		for _, draining := range [][]int{{1}, {2}, {3}, {4}, {1, 2}, {1, 3}, {1, 4}, {2, 3}, {2, 4}, {3, 4}} {
			t.Run(tt.name+"/"+strings.Trim(fmt.Sprint(draining), "[]"), func(t *testing.T) {
				s := newLossSim(t, 8)
				s.run(time.Second)
				s.onCrash = func(task string) {
					for _, id := range sortedIDs(s.workers) {
						if w := s.workers[id]; !w.dead && w.runs[task] != nil && slices.Contains(draining, s.crashes[task]) {
							w.draining = true
							s.report(w)
						}
					}
				}
				s.submit("glass", "deadly", tt.deadly)
				s.runBusy(60*time.Second, 600*time.Millisecond, nil)
				s.run(10 * time.Second)
				assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
				s.assertCompleted()
			})
		}
	}
}

// Guards against a task that goes on crashing workers, because the instances of some of them are maintained before they
// boot again.
func TestCrashesAroundMaintenanceKeepLimit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		deadly *workloadpb.Step
	}{{"ordinary", step(3, 880, 1000, 800)}, {"lasting", lasting(1, 2000, 1000)}} {
		for _, atCrash := range []int{0, 1, 2, 3} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, atCrash), func(t *testing.T) {
				s := newLossSim(t, 8)
				var wave []string
				for i := range 8 {
					wave = append(wave, fmt.Sprintf("m-glass-%d", i))
				}
				start := func() { s.startWave(1, 2, wave...) }
				s.run(time.Second)
				s.onCrash = func(task string) {
					if s.crashes[task] == atCrash {
						start()
					}
				}
				s.submit("glass", "deadly", tt.deadly)
				if atCrash == 0 {
					start()
				}
				s.runBusy(60*time.Second, 600*time.Millisecond, nil)
				s.run(10 * time.Second)
				assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
				assert.Assert(t, s.waveCompleted(1))
				s.assertCompleted()
			})
		}
	}
}

// Guards against innocent jobs that fail in a pool with few workers, one of which crashes again and again by itself.
func TestFlappingWorkerOfSmallPoolFailsNoJob(t *testing.T) {
	for _, workers := range []int{2, 3, 4} {
		for _, interval := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d/%v", workers, interval), func(t *testing.T) {
				s := newLossSim(t, workers)
				s.submit("glass", "last", lasting(2, 1000, 1000))
				crashedAt := time.Duration(0)
				s.runBusy(60*time.Second, time.Duration(2500/workers)*time.Millisecond, func() {
					if s.now-crashedAt >= interval {
						crashedAt = s.now
						s.crash(s.workers[s.instances["m-glass-0"].Worker], 2*time.Second)
					}
				})
				s.run(30 * time.Second)
				s.assertCompleted()
				assert.Equal(t, s.running("last"), 2)
			})
		}
	}
}

// Guards against occurrences of a scheduled job that each crash as many workers as one job may.
func TestScheduledJobThatCrashesWorkersIsGivenUp(t *testing.T) {
	s := newLossSim(t, 4)
	s.run(time.Second)
	r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{Submit: &workloadpb.Submit{
		Host: "h", Path: "/glass/deadly", Id: "deadly", Spec: "spec deadly", Steps: []*workloadpb.Step{step(3, 880, 1000, 800)},
		MaxRuns: 6, StartAtMs: 1_002_000, IntervalMs: 4000,
	}}})
	assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE)
	s.runBusy(60*time.Second, 600*time.Millisecond, nil)
	s.run(10 * time.Second)
	t.Logf("crashes: %v", s.crashes)
	assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
	s.assertCompleted()
}

// Guards against a cancelled job that goes on crashing workers.
func TestCancelledJobStopsCrashingWorkers(t *testing.T) {
	s := newLossSim(t, 4)
	s.run(time.Second)
	s.submit("glass", "deadly", step(3, 880, 1000, 800))
	for s.crashes["deadly.0.0.0"] < 2 {
		s.run(simStep)
	}
	s.cancel("glass", "deadly")
	s.runBusy(30*time.Second, 600*time.Millisecond, nil)
	s.run(10 * time.Second)
	assert.Equal(t, s.crashes["deadly.0.0.0"], 2)
	assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Cancelled))
	s.assertCompleted()
}

// Guards against crashes that are forgotten when the queue of their task moves to another pool.
func TestMovedQueueKeepsCrashes(t *testing.T) {
	for _, crashes := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			s := newLossSim(t, 3)
			s.configure(2, nil, "glass", "clay")
			s.addWorkers("clay", 3)
			s.run(time.Second)
			s.submit("glass", "deadly", step(3, 880, 1000, 800))
			for s.crashes["deadly.0.0.0"] < crashes {
				s.run(simStep)
			}
			s.configure(3, func(d *workloadpb.Document) { d.Queues[0].Pool = "clay" }, "glass", "clay")
			s.runBusy(30*time.Second, 600*time.Millisecond, nil)
			s.run(10 * time.Second)
			t.Logf("crashes: %v", s.crashes)
			assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
			s.assertCompleted()
		})
	}
}

// Guards against crashes that don't show, because the worker comes back with another name or in another pool.
func TestCrashesOfRenamedWorkersAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name string
		// pool is the one to which the instance moves before it boots.
		pool string
		// renamed workers boot under another ID at another address.
		renamed bool
	}{
		{"another ID and address", "glass", true},
		{"another pool", "clay", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newLossSim(t, 8)
			s.configure(2, nil, "glass", "clay")
			s.rebootAs = func(name string, w *fakeWorker) (id, address string) {
				s.instances[name].Pool = tt.pool
				id = fmt.Sprintf("w-%s-%d", name, s.now.Milliseconds())
				if tt.renamed {
					return id, "a-" + id
				}
				return id, w.m.Address
			}
			s.submit("glass", "deadly", step(3, 880, 1000, 800))
			s.runBusy(70*time.Second, 600*time.Millisecond, nil)
			assert.Equal(t, s.jobState("glass", "deadly"), string(ledger.Failed))
		})
	}
}
