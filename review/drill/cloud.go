package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeep is an upkeep that has begun.
type upkeep struct {
	at, until time.Duration
	machine   string
	late      bool
}

// machine is an entry of the cloud's list.
type machine struct {
	name, pool, zone, rack string
	number, cpu, memory    int
	state                  string
	waves                  map[int64]bool // of which its upkeep has begun
	fence                  uint64
}

// cloud is a stand-in for the infrastructure's service for machines.
type cloud struct {
	rec   *record
	sys   *system
	fleet *fleet
	// delay returns for how long a request is held back without an answer; 0 for a request that is answered.
	delay   func(path, machine, holder string) time.Duration
	server  *http.Server
	mu      sync.Mutex
	list    []*machine
	upkeeps []upkeep
	waves   map[int64][]string
}

func newCloud(rec *record, sys *system, f *fleet) (*cloud, error) {
	c := &cloud{rec: rec, sys: sys, fleet: f, waves: map[int64][]string{}}
	ln, err := net.Listen("tcp", net.JoinHostPort(sys.address(1), strconv.Itoa(cloudPort)))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.serveList)
	mux.HandleFunc("POST /machine-upkeep", c.serveOperation)
	mux.HandleFunc("POST /machine-move", c.serveOperation)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := c.server.Serve(ln); err != nil && err != http.ErrServerClosed {
			rec.add("cloud: %v", err)
		}
	}()
	return c, nil
}

// add adds a machine and boots its worker.
func (c *cloud) add(m *machine) error {
	m.state, m.waves = "up", map[int64]bool{}
	c.mu.Lock()
	c.list = append(c.list, m)
	c.mu.Unlock()
	return c.fleet.boot(m.number, m.name, m.pool, m.zone, m.rack, m.cpu, m.memory)
}

func (c *cloud) serveList(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	rows := []map[string]any{}
	for _, m := range c.list {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memory, "gpu": 0}, "id": "",
		}
		c.fleet.mu.Lock()
		if w := c.fleet.workers[m.name]; w != nil {
			row["id"] = w.id
		}
		c.fleet.mu.Unlock()
		rows = append(rows, row)
	}
	c.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// operation is the body of a request for a move or an upkeep.
type operation struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (c *cloud) serveOperation(rw http.ResponseWriter, r *http.Request) {
	op := operation{}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &op) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Hibiscusroute-Lease-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("X-Hibiscusroute-Fencing-Token"), 10, 64)
	name := strings.TrimPrefix(r.URL.Path, "/machine-")
	var delay time.Duration
	if c.delay != nil {
		delay = c.delay(name, op.Machine, holder)
	}
	if delay > 0 {
		c.rec.add("cloud holds back %s of %s by %s with token %d for %s", name, op.Machine, holder, token, delay)
		time.AfterFunc(delay, func() {
			status, reason := c.execute(name, op, token, true)
			c.rec.add("cloud carries out %s of %s by %s with token %d late: %d %s", name, op.Machine, holder, token, status, reason)
		})
		<-r.Context().Done() // No answer.
		return
	}
	status, reason := c.execute(name, op, token, false)
	c.rec.add("cloud answers %s of %s by %s with token %d: %d %s", name, op.Machine, holder, token, status, reason)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

func (c *cloud) execute(name string, op operation, token uint64, late bool) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.list, func(m *machine) bool { return m.name == op.Machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := c.list[i]
	if c.sys.bounds.requireFencing {
		if token < m.fence {
			return http.StatusConflict, "fence"
		}
		m.fence = token
	}
	if name == "move" {
		return http.StatusConflict, "busy" // No case moves machines.
	}
	switch {
	case !slices.Contains(c.waves[op.Wave], m.name):
		return http.StatusConflict, "wave"
	case m.waves[op.Wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.waves[op.Wave], m.state = true, "upkeep"
	length := time.Duration(c.sys.bounds.maintenanceS * float64(time.Second))
	now := c.rec.since()
	c.upkeeps = append(c.upkeeps, upkeep{now, now + length, m.name, late})
	c.rec.add("upkeep of %s begins", m.name)
	c.fleet.mu.Lock()
	w := c.fleet.workers[m.name]
	c.fleet.mu.Unlock()
	if w != nil {
		w.end()
	}
	time.AfterFunc(length, func() {
		c.mu.Lock()
		m.state = "up"
		c.mu.Unlock()
		c.rec.add("upkeep of %s is over", m.name)
		if err := c.fleet.boot(m.number, m.name, m.pool, m.zone, m.rack, m.cpu, m.memory); err != nil {
			c.rec.add("boot on %s: %v", m.name, err)
		}
	})
	return http.StatusOK, ""
}
