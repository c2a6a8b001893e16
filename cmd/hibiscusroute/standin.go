package main

import (
	"context"
	"net"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/standin"
)

func init() {
	register(command{
		path: "standin", short: "Run a stand-in endpoint that announces itself, for trials",
		build: func(a *app) flags.Commander { return &standinCommand{app: a} },
	})
}

const (
	// standinLeaveGrace is how long a leaving endpoint must be idle before it stops, since some processes may still send
	// it requests.
	standinLeaveGrace = 3 * time.Second
	// standinStopTimeout bounds the graceful stop of an endpoint.
	standinStopTimeout = 20 * time.Second
)

type standinCommand struct {
	Instance string   `long:"instance" env:"HIBISCUSROUTE_STANDIN_INSTANCE" required:"true" description:"name of the instance in the configuration"`
	Address  string   `long:"address" env:"HIBISCUSROUTE_STANDIN_ADDRESS" default:"127.0.0.1:0" description:"IP address and port that serve requests"`
	Announce []string `long:"announce" env:"HIBISCUSROUTE_STANDIN_ANNOUNCE" env-delim:"," required:"true" description:"endpoint address of a process, as host:port; repeatable"`
	Size     int      `long:"size" env:"HIBISCUSROUTE_STANDIN_SIZE" default:"64" description:"bytes of an answer"`

	app *app
}

// Execute serves requests until the context is canceled, and then announces that the endpoint leaves.
func (c *standinCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Address)
	if err != nil {
		return errorx.Decorate(err, "listen")
	}
	e := newStandin(c.Instance, ln, c.Announce, c.Size)
	return serveStandin(c.app.ctx, e, ln)
}

func newStandin(instance string, ln net.Listener, announce []string, size int) *standin.Endpoint {
	var urls []string
	for _, a := range announce {
		urls = append(urls, "http://"+a+"/announce")
	}
	return standin.New(standin.Config{
		Instance: instance, Address: ln.Addr().String(), Announce: urls, Behavior: standin.Behavior{Size: size},
	})
}

func serveStandin(ctx context.Context, e *standin.Endpoint, ln net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- e.Serve(ln) }()
	go e.Run(ctx)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinStopTimeout)
	defer cancel()
	return e.Stop(stop, standinLeaveGrace)
}
