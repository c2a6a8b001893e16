package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host      = "desk.example"
	prefix    = "/plates/"
	clientKey = "key-of-the-only-tenant"
)

var errNotConfigured = errors.New("the configuration was not accepted")

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(version int, route string, maxAttempts int) error {
	body := map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": route, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": d.pool, "maxAttempts": maxAttempts, "stretch": 1.6, "public": false,
		}},
		"services": []map[string]any{{
			"name": d.pool, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": false, "spare": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{
			"name": "crews", "apiKeys": []string{clientKey}, "priority": 1, "weight": 34,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	}
	for i := range 60 {
		status, err := postJSON(context.Background(), "http://"+d.controlAddress(i%3)+"/Config.Replace", body)
		if err == nil && status == http.StatusOK {
			d.rec.logf("configuration %d, with the route %s, is acknowledged by core-%d", version, route, i%3+1)
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errNotConfigured
}

// call sends a call of a client to an entry process and returns the status and the body.
func (d *deployment) call(n int, method, path string, body any) (int, []byte, error) {
	data := []byte{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	url := "http://" + d.frontAddress(n%frontCount) + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data)) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("X-Hibiscusroute-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) } //nolint:gosec // IDs only have to differ.

// submit hands a job in until it is accepted, and returns its ID.
func (d *deployment) submit(spec string, steps ...map[string]any) (string, error) {
	id := newID()
	for i := range 20 {
		status, _, err := d.call(i, http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps})
		d.rec.logf("client: POST %s to front-%d: status %d, %v", id, i%frontCount+1, status, err)
		if err == nil && status == http.StatusOK {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job.
func (d *deployment) state(id string) string {
	for i := range 5 {
		status, data, err := d.call(i, http.MethodGet, prefix+id, nil)
		answer := struct {
			State string `json:"state"`
		}{}
		if err == nil && status == http.StatusOK && json.Unmarshal(data, &answer) == nil {
			d.rec.logf("client: GET %s: %s", id, answer.State)
			return answer.State
		}
		d.rec.logf("client: GET %s: status %d, %v", id, status, err)
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// awaitState asks for the state of a job until it is one of the wanted ones or the time is over.
func (d *deployment) awaitState(id string, limit time.Duration, wanted ...string) string {
	for end := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		s := d.state(id)
		for _, o := range wanted {
			if s == o {
				return s
			}
		}
		if time.Now().After(end) {
			return s
		}
	}
}

// pending returns the number of jobs of the queue that have not started, as an entry process tells it.
func (d *deployment) pending() (int, bool) {
	status, data, err := d.call(0, http.MethodGet, prefix, nil)
	answer := struct {
		Pending int `json:"pending"`
	}{}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		d.rec.logf("client: GET %s: status %d, %v", prefix, status, err)
		return 0, false
	}
	d.rec.logf("client: GET %s: pending %d", prefix, answer.Pending)
	return answer.Pending, true
}

// readConfiguration asks all control processes for the configuration, and reports whether one answers with it.
func (d *deployment) readConfiguration() bool {
	found := false
	for i := range d.controls {
		url := "http://" + d.controlAddress(i) + "/Config.Read"
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody) //nolint:gosec // A loopback address.
		status := 0
		if err == nil {
			var resp *http.Response
			if resp, err = http.DefaultClient.Do(req); err == nil { //nolint:gosec // A loopback address.
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
		}
		cancel()
		d.rec.logf("operator: GET /Config.Read from core-%d: status %d, %v", i+1, status, err)
		found = found || status == http.StatusOK
	}
	return found
}

// startWave orders the maintenance of machines.
func (d *deployment) startWave(number int, machines ...string) bool {
	body := map[string]any{"wave": number, "machines": machines, "durationS": 20, "cap": 1}
	for i := range 10 {
		status, err := postJSON(context.Background(), "http://"+d.controlAddress(i%3)+"/wave-start", body)
		d.rec.logf("operator: wave %d of %v to core-%d: status %d, %v", number, machines, i%3+1, status, err)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// waveState returns the state of a wave.
func (d *deployment) waveState(number int) string {
	url := fmt.Sprintf("http://%s/wave-get/%d", d.controlAddress(0), number)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody) //nolint:gosec // A loopback address.
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // A loopback address.
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer := struct {
		State string `json:"state"`
	}{}
	_ = json.NewDecoder(resp.Body).Decode(&answer) // The state stays empty if it can't be read.
	d.rec.logf("operator: wave-get %d: status %d, %s", number, resp.StatusCode, answer.State)
	return answer.State
}
