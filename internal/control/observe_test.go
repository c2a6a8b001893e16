package control

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// Guards against a group without a leader whose logs don't tell which voters are missing.
func TestVoterWithoutLeaderNamesSilentVoters(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	log := funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, args)
	}, funcr.Options{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	const lost = "127.0.0.1:1"
	v, _ := newFounder(t, ln, []string{ln.Addr().String(), lost}, log)
	ctx, cancel := context.WithTimeout(t.Context(), leaderlessAfter+time.Second)
	defer cancel()
	assert.NilError(t, v.Run(ctx))
	assert.Equal(t, v.Group(), GroupStatus{Voters: 2})
	mu.Lock()
	defer mu.Unlock()
	var found []string
	for _, l := range lines {
		if strings.Contains(l, "no leader of the control group is known") {
			found = append(found, l)
		}
	}
	assert.Equal(t, len(found), 1, "%v", lines)
	assert.Assert(t, strings.Contains(found[0], `"silent"=["`+lost+`"]`), found[0])
	assert.Assert(t, strings.Contains(found[0], `"quorum"=2`), found[0])
}
