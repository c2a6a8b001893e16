package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/platform/emulator"
)

// emulateCommand runs an experiment against processes of this program.
type emulateCommand struct {
	app *app

	Seed      uint64 `long:"seed" env:"HIBISCUSROUTE_EMULATE_SEED" description:"seed of the load and of the choice of victims; 0 takes that of the file"`
	Directory string `long:"directory" env:"HIBISCUSROUTE_EMULATE_DIRECTORY" description:"directory for settings, data and logs of the processes; a new one that is removed without broken promises if not set"`
	Profile   string `long:"profile" env:"HIBISCUSROUTE_EMULATE_PROFILE" description:"how the names of the processes begin, such as control, whose processor profiles are written into the directory"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"experiment: processes, instances, load and troubles"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register(command{
		path: "emulate", short: "Play a load and troubles against processes on loopback and check what users are promised",
		build: func(a *app) flags.Commander { return &emulateCommand{app: a} },
	})
}

var errViolations = errorx.NewNamespace("emulate").NewType("broken-promises")

// Execute implements flags.Commander.
func (c *emulateCommand) Execute([]string) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return errUsage.Wrap(err, "open experiment")
	}
	e, err := emulator.Read(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if c.Seed > 0 {
		e.Seed = c.Seed
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	dir, keepDirectory := c.Directory, true
	if dir == "" {
		if dir, err = os.MkdirTemp("", "hibiscusroute-emulate-"); err != nil {
			return err
		}
		keepDirectory = false
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	r, err := emulator.Run(c.app.ctx, emulator.Config{
		Experiment: e, Binary: binary, Directory: dir, CPUProfilePrefix: c.Profile,
	})
	if r != nil {
		if perr := r.Print(c.app.out); err == nil {
			err = perr
		}
		if r.ViolationCount > 0 && err == nil {
			keepDirectory = true
			err = errViolations.New("%d promises were broken; logs of the processes are in %s", r.ViolationCount, dir)
		}
	}
	if !keepDirectory {
		if rerr := os.RemoveAll(dir); err == nil {
			err = rerr
		}
	}
	return err
}
