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
	// resend is the time after which a command without effect is proposed again, reissue that for platform calls.
	resend  = time.Second
	reissue = 5 * time.Second
	// lossWindow is the time within which maxLosses unplanned losses in one zone count as correlated. At 112 failures
	// and restarts a day in 6 zones this happens by chance about once in 4 weeks; a lost rack or zone shows at once.
	lossWindow = 2 * time.Minute
	maxLosses  = 3
	// maxRelapsed is the number of instances that the wave maintained, or that don't come back, at which it halts: two
	// point at the maintenance itself.
	maxRelapsed = 2
)

// Redundancy tells the leader whether the control group could lose a member: every voter is caught up.
type Redundancy struct{ Full bool }

// EventName returns the name of the event.
func (Redundancy) EventName() string { return "redundancy" }

// soft is the state of the leader that is not replicated.
type soft struct {
	redundant bool
	reports   map[string]pool.InstanceReport
	sent      map[string]time.Duration
	timers    map[string]timer
	losses    map[string]uint64
	lost      []loss
	seen      uint64
	next      time.Duration
}

// timer measures how long a permit has been in a condition.
type timer struct {
	key   string
	since time.Duration
}

type loss struct {
	instance string
	at       time.Duration
}

// lead forgets whether the control group is redundant, so that a new leader grants nothing before it was told.
func (s *State) lead(time.Duration) {
	s.soft = soft{
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
	s.soft.next = 0
}

func (s *State) decide(now time.Duration) kernel.Decision {
	d := &decision{s: s, now: now}
	changed := s.changed + s.pools.Revision()
	if s.soft.seen == changed && now < s.soft.next {
		return d.out
	}
	s.soft.seen, s.soft.next = changed, now+resend
	maps.DeleteFunc(s.soft.sent, func(_ string, at time.Duration) bool { return now >= at+reissue })
	s.noteLosses(now)
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		d.wave(s.waves[name])
	}
	return d.out
}

// noteLosses remembers when instances became unhealthy that no wave had stopped. The first look sets the baseline.
func (s *State) noteLosses(now time.Duration) {
	first := s.soft.losses == nil
	if first {
		s.soft.losses = map[string]uint64{}
	}
	for i := range s.cfg.Current().Instances {
		name := s.cfg.Current().Instances[i].Name
		n := s.pools.Losses(name)
		if before := s.soft.losses[name]; !first && n > before {
			if p := s.permits[name]; p == nil || p.Stage != maintenancepb.Stage_STAGE_REBOOTING {
				s.soft.lost = append(s.soft.lost, loss{instance: name, at: now})
			}
		}
		s.soft.losses[name] = n
	}
	s.soft.lost = slices.DeleteFunc(s.soft.lost, func(l loss) bool { return now >= l.at+lossWindow })
}

// decision collects the output of one run of decide.
type decision struct {
	s   *State
	now time.Duration
	out kernel.Decision
}

// due reports whether something with this key wasn't sent within the interval, and notes that it is now.
func (d *decision) due(key string, interval time.Duration) bool {
	if at, ok := d.s.soft.sent[key]; ok && d.now < at+interval {
		return false
	}
	d.s.soft.sent[key] = d.now
	return true
}

func (d *decision) propose(key string, m *maintenancepb.Command) {
	if !d.due(key, resend) {
		return
	}
	if c, err := kernel.NewCommand(Name, "", m); err == nil {
		d.out.Commands = append(d.out.Commands, c)
	}
}

func (d *decision) act(a kernel.Action, instance string, epoch uint64) {
	if d.due(fmt.Sprintf("%s %s %d", a.ActionName(), instance, epoch), reissue) {
		d.out.Actions = append(d.out.Actions, a)
	}
}

func (d *decision) wave(w *maintenancepb.Wave) {
	cfg, _ := d.s.configured(w.Name)
	for _, p := range w.Permits {
		d.permit(w, p, cfg.DrainDeadline.Std())
	}
	if !active(w) {
		return
	}
	for _, name := range w.Pending {
		if place, _ := d.s.pools.PoolOf(name); place == "" {
			m := &maintenancepb.Step{Wave: w.Name, Instance: name}
			d.propose("drop "+name, &maintenancepb.Command{Change: &maintenancepb.Command_Drop{Drop: m}})
		}
	}
	if w.Phase != maintenancepb.Phase_PHASE_RUNNING {
		return
	}
	if reason := d.correlated(w, cfg); reason != "" {
		m := &maintenancepb.Halt{Wave: w.Name, Reason: reason}
		d.propose("halt "+w.Name, &maintenancepb.Command{Change: &maintenancepb.Command_Halt{Halt: m}})
		return
	}
	if d.s.soft.redundant && d.s.previousHealthy(w) {
		d.grant(w, cfg)
	}
}

// permit drives the maintenance of one instance.
func (d *decision) permit(w *maintenancepb.Wave, p *maintenancepb.Permit, deadline time.Duration) {
	s := d.s
	m := &maintenancepb.Step{Wave: w.Name, Instance: p.Instance, Epoch: p.Epoch}
	r := s.soft.reports[p.Instance]
	if s.void(p) {
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
		d.act(pool.DrainInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		d.markStuck(p, m, key, deadline)
	case maintenancepb.Stage_STAGE_REBOOTING:
		if r.Epoch == p.Epoch && r.Booted && r.Healthy {
			d.propose("back "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Back{Back: m}})
			return
		}
		d.act(pool.RebootInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		d.markStuck(p, m, key, bootLimit)
	case maintenancepb.Stage_STAGE_RETURNING:
		if r.Epoch < p.Epoch {
			d.act(pool.ResumeInstance{Instance: p.Instance, Epoch: p.Epoch}, p.Instance, p.Epoch)
		}
		_, admit := s.pools.PoolOf(p.Instance)
		if !admit {
			key += " unhealthy" // the slow start begins again once the instance is healthy
		}
		if d.elapsed(p.Instance, key) >= slowStart && admit && r.Epoch >= p.Epoch {
			d.propose("done "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Done{Done: m}})
		}
	}
}

// elapsed returns for how long the leader has seen the instance in the condition.
func (d *decision) elapsed(instance, key string) time.Duration {
	t, ok := d.s.soft.timers[instance]
	if !ok || t.key != key {
		t = timer{key: key, since: d.now}
		d.s.soft.timers[instance] = t
	}
	return d.now - t.since
}

func (d *decision) markStuck(p *maintenancepb.Permit, m *maintenancepb.Step, key string, deadline time.Duration) {
	if d.elapsed(p.Instance, key) >= deadline && !p.Stuck {
		d.propose("stuck "+p.Instance, &maintenancepb.Command{Change: &maintenancepb.Command_Stuck{Stuck: m}})
	}
}

// correlated returns why the wave must halt, or nothing.
func (d *decision) correlated(w *maintenancepb.Wave, cfg fleet.Wave) string {
	s := d.s
	var relapsed []string
	for _, p := range w.Permits {
		if p.Stage == maintenancepb.Stage_STAGE_REBOOTING && p.Stuck ||
			p.Stage == maintenancepb.Stage_STAGE_RETURNING && s.pools.Unreachable(p.Instance) {
			relapsed = append(relapsed, p.Instance)
		}
	}
	for _, name := range w.Maintained {
		if s.pools.Unreachable(name) {
			relapsed = append(relapsed, name)
		}
	}
	if len(relapsed) >= maxRelapsed {
		return fmt.Sprintf("maintained instances are not healthy: %v", relapsed)
	}
	zones := map[string][]string{}
	for _, l := range s.soft.lost {
		place, _ := s.pools.PoolOf(l.instance)
		in := s.pools.Instance(l.instance)
		if in == nil || !slices.Contains(cfg.Pools, place) || slices.Contains(zones[in.AvailabilityZone], l.instance) {
			continue
		}
		zones[in.AvailabilityZone] = append(zones[in.AvailabilityZone], l.instance)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if len(zones[zone]) >= maxLosses {
			return fmt.Sprintf("instances in zone %s were lost within %v: %v", zone, lossWindow, zones[zone])
		}
	}
	return ""
}

// grant proposes permits for the next batch. A batch grows only while all of it still drains in one zone.
func (d *decision) grant(w *maintenancepb.Wave, cfg fleet.Wave) {
	s := d.s
	zone := ""
	for _, p := range w.Permits {
		if in := s.pools.Instance(p.Instance); in != nil {
			zone = in.AvailabilityZone
		}
	}
	var due []*fleet.Instance
	for _, name := range w.Pending {
		in := s.pools.Instance(name)
		place, admit := s.pools.PoolOf(name)
		if in == nil || !admit || zone != "" && in.AvailabilityZone != zone {
			continue
		}
		at := *in
		at.Pool = place
		due = append(due, &at)
	}
	free := max(1, cfg.MaxParallel) - len(w.Permits)
	if free < 1 {
		return
	}
	for _, in := range plan.Batch(due, free, func(name string) int { return s.pools.Summary(name).Headroom() }) {
		m := &maintenancepb.Step{Wave: w.Name, Instance: in.Name, Epoch: s.pools.Epoch(in.Name)}
		d.propose("permit "+in.Name, &maintenancepb.Command{Change: &maintenancepb.Command_Permit{Permit: m}})
	}
}
