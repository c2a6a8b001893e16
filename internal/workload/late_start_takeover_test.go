package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against a start that is repeated while the end of its run is on its way to the log, which then doesn't tell of it.
func TestStartIsNotRepeatedOnceItsEndIsListed(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "p")
	w := s.addWorkers("p", 1)[0]
	s.run(2 * time.Second)
	s.commitDelay = func() time.Duration { return 100 * time.Millisecond }
	w.how = workloadpb.How_HOW_FAILED
	starts := 0
	s.intercept = func(a kernel.Action) bool {
		start, ok := a.(workload.StartRun)
		if !ok || start.Name.Run > 1 {
			return false
		}
		starts++
		sent := s.sentAt
		w.execute(a, sent)
		s.schedule(time.Second, func() { s.fail(a, workload.NoAnswer, sent) })
		return true
	}
	s.submit("p", "job", step(1, 12000, 1000, 1100))
	s.run(5 * time.Second)
	assert.Equal(t, starts, 1)
}
