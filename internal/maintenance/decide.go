package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/maintenancepb"
	"github.com/hibiscusroute/hibiscusroute/internal/maintenance/plan"
	"github.com/hibiscusroute/hibiscusroute/internal/pool"
	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	// proposalRetryInterval is the time after which a command is proposed again that had no effect, actionRetryInterval
	// the time after which a platform call is repeated.
	proposalRetryInterval = time.Second
	actionRetryInterval   = 5 * time.Second
	// lossWindow is the time within which lossThreshold unplanned losses in one zone count as correlated. At 112
	// failures and restarts a day in 6 zones this happens by chance about once in 4 weeks; the loss of a rack or a zone
	// is detected at once.
	lossWindow    = 2 * time.Minute
	lossThreshold = 3
	// maintainedFailureThreshold is the number of instances at which a wave halts that are unhealthy after their
	// maintenance or didn't come back from their reboot: two suggest that the maintenance itself is the cause.
	maintainedFailureThreshold = 2
)

// Redundancy is the event that tells the leader whether every voter of the control group has caught up, so that the
// group could lose one.
type Redundancy struct{ Full bool }

// EventName returns the name of the event.
func (Redundancy) EventName() string { return "redundancy" }

// softState is the leader's state that is not replicated.
type softState struct {
	redundant    bool
	reports      map[string]pool.InstanceReport
	sent         map[string]time.Duration
	timers       map[string]timer
	lossCounts   map[string]uint64
	recentLosses []loss
	seenRevision uint64
	nextDecision time.Duration
}

// timer measures how long a permit has been in the condition that key identifies.
type timer struct {
	key   string
	since time.Duration
}

type loss struct {
	instance string
	at       time.Duration
}

// resetLeaderState clears the redundancy of the control group too, so that a new leader grants no permit before it
// receives a Redundancy event.
func (s *State) resetLeaderState(time.Duration) {
	s.soft = softState{
		reports: map[string]pool.InstanceReport{}, sent: map[string]time.Duration{}, timers: map[string]timer{},
	}
}

func (s *State) observe(_ time.Duration, ev kernel.Event) {
	switch e := ev.(type) {
	case Redundancy:
		s.soft.redundant = e.Full
	case pool.InstanceReport:
		s.soft.reports[e.Instance] = e
	case pool.InstanceReports:
		for _, r := range e {
			s.soft.reports[r.Instance] = r
		}
	default:
		return
	}
	s.soft.nextDecision = 0
}

func (s *State) decide(now time.Duration) kernel.Decision {
	d := &decision{s: s, now: now}
	revision := s.revision + s.pools.Revision()
	if s.soft.seenRevision == revision && now < s.soft.nextDecision {
		return d.out
	}
	s.soft.seenRevision, s.soft.nextDecision = revision, now+proposalRetryInterval
	maps.DeleteFunc(s.soft.sent, func(_ string, at time.Duration) bool { return now >= at+actionRetryInterval })
	s.recordLosses(now)
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		d.decideWave(s.waves[name])
	}
	return d.out
}

// recordLosses records when instances became unhealthy that no wave had stopped. The first call of a leader only
// records the loss counts as the baseline.
func (s *State) recordLosses(now time.Duration) {
	isBaseline := s.soft.lossCounts == nil
	if isBaseline {
		s.soft.lossCounts = map[string]uint64{}
	}
	for i := range s.cfg.Current().Instances {
		name := s.cfg.Current().Instances[i].Name
		n := s.pools.Losses(name)
		if previous := s.soft.lossCounts[name]; !isBaseline && n > previous {
			if p := s.permits[name]; p == nil || p.Stage != maintenancepb.Stage_STAGE_REBOOTING {
				s.soft.recentLosses = append(s.soft.recentLosses, loss{instance: name, at: now})
			}
		}
		s.soft.lossCounts[name] = n
	}
	s.soft.recentLosses = slices.DeleteFunc(s.soft.recentLosses, func(l loss) bool { return now >= l.at+lossWindow })
}

// decision collects the output of one run of decide.
type decision struct {
	s   *State
	now time.Duration
	out kernel.Decision
}

// shouldSend reports whether nothing with this key was sent within the interval, and records that it is sent now.
func (d *decision) shouldSend(key string, interval time.Duration) bool {
	if at, ok := d.s.soft.sent[key]; ok && d.now < at+interval {
		return false
	}
	d.s.soft.sent[key] = d.now
	return true
}

func (d *decision) propose(key string, m *maintenancepb.Command) {
	if !d.shouldSend(key, proposalRetryInterval) {
		return
	}
	if c, err := kernel.NewCommand(Name, "", m); err == nil {
		d.out.Commands = append(d.out.Commands, c)
	}
}

func (d *decision) issueAction(a kernel.Action, instance string, epoch uint64) {
	if d.shouldSend(fmt.Sprintf("%s %s %d", a.ActionName(), instance, epoch), actionRetryInterval) {
		d.out.Actions = append(d.out.Actions, a)
	}
}

func (d *decision) decideWave(w *maintenancepb.Wave) {
	cfg, _ := d.s.configuredWave(w.Name)
	for _, p := range w.Permits {
		d.decidePermit(w, p, cfg.DrainDeadline.Std())
	}
	if !isActive(w) {
		return
	}
	for _, name := range w.Pending {
		if poolName, _ := d.s.pools.PoolOf(name); poolName == "" {
			m := &maintenancepb.Step{Wave: w.Name, Instance: name}
			d.propose("drop "+name, &maintenancepb.Command{Change: &maintenancepb.Command_Drop{Drop: m}})
		}
	}
	if w.Phase != maintenancepb.Phase_PHASE_RUNNING {
		return
	}
	if reason := d.haltReason(w, cfg); reason != "" {
		m := &maintenancepb.Halt{Wave: w.Name, Reason: reason}
		d.propose("halt "+w.Name, &maintenancepb.Command{Change: &maintenancepb.Command_Halt{Halt: m}})
		return
	}
	if d.s.soft.redundant && d.s.previousHealthy(w) {
		d.proposePermits(w, cfg)
	}
}

// decidePermit proposes and issues the next step in the maintenance of one instance.
func (d *decision) decidePermit(w *maintenancepb.Wave, p *maintenancepb.Permit, deadline time.Duration) {
	s := d.s
	m := &maintenancepb.Step{Wave: w.Name, Instance: p.Instance, Epoch: p.Epoch}
	r := s.soft.reports[p.Instance]
	if s.isVoid(p) {
		d.propose("drop "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Drop{Drop: m}})
		return
	}
	key := fmt.Sprintf("%d %v %d", p.Epoch, p.Stage, p.Waits)
	switch p.Stage {
	case maintenancepb.Stage_STAGE_DRAINING:
		drained := s.pools.Drained(d.now, p.Instance) && r.Epoch == p.Epoch && r.Drained
		if drained || p.Forced {
			d.propose("stopped "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Stopped{Stopped: m}})
			return
		}
		d.issueAction(pool.DrainInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		d.proposeStuck(p, m, key, deadline)
	case maintenancepb.Stage_STAGE_REBOOTING:
		if r.Epoch == p.Epoch && r.Booted && r.Healthy {
			d.propose("back "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Back{Back: m}})
			return
		}
		d.issueAction(pool.RebootInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		d.proposeStuck(p, m, key, rebootTimeout)
	case maintenancepb.Stage_STAGE_RETURNING:
		if r.Epoch < p.Epoch {
			d.issueAction(pool.ResumeInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		}
		_, admitted := s.pools.PoolOf(p.Instance)
		if !admitted {
			key += " unhealthy" // restarts the slow start once the instance is healthy
		}
		if d.elapsed(p.Instance, key) >= slowStartDuration && admitted && r.Epoch >= p.Epoch {
			d.propose("done "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Done{Done: m}})
		}
	}
}

// elapsed returns how long the leader has seen the instance in the condition that key identifies.
func (d *decision) elapsed(instance, key string) time.Duration {
	t, ok := d.s.soft.timers[instance]
	if !ok || t.key != key {
		t = timer{key: key, since: d.now}
		d.s.soft.timers[instance] = t
	}
	return d.now - t.since
}

func (d *decision) proposeStuck(p *maintenancepb.Permit, m *maintenancepb.Step, key string, deadline time.Duration) {
	if d.elapsed(p.Instance, key) >= deadline && !p.Stuck {
		d.propose("stuck "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Stuck{Stuck: m}})
	}
}

// haltReason returns why the wave must halt, or an empty string when it may continue.
func (d *decision) haltReason(w *maintenancepb.Wave, cfg fleet.Wave) string {
	s := d.s
	var failed []string
	for _, p := range w.Permits {
		if p.Stage == maintenancepb.Stage_STAGE_REBOOTING && p.Stuck ||
			p.Stage == maintenancepb.Stage_STAGE_RETURNING && s.pools.Unreachable(p.Instance) {
			failed = append(failed, p.Instance)
		}
	}
	for _, name := range w.Maintained {
		if s.pools.Unreachable(name) {
			failed = append(failed, name)
		}
	}
	if len(failed) >= maintainedFailureThreshold {
		return fmt.Sprintf("maintained instances are not healthy: %v", failed)
	}
	lostByZone := map[string][]string{}
	for _, l := range s.soft.recentLosses {
		poolName, _ := s.pools.PoolOf(l.instance)
		in := s.pools.Instance(l.instance)
		if in == nil || !slices.Contains(cfg.Pools, poolName) ||
			slices.Contains(lostByZone[in.AvailabilityZone], l.instance) {
			continue
		}
		lostByZone[in.AvailabilityZone] = append(lostByZone[in.AvailabilityZone], l.instance)
	}
	for _, zone := range slices.Sorted(maps.Keys(lostByZone)) {
		if len(lostByZone[zone]) >= lossThreshold {
			return fmt.Sprintf("instances in zone %s were lost within %v: %v", zone, lossWindow, lostByZone[zone])
		}
	}
	return ""
}

// proposePermits proposes permits for the next batch. A batch grows only while all of its instances are draining,
// and only by instances of its zone.
func (d *decision) proposePermits(w *maintenancepb.Wave, cfg fleet.Wave) {
	s := d.s
	zone := ""
	for _, p := range w.Permits {
		if in := s.pools.Instance(p.Instance); in != nil {
			zone = in.AvailabilityZone
		}
	}
	var candidates []*fleet.Instance
	for _, name := range w.Pending {
		in := s.pools.Instance(name)
		poolName, admitted := s.pools.PoolOf(name)
		if in == nil || !admitted || zone != "" && in.AvailabilityZone != zone {
			continue
		}
		candidate := *in
		candidate.Pool = poolName
		candidates = append(candidates, &candidate)
	}
	free := max(1, cfg.MaxParallel) - len(w.Permits)
	if free < 1 {
		return
	}
	for _, in := range plan.Batch(candidates, free, func(name string) int { return s.pools.Summary(name).Headroom() }) {
		m := &maintenancepb.Step{Wave: w.Name, Instance: in.Name, Epoch: s.pools.Epoch(in.Name)}
		d.propose("permit "+in.Name, &maintenancepb.Command{Change: &maintenancepb.Command_Permit{Permit: m}})
	}
}
