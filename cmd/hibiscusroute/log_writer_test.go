package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

// slowOutput is an output whose writes fail, or block until release is closed.
type slowOutput struct {
	entered chan struct{} // gets a value when a write begins
	release chan struct{}

	mu   sync.Mutex
	fail error
	data bytes.Buffer
}

func newSlowOutput() *slowOutput {
	return &slowOutput{entered: make(chan struct{}, 1), release: make(chan struct{})}
}

func (o *slowOutput) Write(p []byte) (int, error) {
	notify(o.entered)
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fail != nil {
		return 0, o.fail
	}
	return o.data.Write(p)
}

func (o *slowOutput) setFailure(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail = err
}

func (o *slowOutput) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.data.String(), "\n"), "\n")
}

func startTestLog(output io.Writer, flushInterval time.Duration) (logr.Logger, *logWriter) {
	settings := setting.Log{Level: "info", Format: "json"}
	return startLog(output, flushInterval, settings.Logger)
}

func waitFor(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		t.Fatal(what)
	}
}

// Guards against a goroutine that stands still because the file of the log blocks, and against lines that are lost unnoticed.
func TestBlockedOutputHoldsUpNoCaller(t *testing.T) {
	const lines = 20_000 // of 100 bytes and more each
	o := newSlowOutput()
	log, f := startTestLog(o, 0)
	log.Info("first")
	waitFor(t, o.entered, "the first line is not written")
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for i := range lines {
			log.Info("line", "number", i, "filler", strings.Repeat("x", 100))
		}
	}()
	waitFor(t, logged, "a caller waits for the output")
	close(o.release)
	f.close()
	got := o.lines()
	kept := len(got) - 2
	assert.Assert(t, kept*100 <= maxPendingLogBytes && kept > 1000, "%d lines kept", kept)
	for i := range kept {
		assert.Assert(t, strings.Contains(got[1+i], fmt.Sprintf(`"number":%d,`, i)), "line %d is %s", i, got[1+i])
	}
	assert.Assert(t, strings.Contains(got[len(got)-1], fmt.Sprintf(`"lines":%d}`, lines-kept)), got[len(got)-1])
}

// Guards against lines that follow dropped ones and come before the notice, or don't come at all.
func TestLogGoesOnAfterDroppedLines(t *testing.T) {
	o := newSlowOutput()
	log, f := startTestLog(o, time.Millisecond)
	log.Info("first")
	waitFor(t, o.entered, "the first line is not written")
	filler := strings.Repeat("x", maxPendingLogBytes-1000)
	log.Info("second", "filler", filler)
	log.Info("third", "filler", filler)
	log.Info("fourth")
	close(o.release)
	for len(o.lines()) < 3 {
		time.Sleep(time.Millisecond)
	}
	log.Info("fifth")
	f.close()
	got := o.lines()
	assert.Equal(t, len(got), 4)
	for i, text := range []string{`"msg":"first"`, `"msg":"second"`, `"lines":2}`, `"msg":"fifth"`} {
		assert.Assert(t, strings.Contains(got[i], text), "line %d lacks %s", i, text)
	}
}

// Guards against a log that stays silent after one failed write, as on a disk that was full.
func TestLogGoesOnAfterFailedWrite(t *testing.T) {
	o := newSlowOutput()
	close(o.release)
	o.setFailure(errors.New("no space left on device"))
	log, f := startTestLog(o, 0)
	log.Info("first")
	for lost := 0; lost == 0; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		lost = f.dropped
		f.mu.Unlock()
	}
	o.setFailure(nil)
	f.close()
	got := o.lines()
	assert.Equal(t, len(got), 1)
	assert.Assert(t, strings.Contains(got[0], `"lines":1}`), got[0])
}

// Guards against a process that never ends because the file of its log blocks.
func TestBlockedOutputDelaysEndBriefly(t *testing.T) {
	o := newSlowOutput()
	defer close(o.release)
	log, f := startTestLog(o, 0)
	log.Info("first")
	waitFor(t, o.entered, "the first line is not written")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		f.close()
	}()
	waitFor(t, closed, "the end waits for the output")
}

// Guards against lines that wait for others while the output is idle, as a crash would lose them.
func TestLogLineWaitsForFlushIntervalAtMost(t *testing.T) {
	o := newSlowOutput()
	close(o.release)
	log, f := startTestLog(o, time.Millisecond)
	defer f.close()
	log.Info("only")
	waitFor(t, o.entered, "the line is not written")
}
