package main

import (
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
	"github.com/hibiscusroute/hibiscusroute/platform"
)

const (
	// logFlushInterval is the maximum time that a log line waits for others, which saves system calls.
	logFlushInterval = 200 * time.Millisecond
	// memoryLimitShare is the share of the configured memory that becomes the soft memory limit of the Go runtime, above
	// which it collects garbage regardless of the cost.
	memoryLimitShare = 0.7
	// serveGCPercent is the GOGC value: the heap growth, in percent of the live heap, that triggers a collection. Control
	// processes are few, and one of them is short of processor time before it is short of memory.
	serveGCPercent   = 150
	controlGCPercent = 200
)

// serveCommand runs a process on the users' platform.
type serveCommand struct {
	app *app

	Settings      string      `long:"settings" env:"HIBISCUSROUTE_CONFIG" description:"path of the infrastructure's settings file" required:"true"`
	Trusted       bool        `long:"trusted-network" env:"HIBISCUSROUTE_TRUSTED_NETWORK" description:"processes of hibiscusroute talk to each other without TLS; needed, as the infrastructure hands out no keys"`
	Profile       string      `long:"cpu-profile" env:"HIBISCUSROUTE_CPU_PROFILE" description:"file that gets a processor profile when the process stops"`
	SyncDelayFile string      `long:"sync-delay-file" env:"HIBISCUSROUTE_SYNC_DELAY_FILE" description:"for experiments: file with a duration that each sync of the data directory takes in addition, read at each sync; none if it is missing or empty"`
	Log           setting.Log `group:"Logging"`
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
		return errUsage.New(
			"--trusted-network must be set: the infrastructure hands out no keys, so processes can't use TLS among themselves",
		)
	}
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(serveGCPercent)
	if s.ServesControl {
		debug.SetGCPercent(controlGCPercent)
	}
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMiB) * (1 << 20)))
	}
	log, logOutput := startLog(c.app.out, logFlushInterval, func(w io.Writer) logr.Logger {
		return c.Log.Logger(w).WithValues("process", s.Name)
	})
	defer logOutput.close()
	log.Info("starting; traffic between processes is neither encrypted nor authenticated", "control", s.ServesControl,
		"entry", s.ServesClients, "peer", s.PeerAddress, "seeds", s.Seeds, "founds", s.Bootstrap)
	stopProfile, err := startCPUProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err = platform.Serve(c.app.ctx, platform.Config{
		SettingsPath: c.Settings, Settings: s, Reload: reload, SyncDelayFile: c.SyncDelayFile, Log: log,
	})
	log.Info("stopped", "fault", errorText(err))
	return err
}

// startCPUProfile starts a CPU profile and returns the function that stops it. It does nothing if path is empty.
func startCPUProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close() // Nothing was written.
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // The profiling tool reports a truncated file.
	}, nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
