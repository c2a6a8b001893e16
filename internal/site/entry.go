package site

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"github.com/hibiscusroute/hibiscusroute/internal/peer"
)

// EntryConfig holds the settings of an entry process.
type EntryConfig struct {
	Name string
	// PeerAddress is the address on which the process listens for other processes.
	PeerAddress string
	// Seeds are the peer addresses of control processes from the settings.
	Seeds []string
	Log   logr.Logger
}

// Entry is an entry process, which forwards commands to the leader and keeps no state.
type Entry struct {
	Caller
	transport *peer.Transport
}

// NewEntry returns an entry process whose peer listener is open.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	ln, err := net.Listen("tcp", cfg.PeerAddress)
	if err != nil {
		return nil, errorx.Decorate(err, "listen on %s", cfg.PeerAddress)
	}
	t, err := peer.New(peer.Config{Name: cfg.Name, Listener: ln, Log: cfg.Log})
	if err != nil {
		_ = ln.Close() // The first error is the one to report.
		return nil, err
	}
	e := &Entry{Caller: newCaller(t, cfg.Seeds, clientSearchTimeout), transport: t}
	e.forwarders = &forwarders{process: cfg.Name}
	return e, nil
}

// Run serves until ctx is done.
func (e *Entry) Run(ctx context.Context) error { return e.transport.Serve(ctx) }
