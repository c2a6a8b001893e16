package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
)

// demandWindow is the time for which a process reports its peak demand. It covers short pauses within a burst, so that
// allocations do not move back and forth. A longer window keeps units from processes that need them; see
// docs/decisions/quota.md.
const demandWindow = 500 * time.Millisecond

// HolderConfig holds the settings of a holder.
type HolderConfig struct {
	// HasLease reports whether the lease of this process is valid now.
	HasLease func() bool
	// Now returns a monotonic time.
	Now func() time.Duration
	// RequestReport is called when demand exceeds the allocation or idle units were returned, so that the next report
	// can be sent early. It must not block and may be nil.
	RequestReport func()
}

// heldResource is the allocation that this process has of one resource, and its use.
type heldResource struct {
	granted  uint64
	returned uint64
	// acknowledged is the part of returned that is in the replicated state; it needs no further report.
	acknowledged uint64
	// maxInUse is the number of units that the replicated state allows in use at once.
	maxInUse uint64
	// recallTarget is the number of units to keep while units are recalled.
	recallTarget uint64
	recalled     bool
	inUse        uint64
	demand       uint64
	// peakDemand is the highest demand within about demandWindow.
	peakDemand     uint64
	peakAt         time.Duration
	reportedDemand uint64
}

func (h *heldResource) units() uint64 { return h.granted - h.returned }

// usable returns the number of units that may be in use at once. It can be below maxInUse, which may include units that
// were returned since.
func (h *heldResource) usable() uint64 {
	if h.recalled {
		return min(h.units(), h.maxInUse, h.recallTarget)
	}
	return min(h.units(), h.maxInUse)
}

// returnIdle returns the recalled units that are not in use, and reports whether there were any.
func (h *heldResource) returnIdle() bool {
	keep := max(h.inUse, h.recallTarget)
	if !h.recalled || h.units() <= keep {
		return false
	}
	h.returned += h.units() - keep
	return true
}

// Holder accounts for the use of the allocations of this process. It is safe for concurrent use.
type Holder struct {
	cfg HolderConfig

	mu        sync.Mutex
	id        string
	resources map[string]*heldResource
	grown     chan struct{}
}

// NewHolder returns a holder without allocations.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, resources: map[string]*heldResource{}, grown: make(chan struct{})}
}

// Permit is one unit in use.
type Permit struct {
	once     sync.Once
	holder   *Holder
	resource *heldResource
}

// Release ends the use of the unit; calls after the first do nothing.
func (p *Permit) Release() {
	p.once.Do(func() {
		p.holder.mu.Lock()
		defer p.holder.mu.Unlock()
		p.resource.inUse--
		p.resource.returnIdle()
	})
}

// TryAcquire acquires one unit of a resource; it fails if no unit is free or the process has no valid lease.
func (h *Holder) TryAcquire(resource string) (*Permit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.resources[resource]
	if !ok || r.inUse >= r.usable() {
		return nil, false
	}
	// The lease is checked last and while the mutex is held, so that no unit is acquired after a reset.
	if !h.cfg.HasLease() {
		return nil, false
	}
	r.inUse++
	return &Permit{holder: h, resource: r}, true
}

// SetDemand sets the number of units that the running and waiting work of this process could use now.
func (h *Holder) SetDemand(resource string, n int) {
	now := h.cfg.Now()
	h.mu.Lock()
	r := h.getOrCreate(resource)
	r.demand = uint64(max(n, 0))
	if r.demand >= r.peakDemand || now-r.peakAt > demandWindow {
		r.peakDemand, r.peakAt = r.demand, now
	}
	needsReport := r.demand > r.units() && r.peakDemand > r.reportedDemand
	h.mu.Unlock()
	if needsReport && h.cfg.RequestReport != nil {
		h.cfg.RequestReport()
	}
}

func (h *Holder) getOrCreate(resource string) *heldResource {
	r, ok := h.resources[resource]
	if !ok {
		r = &heldResource{}
		h.resources[resource] = r
	}
	return r
}

// AllocationGrown returns a channel that is closed when the usable units of any resource increase.
func (h *Holder) AllocationGrown() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grown
}

// InUse returns the number of units of a resource that are in use.
func (h *Holder) InUse(resource string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.resources[resource]; ok {
		return int(r.inUse)
	}
	return 0
}

// Reset drops all allocations, because the process has become a new member. Permits of the former member stay valid
// until they are released.
func (h *Holder) Reset(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id, h.resources = id, map[string]*heldResource{}
}

// Update copies the allocations of this process from the replicated state.
func (h *Holder) Update(s *State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	grew := false
	for name, r := range s.resources {
		a, ok := r.allocations[h.id]
		if !ok {
			continue
		}
		local := h.getOrCreate(name)
		before := local.usable()
		local.granted = max(local.granted, a.granted)
		local.acknowledged = a.returned
		local.maxInUse = s.UsableUnits(name, h.id)
		grew = grew || local.usable() > before
	}
	if grew {
		h.notifyGrowth()
	}
}

func (h *Holder) notifyGrowth() {
	close(h.grown)
	h.grown = make(chan struct{})
}

// SetRecalls replaces all recalls. Units above a target are returned now if they are idle, otherwise when they are
// released. No unit above the target can be acquired during a recall, because the units of a process with waiting work
// would never be idle.
func (h *Holder) SetRecalls(recalls []*quotapb.Recall) {
	if h.setRecalls(recalls) && h.cfg.RequestReport != nil {
		h.cfg.RequestReport()
	}
}

func (h *Holder) setRecalls(recalls []*quotapb.Recall) (returned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	targets := make(map[string]uint64, len(recalls))
	for _, rc := range recalls {
		targets[rc.Resource] = rc.Target
	}
	grew := false
	for name, r := range h.resources {
		before := r.usable()
		r.recallTarget, r.recalled = targets[name], false
		if _, ok := targets[name]; ok {
			r.recalled = true
			returned = r.returnIdle() || returned
		}
		grew = grew || r.usable() > before
	}
	if grew {
		h.notifyGrowth()
	}
	return returned
}

// Report returns the demands that changed since the last report, and the totals of returned units that the replicated
// state doesn't contain yet. If full is true, it returns all demands, for a new leader, which knows none.
func (h *Holder) Report(full bool) ([]*quotapb.Demand, []*quotapb.Returned) {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var demands []*quotapb.Demand
	var returned []*quotapb.Returned
	for _, name := range slices.Sorted(maps.Keys(h.resources)) {
		r := h.resources[name]
		if now-r.peakAt > demandWindow {
			r.peakDemand, r.peakAt = r.demand, now
		}
		if full || r.peakDemand != r.reportedDemand {
			demands = append(demands, &quotapb.Demand{Resource: name, Units: r.peakDemand})
			r.reportedDemand = r.peakDemand
		}
		if r.returned > r.acknowledged {
			returned = append(returned, &quotapb.Returned{Resource: name, Total: r.returned})
		}
	}
	return demands, returned
}
