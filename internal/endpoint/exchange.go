package endpoint

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/endpoint/endpointpb"
)

// Bounds of the time between batches of renewals. The upper bound leaves two lost updates before peerTimeout.
const (
	minBatchPeriod = 250 * time.Millisecond
	maxBatchPeriod = time.Second
)

// buildReport returns the buildReport of what was announced. Each incarnation gets a number of its own, so that a renewal that
// overtakes or is overtaken by the buildReport of a restart never confirms another incarnation than it meant.
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

// FullUpdate returns the first update for a process that just connected: everything announced to this process, and every
// endpoint known to be leaving, whoever reported it.
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

// ReceiveUpdate takes an update from another process. Updates before the first full one of a run of that process are ignored.
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
	if n := u.Renewals; n != nil && len(n.Ids) == len(n.Sequences) && len(n.Ids) == len(n.Running) {
		// A renewal may have waited for its batch, so its age is taken as the longest time between batches.
		every := time.Duration(n.IntervalMs) * time.Millisecond
		seen := now.Add(-batchPeriod(every))
		for k, id := range n.Ids {
			known, ok := p.byID[id]
			if !ok {
				continue
			}
			i := known.instance
			a := Announcement{
				Instance: i.name, Address: i.address, Incarnation: known.incarnation, Sequence: n.Sequences[k],
				State: stateReady, Running: int(n.Running[k]),
			}
			r.applyAnnouncement(i, p, a, seen, every)
		}
	}
}

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
	age, every := time.Duration(m.AgeMs)*time.Millisecond, time.Duration(m.IntervalMs)*time.Millisecond
	r.applyAnnouncement(i, p, a, now.Add(-age), min(every, maxInterval))
	p.byID[m.Id] = reportedInstance{instance: i, incarnation: m.Incarnation}
}

// Flush sends the pending renewals to the other processes; the update is empty when there are none, which tells them
// that this process is reachable. It also forgets records past their retention.
func (r *Registry) Flush() {
	r.mu.Lock()
	now := r.cfg.Now()
	u := &endpointpb.Update{Boot: r.incarnation}
	if len(r.pending) > 0 {
		u.Renewals = &endpointpb.Renewals{IntervalMs: uint32(announceInterval(r.countLive(now)).Milliseconds())}
		for i := range r.pending {
			u.Renewals.Ids = append(u.Renewals.Ids, i.id)
			u.Renewals.Sequences = append(u.Renewals.Sequences, i.sequence)
			u.Renewals.Running = append(u.Renewals.Running, uint32(i.remoteRunning+i.localRunning))
		}
		clear(r.pending)
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

func batchPeriod(interval time.Duration) time.Duration {
	return min(max(interval/4, minBatchPeriod), maxBatchPeriod)
}

// Run sends batches until the context ends.
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
