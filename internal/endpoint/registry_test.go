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

// clock is a clock that tests advance.
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

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fleetView returns a view with n instances i-0, i-1, ... in one pool, spread over three zones with two racks each.
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

func newRegistry(c *clock, v *view.View, configure func(*Config)) *Registry {
	cfg := Config{
		View:       func() (*view.View, error) { return v, nil },
		TryAcquire: func(string) (func(), bool) { return func() {}, true },
		Now:        c.Now, Log: logr.Discard(),
	}
	if configure != nil {
		configure(&cfg)
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

// hasUsableEndpoint reports whether Pick returns an endpoint.
func hasUsableEndpoint(t *testing.T, r *Registry, v *view.View) bool {
	t.Helper()
	target, err := r.Pick(v, "plates", nil)
	if err != nil {
		return false
	}
	target.Release()
	return true
}

// Guards against a late announcement that makes an endpoint live again after it announced that it leaves, or was
// replaced.
func TestAnnouncementsAreOrdered(t *testing.T) {
	for _, tc := range []struct {
		name string
		list []Announcement
		want bool
	}{
		{"ready", []Announcement{ready("i-0", 1, 1)}, true},
		{"leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2)}, false},
		{"late duplicate after leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2), ready("i-0", 1, 1)}, false},
		{"later ready after leaving", []Announcement{ready("i-0", 1, 1), leaving("i-0", 1, 2), ready("i-0", 1, 3)}, false},
		{"leaving that was overtaken", []Announcement{ready("i-0", 1, 3), leaving("i-0", 1, 2)}, false},
		{"leaving first", []Announcement{leaving("i-0", 1, 2), ready("i-0", 1, 1)}, false},
		{"restart after leaving", []Announcement{leaving("i-0", 1, 2), ready("i-0", 2, 1)}, true},
		{"late leaving of an earlier incarnation", []Announcement{ready("i-0", 2, 1), leaving("i-0", 1, 9)}, true},
		{
			"late ready of an earlier incarnation",
			[]Announcement{ready("i-0", 1, 1), leaving("i-0", 2, 1), ready("i-0", 1, 9)}, false,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, c := fleetView(1), newClock()
			r := newRegistry(c, v, nil)
			for _, a := range tc.list {
				r.recordAnnouncement(a)
			}
			assert.Equal(t, hasUsableEndpoint(t, r, v), tc.want)
		})
	}
}

// Guards against work for an endpoint whose announcement has expired, and against a duplicate that renews it.
func TestAnnouncementExpires(t *testing.T) {
	v, c := fleetView(1), newClock()
	r := newRegistry(c, v, nil)
	r.recordAnnouncement(ready("i-0", 1, 1))
	c.advance(3 * time.Second)
	assert.Assert(t, hasUsableEndpoint(t, r, v))
	r.recordAnnouncement(ready("i-0", 1, 1))
	c.advance(time.Millisecond)
	assert.Assert(t, !hasUsableEndpoint(t, r, v))
	r.recordAnnouncement(ready("i-0", 1, 2))
	assert.Assert(t, hasUsableEndpoint(t, r, v))
	r.recordAnnouncement(leaving("i-0", 1, 3))
	c.advance(recordRetention - time.Second)
	r.Flush()
	r.recordAnnouncement(ready("i-0", 1, 2))
	assert.Assert(t, !hasUsableEndpoint(t, r, v), "the record of a leaving endpoint was removed too early")
}

// Guards against announcements that are accepted without the key, from unknown instances or with invalid content.
func TestRejectsInvalidAnnouncements(t *testing.T) {
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

// Guards against announcement traffic that grows without limit with the fleet.
func TestIntervalGrowsWithFleet(t *testing.T) {
	for _, tc := range []struct {
		n    int
		want time.Duration
	}{{1, time.Second}, {50, time.Second}, {1000, 10 * time.Second}, {100_000, time.Minute}} {
		assert.Equal(t, announceInterval(tc.n), tc.want, "%d endpoints", tc.n)
	}
}

// peerStream encodes the updates of one registry and delivers them to another, unless it is cut.
type peerStream struct {
	from  string
	to    *Registry
	isCut bool
	bytes int
}

func (p *peerStream) send(u *endpointpb.Update) {
	data, _ := proto.Marshal(u)
	p.bytes += len(data)
	m := &endpointpb.Update{}
	if p.isCut || p.to == nil || proto.Unmarshal(data, m) != nil {
		return
	}
	p.to.ReceiveUpdate(p.from, m)
}

// Guards against endpoints that only the process which receives their announcements can use, and against endpoints that
// stay usable although the process that reported them has been unreachable for 3 s.
func TestExchangeBetweenProcesses(t *testing.T) {
	v, c := fleetView(3), newClock()
	p := &peerStream{from: "a"}
	a := newRegistry(c, v, func(cfg *Config) { cfg.Send = p.send })
	b := newRegistry(c, v, nil)
	a.recordAnnouncement(ready("i-0", 1, 1))
	p.to = b
	a.recordAnnouncement(ready("i-1", 1, 1))
	assert.Assert(t, !hasUsableEndpoint(t, b, v), "an update before the full one was applied")
	p.send(a.FullUpdate())
	assert.Assert(t, hasUsableEndpoint(t, b, v))
	for seq := uint64(2); seq < 12; seq++ {
		a.recordAnnouncement(ready("i-0", 1, seq))
		c.advance(time.Second)
		a.Flush()
		assert.Assert(t, hasUsableEndpoint(t, b, v), "sequence %d", seq)
	}
	p.isCut = true
	for seq := uint64(12); seq < 15; seq++ {
		a.recordAnnouncement(ready("i-0", 1, seq))
		c.advance(time.Second)
		a.Flush()
	}
	c.advance(time.Millisecond)
	assert.Assert(t, !hasUsableEndpoint(t, b, v), "a report of an unreachable process was used")
	p.isCut = false
	a.recordAnnouncement(ready("i-0", 1, 15))
	a.Flush()
	assert.Assert(t, hasUsableEndpoint(t, b, v))
	a.recordAnnouncement(leaving("i-0", 1, 16))
	assert.Assert(t, !hasUsableEndpoint(t, b, v), "the leaving state was not sent at once")
	// A restarted process learns from the others that the endpoint is leaving.
	p.from, p.to = "b", newRegistry(c, v, nil)
	p.send(b.FullUpdate())
	p.to.recordAnnouncement(ready("i-0", 1, 15))
	assert.Assert(t, !hasUsableEndpoint(t, p.to, v), "the restarted process made a leaving endpoint live again")
}

// Guards against renewals of a restarted peer that are applied to the report IDs of its earlier incarnation.
func TestRenewalsOfEarlierIncarnationAreIgnored(t *testing.T) {
	v, c := fleetView(2), newClock()
	b := newRegistry(c, v, nil)
	report := func(id uint32, name string) *endpointpb.Report {
		return &endpointpb.Report{
			Id: id, Instance: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, IntervalMs: 1000,
		}
	}
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 1, Full: true, Reports: []*endpointpb.Report{report(1, "i-0")}})
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2, Full: true, Reports: []*endpointpb.Report{report(1, "i-1")}})
	c.advance(2900 * time.Millisecond)
	renew := &endpointpb.Renewals{Ids: []uint32{1}, Sequences: []uint64{2}, Running: []uint32{0}, IntervalMs: 1000}
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 1, Renewals: renew})
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2})
	c.advance(200 * time.Millisecond)
	assert.Assert(t, !hasUsableEndpoint(t, b, v))
	b.ReceiveUpdate("a", &endpointpb.Update{Boot: 2, Renewals: renew})
	target, err := b.Pick(v, "plates", nil)
	assert.NilError(t, err)
	assert.Equal(t, target.Instance(), "i-1")
}

// Guards against a renewal that is lost because a process connects at the same time, and against a late renewal of an
// earlier incarnation after which the announcements of the restarted endpoint appear stale.
func TestRenewalsAreNotLostOrMixedUp(t *testing.T) {
	v, c := fleetView(1), newClock()
	var sent []*endpointpb.Update
	a := newRegistry(c, v, func(cfg *Config) { cfg.Send = func(u *endpointpb.Update) { sent = append(sent, u) } })
	b := newRegistry(c, v, nil)
	a.recordAnnouncement(ready("i-0", 1, 1))
	b.ReceiveUpdate("a", a.FullUpdate())
	c.advance(time.Second)
	a.recordAnnouncement(ready("i-0", 1, 5000))
	a.FullUpdate()
	a.Flush()
	assert.Equal(t, len(sent[1].GetRenewals().GetIds()), 1, "the renewal was lost")
	a.recordAnnouncement(ready("i-0", 2, 1))
	b.ReceiveUpdate("a", sent[2])
	b.ReceiveUpdate("a", sent[1])
	assert.Equal(t, b.instances["i-0"].sequence, uint64(1))
	c.advance(time.Second)
	a.recordAnnouncement(ready("i-0", 2, 2))
	a.Flush()
	b.ReceiveUpdate("a", sent[3])
	assert.Equal(t, b.instances["i-0"].sequence, uint64(2))
}

// Guards against reports that are used until their TTL although their process has been silent for longer than
// peerTimeout.
func TestReportsOfSilentPeerExpire(t *testing.T) {
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
		c.advance(tc.silence)
		if tc.update {
			r.ReceiveUpdate("a", &endpointpb.Update{Boot: 1})
		}
		assert.Equal(t, hasUsableEndpoint(t, r, v), tc.want)
	}
}

// Guards against control traffic above 6 KB/s per process with 1,000 endpoints and 8 processes.
func TestTrafficAtDesignScale(t *testing.T) {
	const endpoints, processes, seconds = 1000, 8, 20
	v, c := fleetView(endpoints), newClock()
	p := &peerStream{}
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
		c.advance(time.Second)
		r.ReceiveUpdate("peer", &endpointpb.Update{Boot: 1})
		r.Flush()
	}
	peerBytes := p.bytes
	// Measure the traffic of an endpoint with Go's HTTP client on a kept-alive connection.
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
	peerTraffic := 2 * (processes - 1) * peerBytes / seconds
	perSecond := announced*perAnnouncement/seconds + peerTraffic
	t.Logf("%d bytes per announcement, %.1f announcements/s; %d bytes/s from and to other processes; %d bytes/s in all",
		perAnnouncement, float64(announced)/seconds, peerTraffic, perSecond)
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
