package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host      = "plates.example"
	prefix    = "/plates/"
	pool      = "plates-desk"
	otherPath = "/other/"
	apiKey    = "k3y-of-the-first-tenant"
)

// operator sends orders to the control processes.
type operator struct {
	rec    *record
	sys    *system
	client *http.Client
}

func newOperator(rec *record, sys *system) *operator {
	return &operator{rec: rec, sys: sys, client: &http.Client{Timeout: time.Second}}
}

// send sends an order to one process after the other until it is answered clearly.
func (o *operator) send(method, path string, body any, limit time.Duration) (int, []byte) {
	list := o.sys.controlAddresses()
	for end, next := time.Now().Add(limit), rand.IntN(len(list)); time.Now().Before(end); next++ { //nolint:gosec // Any process.
		status, text, err := call(context.Background(), o.client, method, "http://"+list[next%len(list)]+path, nil, body)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			o.rec.add("operator: %s %s at %s: %d", method, path, list[next%len(list)], status)
			return status, text
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.rec.add("operator: %s %s: no clear answer", method, path)
	return 0, nil
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
}

// configuration returns a configuration with the given routes. The tenant has no limit.
func configuration(version int, services []string, routes []route) map[string]any {
	rows := []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": r.service, "maxAttempts": r.maxAttempts, "stretch": 1.6,
			"public": false,
		})
	}
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": false, "spare": false,
		})
	}
	return map[string]any{
		"version": version, "routes": rows, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-1", "apiKeys": []string{apiKey}, "priority": 1, "weight": 100,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	}
}

// caller sends the calls of clients.
type caller struct {
	rec    *record
	sys    *system
	client *http.Client
}

func newCaller(rec *record, sys *system) *caller {
	return &caller{rec: rec, sys: sys, client: &http.Client{Timeout: 3 * time.Second}}
}

// step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"memMb"`
	EstimateMS  int   `json:"estimateMs"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	MayMiss     int   `json:"mayMiss,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) } //nolint:gosec // Names of jobs aren't secret.

// do sends a call to one entry process after the other until it is answered clearly.
func (c *caller) do(method, path string, body any, limit time.Duration) (int, []byte) {
	header := map[string]string{"Host": host, "Authorization": "Bearer " + apiKey, "X-Hibiscusroute-Timeout-Ms": "3000"}
	list := c.sys.frontAddresses()
	for end, next := time.Now().Add(limit), rand.IntN(len(list)); time.Now().Before(end); next++ { //nolint:gosec // Any process.
		status, text, err := call(context.Background(), c.client, method, "http://"+list[next%len(list)]+path, header, body)
		if err == nil && status < 500 && status != http.StatusTooManyRequests {
			c.rec.add("client: %s %s: %d %s", method, path, status, text)
			return status, text
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.rec.add("client: %s %s: no clear answer", method, path)
	return 0, nil
}

// submit submits a job to the queue of the cases and reports whether it was accepted.
func (c *caller) submit(id string, b behavior, steps []step) bool {
	spec, err := json.Marshal(b)
	if err != nil {
		return false
	}
	status, _ := c.do(http.MethodPost, prefix+id, map[string]any{"spec": string(spec), "steps": steps}, 10*time.Second)
	return status/100 == 2
}

// state returns the state of a job, empty if it is not known.
func (c *caller) state(id string) string {
	_, text := c.do(http.MethodGet, prefix+id, nil, 5*time.Second)
	var m struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &m) != nil {
		return ""
	}
	return m.State
}
