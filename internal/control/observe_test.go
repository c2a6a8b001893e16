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

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// logLines collects log lines.
type logLines struct {
	mu   sync.Mutex
	list []string
}

func (l *logLines) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.list = append(l.list, args)
	}, funcr.Options{})
}

// find returns the lines that contain a text.
func (l *logLines) find(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.list {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// Guards against logs that don't tell a slow disk from a process without processor time.
func TestSlowSaveIsLogged(t *testing.T) {
	lines := &logLines{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	var delay atomic.Int64
	v, _ := newFounderOnDisk(t, ln, []string{ln.Addr().String()}, lines.logger(), func(*os.File) error {
		time.Sleep(time.Duration(delay.Load()))
		return nil
	})
	delay.Store(int64(slowSave + 50*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, v.Run(ctx))
	slow, late := lines.find("save to the data directory was slow"), lines.find("process got no processor time")
	assert.Assert(t, len(slow) > 1 && len(late) < len(slow), "%v", append(slow, late...))
}

// Guards against a group without a leader whose logs don't tell which voters are missing.
func TestVoterWithoutLeaderNamesSilentVoters(t *testing.T) {
	lines := &logLines{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	const lost = "127.0.0.1:1"
	v, _ := newFounder(t, ln, []string{ln.Addr().String(), lost}, lines.logger())
	ctx, cancel := context.WithTimeout(t.Context(), leaderlessAfter+time.Second)
	defer cancel()
	assert.NilError(t, v.Run(ctx))
	assert.Equal(t, v.Group(), GroupStatus{Voters: 2})
	found := lines.find("no leader of the control group is known")
	assert.Equal(t, len(found), 1, "%v", lines.find(""))
	assert.Assert(t, strings.Contains(found[0], `"silent"=["`+lost+`"]`), found[0])
	assert.Assert(t, strings.Contains(found[0], `"quorum"=2`), found[0])
}
