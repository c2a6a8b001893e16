package forecast

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
)

// Guards against steep rises that are taken for a low rate, and against a few jobs that are taken for a rise.
func TestArrivalRate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		jobs     int
		gap      time.Duration
		after    time.Duration // since the last job
		min, max int64         // jobs per second
	}{
		{"three jobs at once", 3, 0, 0, 0, 0},
		{"five jobs at once", 5, 0, 0, 10, 10},
		{"first 200 ms of 70 per second", 14, 14 * time.Millisecond, 0, 45, 70},
		{"70 per second", 200, 14 * time.Millisecond, 0, 55, 75},
		{"16 per second", 50, 60 * time.Millisecond, 0, 11, 17},
		{"2 per second", 10, 500 * time.Millisecond, 0, 2, 2},
		{"2 per second, silent for 1.4 s", 10, 500 * time.Millisecond, 1400 * time.Millisecond, 2, 2},
		{"2 per second, silent for 1.6 s", 10, 500 * time.Millisecond, 1600 * time.Millisecond, 0, 0},
		{"70 per second, silent for 1 s", 200, 14 * time.Millisecond, time.Second, 0, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Config{})
			now := time.Duration(0)
			for range tt.jobs {
				now += tt.gap
				f.ObserveArrival("p", now, ledger.Resources{CPU: 1000})
			}
			r, _ := f.Expected("p", now+tt.after)
			assert.Assert(t, tt.min <= r.CPU && r.CPU <= tt.max, "%d per second", r.CPU)
		})
	}
}
