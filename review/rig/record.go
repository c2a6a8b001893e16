package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // The path is that of the case's own folder.
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = io.WriteString(r.file, line) // The same line is on the standard output.
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close() // Everything is on the standard output, too.
}
