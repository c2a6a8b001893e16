package rate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/rate"
)

// Guards against a rate that is forgotten between two windows, or remembered after a pause.
func TestCounter(t *testing.T) {
	for _, tt := range []struct {
		name string
		at   []time.Duration // of 100 events each
		want int
	}{
		{"none", nil, 0},
		{"burst", []time.Duration{0, 0, 0}, 300},
		{"steady", []time.Duration{0, 500 * time.Millisecond, 1100 * time.Millisecond}, 200},
		{"pause", []time.Duration{0, 0, 3 * time.Second}, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := rate.Counter{}
			for _, at := range tt.at {
				c.Add(at, 100)
			}
			assert.Equal(t, c.PerSecond(), tt.want)
		})
	}
}
