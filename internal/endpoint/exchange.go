package endpoint

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
)

// Limits of the time between batches of renewals. With the upper limit, two lost updates don't exceed peerTimeout.
const (
	minBatchPeriod = 250 * time.Millisecond
	maxBatchPeriod = time.Second
)

// buildReport returns the report on the newest announcement of an instance. Each incarnation gets its own ID, so that a
// renewal that is reordered with the report of a restart can't renew the wrong incarnation.
func (r *Registry) buildReport(i *instance, now time.Time) *endpointpb.Report {
	if i.id == 0 || i.idIncarnation != i.incarnation {
		r.lastID++
		i.id, i.idIncarnation = r.lastID, i.incarnation
	}
	return &endpointpb.Report{
		Id: i.id, Instance: i.name, Address: i.address, Incarnation: i.incarnation, Sequence: i.sequence,
		Leaving: i.leaving, Running: uint32(i.remoteRunning + i.localRunning),
		AgeMs: uint32(now.Sub(i.receivedAt).Milliseconds()), IntervalMs: uint32(i.interval.Milliseconds()),
	}
}

// FullUpdate returns the first update for a process that has just connected. It contains all endpoints that announced
// themselves to this process, and all leaving endpoints, whichever process reported them.
func (r *Registry) FullUpdate() *endpointpb.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	u := &endpointpb.Update{Boot: r.incarnation, Full: true}
	for _, name := range slices.Sorted(maps.Keys(r.instances)) {
		if i := r.instances[name]; i.reporter == nil && i.id != 0 || i.leaving {
			u.Reports = append(u.Reports, r.buildReport(i, now))
		}
	}
	return u
}

// ReceiveUpdate applies an update from another process. It ignores updates that precede the first full update of an
// incarnation of that process.
func (r *Registry) ReceiveUpdate(from string, u *endpointpb.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	p := r.peers[from]
	if p == nil {
		p = &peer{}
		r.peers[from] = p
	}
	if u.Full {
		p.incarnation, p.byID = u.Boot, map[uint32]reportedInstance{}
	}
	if p.byID == nil || p.incarnation != u.Boot {
		return
	}
	if now.Sub(p.lastContact) > peerTimeout {
		r.notifyChanged()
	}
	p.lastContact = now
	for _, m := range u.Reports {
		r.applyReport(p, m, now)
	}
	if renewals := u.Renewals; renewals != nil &&
		len(renewals.Ids) == len(renewals.Sequences) && len(renewals.Ids) == len(renewals.Running) {
		// A renewal may have waited for its batch, so assume the longest time between batches as its age.
		interval := time.Duration(renewals.IntervalMs) * time.Millisecond
		receivedAt := now.Add(-batchPeriod(interval))
		for k, id := range renewals.Ids {
			reported, ok := p.byID[id]
			if !ok {
				continue
			}
			i := reported.instance
			a := Announcement{
				Instance: i.name, Address: i.address, Incarnation: reported.incarnation, Sequence: renewals.Sequences[k],
				State: stateReady, Running: int(renewals.Running[k]),
			}
			r.applyAnnouncement(i, p, a, receivedAt, interval)
		}
	}
}

// applyReport applies a report of another process unless it is invalid.
func (r *Registry) applyReport(p *peer, m *endpointpb.Report, now time.Time) {
	a := Announcement{
		Instance: m.Instance, Address: m.Address, Incarnation: m.Incarnation, Sequence: m.Sequence,
		State: stateReady, Running: int(m.Running),
	}
	if m.Leaving {
		a.State = stateLeaving
	}
	if a.validate() != "" {
		return
	}
	i := r.instances[m.Instance]
	if i == nil {
		if len(r.instances) >= r.cfg.MaxInstances {
			return
		}
		i = &instance{name: m.Instance}
		r.instances[m.Instance] = i
	}
	age, interval := time.Duration(m.AgeMs)*time.Millisecond, time.Duration(m.IntervalMs)*time.Millisecond
	r.applyAnnouncement(i, p, a, now.Add(-age), min(interval, maxInterval))
	p.byID[m.Id] = reportedInstance{instance: i, incarnation: m.Incarnation}
}

// Flush sends the pending renewals to the other processes. Without renewals the update is empty and only shows that
// this process is reachable. Flush also removes the records of instances and processes that have exceeded
// recordRetention.
func (r *Registry) Flush() {
	r.mu.Lock()
	now := r.cfg.Now()
	u := &endpointpb.Update{Boot: r.incarnation}
	if len(r.pendingRenewals) > 0 {
		u.Renewals = &endpointpb.Renewals{IntervalMs: uint32(announceInterval(r.countLive(now)).Milliseconds())}
		for i := range r.pendingRenewals {
			u.Renewals.Ids = append(u.Renewals.Ids, i.id)
			u.Renewals.Sequences = append(u.Renewals.Sequences, i.sequence)
			u.Renewals.Running = append(u.Renewals.Running, uint32(i.remoteRunning+i.localRunning))
		}
		clear(r.pendingRenewals)
	}
	for name, i := range r.instances {
		if now.Sub(i.receivedAt) > recordRetention && i.localRunning == 0 {
			delete(r.instances, name)
		}
	}
	for name, p := range r.peers {
		if now.Sub(p.lastContact) > recordRetention {
			delete(r.peers, name)
		}
	}
	r.mu.Unlock()
	if r.cfg.Send != nil {
		r.cfg.Send(u)
	}
}

// batchPeriod returns the time between batches of renewals for an announcement interval.
func batchPeriod(interval time.Duration) time.Duration {
	return min(max(interval/4, minBatchPeriod), maxBatchPeriod)
}

// Run sends batches of renewals until the context is done.
func (r *Registry) Run(ctx context.Context) {
	for {
		r.mu.Lock()
		wait := batchPeriod(announceInterval(r.countLive(r.cfg.Now())))
		r.mu.Unlock()
		select {
		case <-time.After(wait):
			r.Flush()
		case <-ctx.Done():
			return
		}
	}
}
