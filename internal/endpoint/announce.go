package endpoint

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
)

// maxAnnouncementBytes bounds the body of an announcement; a real one has about 150 bytes.
const maxAnnouncementBytes = 4 << 10

const (
	maxNameBytes = 128
	maxRunning   = 1_000_000
)

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

// AnnouncementResponse is the body of the response to an announcement.
type AnnouncementResponse struct {
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
		key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if match := subtle.ConstantTimeCompare([]byte(key), []byte(r.cfg.Key)); !ok || match != 1 {
			r.rejectRequest(w, http.StatusUnauthorized, "bad endpoint key")
			return
		}
	}
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: "+err.Error())
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: data after the body")
		return
	}
	if fault := a.validate(); fault != "" {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: "+fault)
		return
	}
	next, status := r.recordAnnouncement(a)
	if status != http.StatusOK {
		r.rejectRequest(w, status, "instance "+a.Instance+" is not in the configuration")
		return
	}
	// Headers that endpoints don't need are left out: answers are most of the control traffic of a large fleet.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	if err := json.NewEncoder(w).Encode(AnnouncementResponse{NextMs: next.Milliseconds()}); err != nil {
		r.cfg.Log.V(1).Info("answer to announcement failed", "instance", a.Instance, "error", err.Error())
	}
}

func (r *Registry) rejectRequest(w http.ResponseWriter, status int, text string) {
	r.stats.rejected.Inc()
	http.Error(w, text, status)
}

// validate returns what is wrong with the announcement, or nothing.
func (a *Announcement) validate() string {
	host, port, err := net.SplitHostPort(a.Address)
	switch {
	case a.Instance == "" || len(a.Instance) > maxNameBytes:
		return "instance must have 1 to 128 bytes"
	case err != nil || host == "" || port == "" || len(a.Address) > maxNameBytes:
		return "address must be host:port"
	case a.Incarnation == 0 || a.Sequence == 0:
		return "incarnation and sequence must be positive"
	case a.State != stateReady && a.State != stateLeaving:
		return "state must be ready or leaving"
	case a.Running < 0 || a.Running > maxRunning:
		return "running must be between 0 and 1000000"
	}
	return ""
}

// recordAnnouncement records an announcement made to this process and returns the time until the next one. The push to other
// processes happens before the answer, so an endpoint that got the answer to leaving can count on it.
func (r *Registry) recordAnnouncement(a Announcement) (time.Duration, int) {
	configured := r.checkConfigured(a.Instance)
	r.mu.Lock()
	now := r.cfg.Now()
	i := r.instances[a.Instance]
	if i == nil {
		// Without a lease the configuration may be unknown here, so a bounded number is recorded unseen.
		if configured == instanceUnknown || configured == configUnavailable && len(r.instances) >= r.cfg.MaxInstances {
			r.mu.Unlock()
			return 0, http.StatusForbidden
		}
		i = &instance{name: a.Instance}
		r.instances[a.Instance] = i
	}
	next := announceInterval(max(r.countLive(now), 1))
	result := r.applyAnnouncement(i, nil, a, now, next)
	var push *endpointpb.Update
	switch {
	case result == resultStale:
		r.stats.stale.Inc()
	case i.id == 0 || result == resultChanged || i.sentAddress != i.address || i.idIncarnation != i.incarnation:
		push = &endpointpb.Update{Boot: r.incarnation, Reports: []*endpointpb.Report{r.buildReport(i, now)}}
		i.sentAddress = i.address
		delete(r.pending, i) // the report is newer
		r.stats.accepted.Inc()
	default:
		r.pending[i] = struct{}{}
		r.stats.accepted.Inc()
	}
	r.mu.Unlock()
	if push != nil && r.cfg.Send != nil {
		r.cfg.Send(push)
	}
	// Up to 10% earlier, so that endpoints started together spread out; never later, because the TTL counts from it.
	return next - next/10*time.Duration(r.cfg.Rand(100))/100, http.StatusOK
}

type configStatus int

const (
	configUnavailable configStatus = iota
	instanceConfigured
	instanceUnknown
)

func (r *Registry) checkConfigured(name string) configStatus {
	v, err := r.cfg.View()
	if err != nil {
		return configUnavailable
	}
	if _, ok := v.Instance(name); !ok {
		return instanceUnknown
	}
	return instanceConfigured
}

type applyResult int

const (
	resultStale applyResult = iota
	resultRenewed
	resultChanged
)

// applyAnnouncement records an announcement. Incarnation and sequence number order the announcements of an instance, and leaving
// is final for an incarnation, so that a late or repeated announcement never revives an endpoint.
func (r *Registry) applyAnnouncement(i *instance, from *peer, a Announcement, seen time.Time, interval time.Duration) applyResult {
	leaving := a.State == stateLeaving
	switch {
	case a.Incarnation < i.incarnation:
		return resultStale
	case a.Incarnation == i.incarnation && i.leaving:
		return resultStale
	case a.Incarnation == i.incarnation && a.Sequence <= i.sequence && !leaving:
		return resultStale
	}
	now := r.cfg.Now()
	changed := a.Incarnation > i.incarnation || leaving || a.Address != i.address || !i.isLive(now)
	if changed {
		r.cfg.Log.Info("endpoint changed", "instance", i.name, "address", a.Address,
			"incarnation", a.Incarnation, "state", a.State)
	}
	i.incarnation, i.sequence, i.address, i.leaving = a.Incarnation, a.Sequence, a.Address, leaving
	i.receivedAt, i.interval, i.reporter = seen, interval, from
	i.remoteRunning = max(a.Running-i.localRunning, 0)
	if changed {
		r.notifyChanged()
		return resultChanged
	}
	return resultRenewed
}
