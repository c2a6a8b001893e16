package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(filepath.Clean(path)) //nolint:gosec // The script of the case names the path.
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

// since returns the time since the record was begun.
func (r *record) since() time.Duration { return time.Since(r.begin) }

// add writes a line with the time since the record was begun.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", r.since().Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.file, line); err != nil {
		fmt.Fprintln(os.Stderr, "cannot write the record:", err)
	}
}

func (r *record) close() error { return r.file.Close() }
