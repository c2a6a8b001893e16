package peer

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against frames that need two writes and against lost or reordered bytes.
func TestCoalescerWritesWholeFrames(t *testing.T) {
	data := func(n byte) []byte { return []byte{0, frameTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, n} }
	window := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 1, 0}
	twelve := []byte("\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x05") // a body that looks like a header
	for _, tt := range []struct {
		name   string
		calls  [][]byte
		writes int
	}{
		{"body", [][]byte{data(5), []byte("hello")}, 1},
		{"no-body", [][]byte{data(0), window}, 2},
		{"several", [][]byte{window, data(2), []byte("ab"), data(1), []byte("c"), window}, 4},
		{"like-a-header", [][]byte{data(12), twelve, data(1), []byte("x")}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var f frameCoalescer
			var written, want []byte
			writes := 0
			for _, p := range tt.calls {
				want = append(want, p...)
				if frame := f.coalesce(p); len(frame) > 0 {
					written = append(written, frame...)
					writes++
				}
			}
			assert.Assert(t, bytes.Equal(written, want), "%q", written)
			assert.Equal(t, writes, tt.writes)
		})
	}
}
