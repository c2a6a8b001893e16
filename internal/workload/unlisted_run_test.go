package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that starts elsewhere while a later incarnation, which is cut off before it sends a heartbeat, works on a
// run that was meant for its predecessor and whose start it has answered, with a lease that its own clock makes the longest one.
func TestRunAnsweredByIncarnationThatIsCutOffRunsOnce(t *testing.T) {
	for _, lease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, cutAfter := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond} {
			for _, isLasting := range []bool{false, true} {
				for _, newLeader := range []bool{false, true} {
					t.Run(fmt.Sprint(lease, cutAfter, isLasting, newLeader), func(t *testing.T) {
						s := newSim(t)
						s.setMaxLease(lease)
						s.configure(1, nil, "p")
						w := s.addWorkers("p", 1)[0]
						s.run(9 * time.Second)
						later := s.restartSilently(w)
						st := step(1, 12000, 1000, 30_000)
						st.Lasting = isLasting
						s.submit("p", "job", st)
						s.runUntil(time.Second, func() bool { return len(later.runs) == 1 })
						s.addWorkerTo("p", "m-p-1")
						s.run(cutAfter)
						later.unreachable = true
						if newLeader {
							s.run(500 * time.Millisecond)
							s.startTerm()
						}
						s.run(9 * time.Second)
						later.unreachable, later.mute = false, false
						s.runUntil(15*time.Second, func() bool { return s.running("job") == 1 })
						s.run(5 * time.Second)
						assert.Equal(t, s.running("job"), 1)
					})
				}
			}
		}
	}
}

// Guards against a run of the next incarnation that is given up before a list has shown it, and lets its task forget that the start
// of the former run may still be carried out.
func TestUnlistedRunKeepsLateStartOfFormerRun(t *testing.T) {
	s := newPinnedSimAt(t, 9*time.Second, step(1, 12000, 1000, 30_000))
	s.run(500 * time.Millisecond)
	between := s.restartLost(1)
	s.runUntil(5*time.Second, func() bool { return len(between.runs) == 1 })
	between.unreachable = true
	s.run(10 * time.Second)
	between.dead = true
	s.run(s.late.sent + 11500*time.Millisecond - s.now)
	later := s.restartLost(0)
	later.unreachable = true
	assert.Equal(t, len(later.runs), 1)
	s.runUntil(30*time.Second, func() bool { return len(s.other.runs) == 1 })
	assert.Equal(t, s.running("job"), 1)
}
