package scenario

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hibiscusroute/hibiscusroute/internal/node"
	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"hibiscusroute": runProgram}) }

// cutDirectory names the environment variable with the directory that holds one file per isolated IP address.
const cutDirectory = "HIBISCUSROUTE_SCENARIO_CUT"

// runProgram runs one process as the subcommand node does, over connections that the test can cut.
func runProgram() {
	// The test holds the other end of standard input, so the process exits when the test ends.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	err := runNode(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runNode(ctx context.Context) error {
	var s setting.Node
	if _, err := flags.Parse(&s); err != nil {
		return err
	}
	p, err := s.Load()
	if err != nil {
		return err
	}
	l := &cuttableDialer{dir: os.Getenv(cutDirectory), self: p.Peer.Addr().String(), conns: map[*cuttableConn]bool{}}
	go l.watch()
	n, err := node.New(node.Config{Process: p, Dial: l.dial, Log: s.Log.Logger(os.Stderr)})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// cuttableDialer dials connections that can be cut: they then drop all data in both directions without an error on
// either side.
type cuttableDialer struct {
	dir, self string

	mu    sync.Mutex
	cut   map[string]bool // isolated IP addresses
	conns map[*cuttableConn]bool
}

type cuttableConn struct {
	net.Conn
	l    *cuttableDialer
	to   string
	lost bool // data was dropped, so the connection is closed when the cut ends
}

func (l *cuttableDialer) watch() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		files, _ := filepath.Glob(filepath.Join(l.dir, "*"))
		cut := map[string]bool{}
		for _, f := range files {
			cut[filepath.Base(f)] = true
		}
		l.mu.Lock()
		l.cut = cut
		for c := range l.conns {
			if c.lost && !l.isCut(c.to) {
				_ = c.Conn.Close()
				delete(l.conns, c)
			}
		}
		l.mu.Unlock()
	}
}

func (l *cuttableDialer) isCut(to string) bool { return to != l.self && (l.cut[to] || l.cut[l.self]) }

func (l *cuttableDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	cut := l.isCut(to)
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{Conn: conn, l: l, to: to}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// dropsData reports whether the connection drops data: once data was written or read during a cut, it drops all data.
func (c *cuttableConn) dropsData() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.lost = c.lost || c.l.isCut(c.to)
	return c.lost
}

func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.dropsData() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cuttableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropsData() {
			return n, err
		}
	}
}

func (c *cuttableConn) Close() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	delete(c.l.conns, c)
	return c.Conn.Close()
}
