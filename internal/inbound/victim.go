package inbound

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a connection that may be closed, or whose request may be rejected, without a loss of accepted work.
type candidate struct {
	conn *conn
	// idle is whether the connection waits for a request after one was answered.
	idle bool
	// bytes is what the connection occupies.
	bytes int64
	// age is how long the client has been sending its request or, on an idle connection, nothing.
	age time.Duration
}

// cost grows with the memory and with the time for which the client occupies it.
func (c candidate) cost() float64 { return float64(c.bytes) * c.age.Seconds() }

// selectVictims orders the candidates by their cost, idle connections last, and returns as many as are needed for the
// given number of bytes and connections to become free.
func selectVictims(candidates []candidate, bytes, connections int64) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.idle != b.idle {
			if a.idle {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.cost(), a.cost())
	})
	n := 0
	for ; n < len(candidates) && (bytes > 0 || connections > 0); n++ {
		bytes -= candidates[n].bytes
		connections--
	}
	return candidates[:n]
}
