package endpoint

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
	"github.com/hibiscusroute/hibiscusroute/internal/inbound"
)

// maxAnnouncementBytes limits the body of an announcement, which normally has about 150 bytes.
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
	// Address is the host:port at which the endpoint accepts requests.
	Address string `json:"address"`
	// Incarnation increases with each start of the endpoint, for example its start time in nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// State is ready or leaving.
	State string `json:"state"`
	// Running is the number of requests that are running on the endpoint.
	Running int `json:"running"`
}

// AnnouncementResponse is the body of the response to an announcement.
type AnnouncementResponse struct {
	// NextMs is the time after which the endpoint must announce itself again, in milliseconds.
	NextMs int64 `json:"next-ms"`
}

// ServeHTTP handles POST /announce.
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
	data, err := inbound.ReadBody(w, req, maxAnnouncementBytes)
	if err != nil {
		status, _ := inbound.Status(err)
		switch status {
		case http.StatusServiceUnavailable:
			w.Header().Set("Retry-After", "1")
		case http.StatusRequestEntityTooLarge:
			status = http.StatusBadRequest // as for other malformed announcements
		}
		r.rejectRequest(w, status, "bad announcement: "+err.Error())
		return
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: "+err.Error())
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: data after the body")
		return
	}
	if problem := a.validate(); problem != "" {
		r.rejectRequest(w, http.StatusBadRequest, "bad announcement: "+problem)
		return
	}
	next, status := r.recordAnnouncement(a)
	if status != http.StatusOK {
		r.rejectRequest(w, status, "instance "+a.Instance+" is not in the configuration")
		return
	}
	// Omit the headers that endpoints don't need, because these responses are most of the control traffic of a large
	// fleet.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	if err := json.NewEncoder(w).Encode(AnnouncementResponse{NextMs: next.Milliseconds()}); err != nil {
		r.cfg.Log.V(1).Info("cannot write the response to an announcement", "instance", a.Instance, "error", err.Error())
	}
}

func (r *Registry) rejectRequest(w http.ResponseWriter, status int, text string) {
	r.stats.rejected.Inc()
	http.Error(w, text, status)
}

// validate returns what is invalid about the announcement, or an empty string.
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

// recordAnnouncement records an announcement made to this process and returns the time until the next one and the HTTP
// status. It sends changes to the other processes before it returns, so that an endpoint that receives the response to
// its leaving announcement knows that they were notified.
func (r *Registry) recordAnnouncement(a Announcement) (time.Duration, int) {
	configured := r.checkConfigured(a.Instance)
	r.mu.Lock()
	now := r.cfg.Now()
	i := r.instances[a.Instance]
	if i == nil {
		// Without a lease the configuration may be unavailable, so unchecked instances are recorded up to a limit.
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
		delete(r.pendingRenewals, i) // superseded by the report
		r.stats.accepted.Inc()
	default:
		r.pendingRenewals[i] = struct{}{}
		r.stats.accepted.Inc()
	}
	r.mu.Unlock()
	if push != nil && r.cfg.Send != nil {
		r.cfg.Send(push)
	}
	// Shorten the interval by up to 10%, so that endpoints that started together spread out. It is never longer, because
	// the TTL is a multiple of it.
	return next - next/10*time.Duration(r.cfg.Rand(100))/100, http.StatusOK
}

// configStatus tells whether the configuration contains an instance.
type configStatus int

const (
	configUnavailable configStatus = iota // no lease
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

// applyResult is the effect of an announcement on the record of its instance.
type applyResult int

const (
	resultStale applyResult = iota
	resultRenewed
	resultChanged
)

// applyAnnouncement updates the record of an instance. The incarnation and the sequence number order the announcements
// of an instance, and the leaving state is final for an incarnation, so that a late or repeated announcement never
// makes an endpoint live again.
func (r *Registry) applyAnnouncement(
	i *instance, reporter *peer, a Announcement, receivedAt time.Time, interval time.Duration,
) applyResult {
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
	i.receivedAt, i.interval, i.reporter = receivedAt, interval, reporter
	i.remoteRunning = max(a.Running-i.localRunning, 0)
	if changed {
		r.notifyChanged()
		return resultChanged
	}
	return resultRenewed
}
