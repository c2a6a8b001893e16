package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
	"github.com/hibiscusroute/hibiscusroute/internal/view"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// clock is a settable time.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1_700_000_000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fleetView has n instances i-0, i-1, ... in one pool, spread over three zones with two racks each.
func fleetView(n int) *view.View {
	c := &fleet.Configuration{
		Processes: 8, Pools: []fleet.Pool{{Name: "web"}}, Queues: []fleet.Queue{{Name: "plates", Pool: "web"}},
	}
	for k := range n {
		c.Instances = append(c.Instances, fleet.Instance{
			Name: fmt.Sprintf("i-%d", k), Pool: "web", Slots: 8, Connections: 64,
			AvailabilityZone: fmt.Sprintf("z-%d", k%3), Rack: fmt.Sprintf("z-%d-r-%d", k%3, k/3%2),
		})
	}
	return view.New(view.Config{Configuration: c})
}

func newRegistry(c *clock, v *view.View, change func(*Config)) *Registry {
	cfg := Config{
		View:       func() (*view.View, error) { return v, nil },
		TryAcquire: func(string) (func(), bool) { return func() {}, true },
		Now:        c.Now, Log: logr.Discard(),
	}
	if change != nil {
		change(&cfg)
	}
	return New(cfg)
}

func ready(instance string, incarnation, sequence uint64) Announcement {
	return Announcement{
		Instance: instance, Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: sequence, State: stateReady,
	}
}

func leaving(instance string, incarnation, sequence uint64) Announcement {
	a := ready(instance, incarnation, sequence)
	a.State = stateLeaving
	return a
}

func usable(t *testing.T, r *Registry, v *view.View) bool {
	t.Helper()
	target, err := r.Pick(v, "plates", nil)
	if err != nil {
		return false
	}
	target.Release()
	return true
}

// Guards against an endpoint that said leaving, was replaced or vanished and is revived by a late announcement.
func TestAnnouncementsAreOrdered(t *testing.T) {
	for _, tc := range []struct {
		name string
		list []Announcement
		want bool
	}{
		{"ready", []Announcement{ready("i-0", 1, 1)}, true},
		{"leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2)}, false},
		{"late duplicate after leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2), ready("i-0", 1, 1)}, false},
		{"overtaken ready after leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2), ready("i-0", 1, 3)}, false},
		{"leaving that was overtaken", []Announcement{ready("i-0", 1, 3), leaving("i-0", 1, 2)}, false},
		{"leaving first", []Announcement{leaving("i-0", 1, 2), ready("i-0", 1, 1)}, false},
		{"restart after leaving", []Announcement{leaving("i-0", 1, 2), ready("i-0", 2, 1)}, true},
		{"late leaving of the replaced", []Announcement{ready("i-0", 2, 1), leaving("i-0", 1, 9)}, true},
		{"late ready of the replaced", []Announcement{ready("i-0", 1, 1), leaving("i-0", 2, 1), ready("i-0", 1, 9)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, c := fleetView(1), newClock()
			r := newRegistry(c, v, nil)
			for _, a := range tc.list {
				r.recordAnnouncement(a)
			}
			assert.Equal(t, usable(t, r, v), tc.want)
		})
	}
}

// Guards against an announcement older than its TTL that still attracts work, and a duplicate that refreshes it.
func TestAnnouncementExpires(t *testing.T) {
	v, c := fleetView(1), newClock()
	r := newRegistry(c, v, nil)
	r.recordAnnouncement(ready("i-0", 1, 1))
	c.add(3 * time.Second)
	assert.Assert(t, usable(t, r, v))
	r.recordAnnouncement(ready("i-0", 1, 1))
	c.add(time.Millisecond)
	assert.Assert(t, !usable(t, r, v))
	r.recordAnnouncement(ready("i-0", 1, 2))
	assert.Assert(t, usable(t, r, v))
	r.recordAnnouncement(leaving("i-0", 1, 3))
	c.add(recordRetention - time.Second)
	r.Flush()
	r.recordAnnouncement(ready("i-0", 1, 2))
	assert.Assert(t, !usable(t, r, v), "the record of a leaving endpoint was forgotten too early")
}

// Guards against an announcement listener that takes anything from anybody.
func TestRefusesBadAnnouncements(t *testing.T) {
	good, err := json.Marshal(ready("i-0", 1, 1))
	assert.NilError(t, err)
	body := func(old, new string) string { return strings.Replace(string(good), old, new, 1) }
	for _, tc := range []struct {
		name, key, body string
		want            int
	}{
		{"good", "k", string(good), 200},
		{"no key", "", string(good), 401},
		{"other key", "kk", string(good), 401},
		{"unknown instance", "k", body("i-0", "i-7"), 403},
		{"no instance", "k", body("i-0", ""), 400},
		{"long instance", "k", body("i-0", strings.Repeat("x", 129)), 400},
		{"address without port", "k", body(":1", ""), 400},
		{"address without host", "k", body("127.0.0.1", ""), 400},
		{"zero incarnation", "k", body(`"incarnation":1`, `"incarnation":0`), 400},
		{"negative sequence", "k", body(`"sequence":1`, `"sequence":-1`), 400},
		{"unknown state", "k", body("ready", "lost"), 400},
		{"unknown field", "k", body(`"state"`, `"pool":"web","state"`), 400},
		{"two documents", "k", string(good) + string(good), 400},
		{"no document", "k", "", 400},
		{"oversized", "k", strings.Repeat(" ", maxAnnouncementBytes) + string(good), 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRegistry(newClock(), fleetView(1), func(cfg *Config) { cfg.Key = "k" })
			req := httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(tc.body))
			req.Header.Set("Authorization", "Bearer "+tc.key)
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			assert.Equal(t, w.Code, tc.want, w.Body.String())
		})
	}
}

// Guards against announcement traffic that grows with the fleet.
func TestIntervalGrowsWithFleet(t *testing.T) {
	for _, tc := range []struct {
		n    int
		want time.Duration
	}{{1, time.Second}, {50, time.Second}, {1000, 10 * time.Second}, {100_000, time.Minute}} {
		assert.Equal(t, announceInterval(tc.n), tc.want, "%d endpoints", tc.n)
	}
}

// pipe sends the updates of one registry to another as a peer stream does, unless it is cut.
type pipe struct {
	from  string
	to    *Registry
	cut   bool
	bytes int
}

func (p *pipe) send(u *endpointpb.Update) {
	data, _ := proto.Marshal(u)
	p.bytes += len(data)
	m := &endpointpb.Update{}
	if p.cut || p.to == nil || proto.Unmarshal(data, m) != nil {
		return
	}
	p.to.ReceiveUpdate(p.from, m)
}

// Guards against endpoints that only the process they announced to can use, and against reports of a process that
// has been unreachable for 3 s.
func TestExchangeBetweenProcesses(t *testing.T) {
	v, c := fleetView(3), newClock()
	p := &pipe{from: "a"}
	a := newRegistry(c, v, func(cfg *Config) { cfg.Send = p.send })
	b := newRegistry(c, v, nil)
	a.recordAnnouncement(ready("i-0", 1, 1))
	p.to = b
	a.recordAnnouncement(ready("i-1", 1, 1))
	assert.Assert(t, !usable(t, b, v), "an update before the full state counted")
	p.send(a.FullUpdate())
	assert.Assert(t, usable(t, b, v))
	for seq := uint64(2); seq < 12; seq++ {
		a.recordAnnouncement(ready("i-0", 1, seq))
		c.add(time.Second)
		a.Flush()
		assert.Assert(t, usable(t, b, v), "sequence %d", seq)
	}
	p.cut = true
	for seq := uint64(12); seq < 15; seq++ {
		a.recordAnnouncement(ready("i-0", 1, seq))
		c.add(time.Second)
		a.Flush()
	}
	c.add(time.Millisecond)
	assert.Assert(t, !usable(t, b, v), "report of an unreachable process counted")
	p.cut = false
	a.recordAnnouncement(ready("i-0", 1, 15))
	a.Flush()
	assert.Assert(t, usable(t, b, v))
	a.recordAnnouncement(leaving("i-0", 1, 16))
	assert.Assert(t, !usable(t, b, v), "leaving was not pushed at once")
	// A restarted process relearns from others that the endpoint left.
	p.from, p.to = "b", newRegistry(c, v, nil)
	p.send(b.FullUpdate())
	p.to.recordAnnouncement(ready("i-0", 1, 15))
	assert.Assert(t, !usable(t, p.to, v), "restarted process revived a leaving endpoint")
}

// Guards against a restarted peer whose numbers are taken for those of its earlier run.
func TestRenewalsOfEarlierRunAreIgnored(t *testing.T) {
	v, c := fleetView(2), newClock()
	b := newRegistry(c, v, nil)
	report := func(id uint32, name string) *endpointpb.Report {
		return &endpointpb.Report{
			Id: id, Instance: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, IntervalMs: 1000,
		}
	}
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 1, Full: true, Reports: []*endpointpb.Report{report(1, "i-0")}})
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2, Full: true, Reports: []*endpointpb.Report{report(1, "i-1")}})
	c.add(2900 * time.Millisecond)
	renew := &endpointpb.Renewals{Ids: []uint32{1}, Sequences: []uint64{2}, Running: []uint32{0}, IntervalMs: 1000}
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 1, Renewals: renew})
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2})
	c.add(200 * time.Millisecond)
	assert.Assert(t, !usable(t, b, v))
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2, Renewals: renew})
	target, err := b.Pick(v, "plates", nil)
	assert.NilError(t, err)
	assert.Equal(t, target.Instance(), "i-1")
}

// Guards against a renewal that is lost because a process connected meanwhile, and one of an earlier incarnation that
// arrives late and makes the announcements of the restarted endpoint look old.
func TestRenewalsAreNotLostOrMixedUp(t *testing.T) {
	v, c := fleetView(1), newClock()
	var sent []*endpointpb.Update
	a := newRegistry(c, v, func(cfg *Config) { cfg.Send = func(u *endpointpb.Update) { sent = append(sent, u) } })
	b := newRegistry(c, v, nil)
	a.recordAnnouncement(ready("i-0", 1, 1))
	b.ReceiveUpdate("a", a.FullUpdate())
	c.add(time.Second)
	a.recordAnnouncement(ready("i-0", 1, 5000))
	a.FullUpdate()
	a.Flush()
	assert.Equal(t, len(sent[1].GetRenewals().GetIds()), 1, "renewal was lost")
	a.recordAnnouncement(ready("i-0", 2, 1))
	b.ReceiveUpdate("a", sent[2])
	b.ReceiveUpdate("a", sent[1])
	assert.Equal(t, b.instances["i-0"].sequence, uint64(1))
	c.add(time.Second)
	a.recordAnnouncement(ready("i-0", 2, 2))
	a.Flush()
	b.ReceiveUpdate("a", sent[3])
	assert.Equal(t, b.instances["i-0"].sequence, uint64(2))
}

// Guards against reports that count while their process is silent, although their TTL has not passed.
func TestSilentPeerStopsCounting(t *testing.T) {
	v, c := fleetView(1), newClock()
	r := newRegistry(c, v, nil)
	r.ReceiveUpdate("a", &endpointpb.Update{Boot: 1, Full: true, Reports: []*endpointpb.Report{
		{Id: 1, Instance: "i-0", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, IntervalMs: 10_000},
	}})
	for _, tc := range []struct {
		silence time.Duration
		update  bool
		want    bool
	}{{3 * time.Second, false, true}, {time.Millisecond, false, false}, {0, true, true}, {2 * time.Second, false, true}} {
		c.add(tc.silence)
		if tc.update {
			r.ReceiveUpdate("a", &endpointpb.Update{Boot: 1})
		}
		assert.Equal(t, usable(t, r, v), tc.want)
	}
}

// Guards against control traffic above 6 KB/s per process with 1,000 endpoints and 8 processes.
func TestTrafficAtDesignScale(t *testing.T) {
	const endpoints, processes, seconds = 1000, 8, 20
	v, c := fleetView(endpoints), newClock()
	p := &pipe{}
	r := newRegistry(c, v, func(cfg *Config) { cfg.Send = p.send })
	peer := &endpointpb.Update{Boot: 1, Full: true}
	for k := range endpoints {
		if k%processes != 0 {
			peer.Reports = append(peer.Reports, &endpointpb.Report{
				Id: uint32(k + 1), Instance: fmt.Sprintf("i-%d", k), Address: "10.0.0.1:8080",
				Incarnation: uint64(c.Now().UnixNano()), Sequence: 1, IntervalMs: 10_000,
			})
		} else {
			r.recordAnnouncement(ready(fmt.Sprintf("i-%d", k), 1, 1))
		}
	}
	r.ReceiveUpdate("peer", peer)
	for k := 0; k < endpoints; k += processes {
		r.recordAnnouncement(ready(fmt.Sprintf("i-%d", k), 1, 2))
	}
	r.Flush()
	p.bytes = 0
	announced := 0
	for s := range seconds {
		for k := 0; k < endpoints; k += processes {
			if k/processes%10 == s%10 {
				r.recordAnnouncement(ready(fmt.Sprintf("i-%d", k), 1, uint64(1_000_000+s)))
				announced++
			}
		}
		c.add(time.Second)
		r.ReceiveUpdate("peer", &endpointpb.Update{Boot: 1})
		r.Flush()
	}
	peerBytes := p.bytes
	// The endpoint's side is measured as Go's HTTP client sends it over a kept connection.
	var wire atomic.Int64
	server := httptest.NewServer(r)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countingConn{Conn: c, n: &wire}, err
		},
	}}
	const samples = 10
	for k := range samples {
		a := ready("i-0", uint64(c.Now().UnixNano()), uint64(2_000_000+k))
		a.Address, a.Running = "10.0.0.1:8080", 8
		body, err := json.Marshal(a)
		assert.NilError(t, err)
		resp, err := client.Post(server.URL+"/announce", "application/json", bytes.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	perAnnouncement := int(wire.Load()) / samples
	others := 2 * (processes - 1) * peerBytes / seconds
	perSecond := announced*perAnnouncement/seconds + others
	t.Logf("%d bytes per announcement, %.1f of them per second; %d bytes per second from and to other processes; %d in all",
		perAnnouncement, float64(announced)/seconds, others, perSecond)
	assert.Assert(t, perSecond < 6000, "%d bytes per second", perSecond)
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}
