package inbound

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

const (
	// defaultReceiveBuffer is the size of the kernel's receive buffer for large bodies unless the configuration has one.
	defaultReceiveBuffer = 64 << 10
	// logInterval limits the log lines about closed connections and rejected requests.
	logInterval = 5 * time.Second
)

// Config configures a Gate.
type Config struct {
	Limits Limits
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection on which a large body is sent; 0
	// uses 64 KiB. It bounds the speed of a body to this size per round trip.
	ReceiveBuffer int
	// Metrics is the set in which the metrics are registered; nil uses none.
	Metrics *metrics.Set
	Log     logr.Logger
}

// Gate limits what the clients of a process occupy; it is safe for concurrent use.
type Gate struct {
	cfg Config

	bytes       atomic.Int64
	connections atomic.Int64
	// buffers is the part of bytes that larger receive buffers add to those of new connections.
	buffers atomic.Int64
	// leavingBytes and leavingConnections are the parts of bytes and connections that belong to rejected requests whose
	// handlers have not returned yet.
	leavingBytes       atomic.Int64
	leavingConnections atomic.Int64

	relieving sync.Mutex // held while senders are searched

	mu       sync.Mutex
	conns    map[*conn]struct{}
	logged   time.Time
	unlogged int // closed connections and rejected requests since logged
}

// New returns a gate.
func New(cfg Config) *Gate {
	if cfg.ReceiveBuffer == 0 {
		cfg.ReceiveBuffer = defaultReceiveBuffer
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	g := &Gate{cfg: cfg, conns: map[*conn]struct{}{}}
	cfg.Metrics.NewGauge("hibiscusroute_inbound_connections", func() float64 { return float64(g.connections.Load()) })
	cfg.Metrics.NewGauge("hibiscusroute_inbound_bytes", func() float64 { return float64(g.bytes.Load()) })
	cfg.Metrics.NewGauge("hibiscusroute_inbound_connections_limit", func() float64 { return float64(cfg.Limits.Connections) })
	cfg.Metrics.NewGauge("hibiscusroute_inbound_bytes_limit", func() float64 { return float64(cfg.Limits.Bytes) })
	return g
}

// Listener returns a listener whose connections count against the limits. It must be the outermost one; the innermost one
// should come from Listen.
func (g *Gate) Listener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection within the limits and refuses others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit counts a new connection. If there is no room, it closes the connection and returns nil.
func (g *Gate) admit(nc net.Conn) *conn {
	c := &conn{Conn: nc, gate: g, phase: phaseNew, since: time.Now()}
	limit := g.cfg.Limits.Connections
	n := g.connections.Add(1)
	if limit > 0 && n > threshold(limit) {
		g.relieve()
		n = g.connections.Load()
	}
	if limit > 0 && n > limit || !g.charge(connectionBytes) {
		g.connections.Add(-1)
		g.countClosed("refused")
		_, _ = nc.Write(unavailable) // the connection is closed in any case
		_ = nc.Close()               // nothing was read
		return nil
	}
	c.own = connectionBytes
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// forget takes a connection that is closed from the search for senders.
func (g *Gate) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// charge adds n bytes to those in use and makes room if they near the limit. It reports false and adds nothing if they
// exceed the limit.
func (g *Gate) charge(n int64) bool {
	limit := g.cfg.Limits.Bytes
	used := g.bytes.Add(n)
	if limit == 0 || used <= threshold(limit) {
		return true
	}
	g.relieve()
	if g.bytes.Load() > limit {
		g.bytes.Add(-n)
		return false
	}
	return true
}

func (g *Gate) release(n int64) { g.bytes.Add(-n) }

// relieve closes connections and rejects requests until enough is free, or about to become free.
func (g *Gate) relieve() {
	// Several connections may find the limit exceeded; one search makes room for all.
	g.relieving.Lock()
	defer g.relieving.Unlock()
	bytes := excess(g.cfg.Limits.Bytes, g.bytes.Load(), g.leavingBytes.Load())
	connections := excess(g.cfg.Limits.Connections, g.connections.Load(), g.leavingConnections.Load())
	if bytes == 0 && connections == 0 {
		return
	}
	now := time.Now()
	var candidates []candidate
	g.mu.Lock()
	for c := range g.conns {
		if v, ok := c.candidate(now); ok {
			candidates = append(candidates, v)
		}
	}
	g.mu.Unlock()
	for _, v := range selectVictims(candidates, bytes, connections) {
		v.conn.evict()
	}
}

func (g *Gate) countClosed(reason string) {
	g.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusroute_inbound_closed_total{reason=%q}", reason)).Inc()
	g.logSome(reason)
}

func (g *Gate) countRejected(reason string) {
	g.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("hibiscusroute_inbound_rejected_total{reason=%q}", reason)).Inc()
	g.logSome(reason)
}

// logSome writes a line at most once in each logInterval.
func (g *Gate) logSome(reason string) {
	g.mu.Lock()
	g.unlogged++
	n, now := g.unlogged, time.Now()
	write := now.Sub(g.logged) >= logInterval
	if write {
		g.logged, g.unlogged = now, 0
	}
	g.mu.Unlock()
	if write {
		g.cfg.Log.Info("closed connections or rejected requests of clients", "number", n, "last-reason", reason,
			"connections", g.connections.Load(), "bytes", g.bytes.Load())
	}
}
