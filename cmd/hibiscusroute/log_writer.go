package main

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxPendingLogBytes bounds the log lines that wait for the output. Lines beyond it are dropped.
	maxPendingLogBytes = 1 << 20
	// logBufferBytes is the size of the waiting lines above which they are written at once.
	logBufferBytes = 16 << 10
	// logCloseTimeout bounds the wait for an output that blocks at the end of the process.
	logCloseTimeout = time.Second
)

// logWriter writes log lines in a goroutine of its own, because the output can block for seconds, as a file does while its
// disk is slow. Write never waits for it.
type logWriter struct {
	output io.Writer
	// flushInterval is the maximum time that a line waits while the output doesn't block.
	flushInterval time.Duration
	// noticeLog writes to notice, which belongs to the goroutine of run.
	noticeLog logr.Logger
	notice    bytes.Buffer

	wake, full chan struct{} // some line waits, and logBufferBytes wait
	quit, done chan struct{}

	mu      sync.Mutex // not held during writes to output
	pending []byte
	spare   []byte // the buffer that was written last
	dropped int    // lines dropped after those in pending
}

// startLog returns a logger that doesn't wait for the output, and its writer. newLogger returns a logger that writes to w.
func startLog(
	output io.Writer, flushInterval time.Duration, newLogger func(w io.Writer) logr.Logger,
) (logr.Logger, *logWriter) {
	f := &logWriter{
		output: output, flushInterval: flushInterval, wake: make(chan struct{}, 1), full: make(chan struct{}, 1),
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	f.noticeLog = newLogger(&f.notice)
	go f.run()
	return newLogger(f), f
}

// Write implements io.Writer. It expects whole lines.
func (f *logWriter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// After a dropped line all lines are dropped until the output goes on, so that the notice stands where lines lack.
	if f.dropped > 0 || len(f.pending)+len(p) > maxPendingLogBytes {
		f.dropped++
	} else {
		f.pending = append(f.pending, p...)
	}
	notify(f.wake)
	if len(f.pending) >= logBufferBytes {
		notify(f.full)
	}
	return len(p), nil
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *logWriter) run() {
	defer close(f.done)
	for {
		select {
		case <-f.quit:
			f.flush()
			return
		case <-f.wake:
		}
		select {
		case <-f.quit:
		case <-f.full:
		case <-time.After(f.flushInterval):
		}
		f.flush()
	}
}

// flush writes the lines that wait.
func (f *logWriter) flush() {
	f.mu.Lock()
	lines, dropped := f.pending, f.dropped
	f.pending, f.dropped = f.spare[:0], 0
	f.mu.Unlock()
	if dropped > 0 {
		f.noticeLog.Error(nil, "dropped log lines, as the output blocked or failed", "lines", dropped)
		lines = append(lines, f.notice.Bytes()...)
		f.notice.Reset()
	}
	if len(lines) > 0 {
		// A failure to write the log can't be logged before the output works again.
		if n, err := f.output.Write(lines); err != nil {
			f.mu.Lock()
			f.dropped += bytes.Count(lines[n:], []byte("\n"))
			f.mu.Unlock()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spare = lines
}

// close writes the lines that wait, but gives up on an output that blocks.
func (f *logWriter) close() {
	close(f.quit)
	select {
	case <-f.done:
	case <-time.After(logCloseTimeout):
	}
}
