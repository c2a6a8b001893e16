package workload_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against ends that get lost, or commands that grow beyond a log entry, where the ends of many workers share a
// command.
func TestEndsOfManyWorkersShareCommands(t *testing.T) {
	const workers = 100
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.addWorkers("glass", workers)
	s.run(time.Second)
	commands, largest := 0, 0
	s.rejectCommand = func(m *workloadpb.Command) bool {
		if m.GetEnds() != nil {
			commands++
			largest = max(largest, proto.Size(m))
		}
		return false
	}
	for i := range workers {
		s.submit("glass", fmt.Sprint("j", i), step(8, 2000, 1000, 500))
	}
	s.run(5 * time.Second)
	for i := range workers {
		assert.Equal(t, s.jobState("glass", fmt.Sprint("j", i)), "completed")
	}
	assert.Assert(t, commands < workers, "%d commands for the ends on %d workers", commands, workers)
	assert.Assert(t, largest < 64<<10, "a command of %d bytes", largest)
}
