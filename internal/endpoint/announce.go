package endpoint

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxAnnouncement bounds the body of an announcement; a real one has about 150 bytes.
const maxAnnouncement = 4 << 10

const (
	stateReady   = "ready"
	stateLeaving = "leaving"
)

// Announcement is the body of POST /announce.
type Announcement struct {
	// Instance is the name of the instance in the configuration.
	Instance string `json:"instance"`
	// Address is the host:port at which the endpoint takes requests.
	Address string `json:"address"`
	// Incarnation grows with each start of the endpoint, such as its start time in nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// State is ready or leaving.
	State string `json:"state"`
	// Running is the number of requests that the endpoint runs now.
	Running int `json:"running"`
}

// Answer is the body of the response to an announcement.
type Answer struct {
	// NextMs is the time until the next announcement in milliseconds.
	NextMs int64 `json:"next-ms"`
}

// ServeHTTP takes POST /announce.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost || req.URL.Path != "/announce" {
		http.NotFound(w, req)
		return
	}
	if r.cfg.Key != "" {
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(r.cfg.Key)) != 1 {
			http.Error(w, "bad endpoint key", http.StatusUnauthorized)
			return
		}
	}
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, "bad announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		http.Error(w, "bad announcement: data after the body", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	i := r.instances[a.Instance]
	if i == nil {
		i = &instance{name: a.Instance}
		r.instances[a.Instance] = i
	}
	i.address, i.incarnation, i.sequence = a.Address, a.Incarnation, a.Sequence
	i.leaving, i.running, i.seen = a.State == stateLeaving, a.Running, r.cfg.Now()
	r.notify()
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(Answer{NextMs: time.Second.Milliseconds()}); err != nil {
		r.cfg.Log.V(1).Info("answer to announcement failed", "instance", a.Instance, "error", err.Error())
	}
}
