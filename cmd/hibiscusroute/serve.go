package main

import (
	"bufio"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/platform"
)

const (
	// logFlush is how long a log line may wait before it is written.
	logFlush = 200 * time.Millisecond
	// logBuffer is the size of the log's buffer in bytes.
	logBuffer = 16 << 10
	// memoryShare is the part of the memory limit at which the runtime collects garbage without regard to its cost.
	memoryShare = 0.7
	// garbagePercent is how much garbage may gather, in percent of what is in use.
	garbagePercent = 150
)

// serveCommand runs a process on the users' infrastructure.
type serveCommand struct {
	app *app

	Settings string      `long:"settings" env:"HIBISCUSROUTE_CONFIG" description:"path of the infrastructure's settings file" required:"true"`
	Trusted  bool        `long:"trusted-network" env:"HIBISCUSROUTE_TRUSTED_NETWORK" description:"processes of hibiscusroute talk to each other without TLS; needed, as the infrastructure hands out no keys"`
	Profile  string      `long:"cpu-profile" env:"HIBISCUSROUTE_CPU_PROFILE" description:"file that gets a processor profile when the process stops"`
	Log      setting.Log `group:"Logging"`
}

func init() {
	register(command{
		path: "serve", short: "Run a process on the users' infrastructure",
		build: func(a *app) flags.Commander { return &serveCommand{app: a} },
	})
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if !c.Trusted {
		return errUsage.New("--trusted-network must be set: the infrastructure hands out no keys, so processes can't use TLS among themselves")
	}
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(garbagePercent)
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMiB) * (1 << 20)))
	}
	out := newFlushedWriter(c.app.out)
	defer out.close()
	log := c.Log.Logger(out).WithValues("process", s.Name)
	log.Info("starting; traffic between processes is neither encrypted nor authenticated", "control", s.ServesControl,
		"entry", s.ServesClients, "peer", s.PeerAddress, "seeds", s.Seeds, "founds", s.Bootstrap)
	stopProfile, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err = platform.Serve(c.app.ctx, platform.Config{SettingsPath: c.Settings, Settings: s, Reload: reload, Log: log})
	log.Info("stopped", "fault", errorText(err))
	return err
}

// startProfile begins a processor profile, which the returned function ends; an empty path does nothing.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close() // nothing was written
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // a profile that is cut short can't be read, which its reader tells
	}, nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// flushedWriter writes lines together, so that logging costs few system calls.
type flushedWriter struct {
	mu   sync.Mutex
	w    *bufio.Writer
	done chan struct{}
}

func newFlushedWriter(w io.Writer) *flushedWriter {
	f := &flushedWriter{w: bufio.NewWriterSize(w, logBuffer), done: make(chan struct{})}
	go func() {
		t := time.NewTicker(logFlush)
		defer t.Stop()
		for {
			select {
			case <-f.done:
				return
			case <-t.C:
				f.flush()
			}
		}
	}()
	return f
}

func (f *flushedWriter) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.w.Flush() // There is nowhere to report that the log can't be written.
}

func (f *flushedWriter) close() {
	close(f.done)
	f.flush()
}

// Write implements io.Writer.
func (f *flushedWriter) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.w.Write(p)
}
