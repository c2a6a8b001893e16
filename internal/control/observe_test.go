package control

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// Guards against logs that don't tell a slow disk from a process without processor time.
func TestSlowSaveIsLogged(t *testing.T) {
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
	var delay atomic.Int64
	v, _ := newFounderOnDisk(t, ln, []string{ln.Addr().String()}, log, func(*os.File) error {
		time.Sleep(time.Duration(delay.Load()))
		return nil
	})
	delay.Store(int64(slowSave + 50*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, v.Run(ctx))
	mu.Lock()
	defer mu.Unlock()
	text := strings.Join(lines, "\n")
	assert.Assert(t, strings.Contains(text, "save to the data directory was slow"), text)
	assert.Assert(t, !strings.Contains(text, "process got no processor time"), text)
}

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
