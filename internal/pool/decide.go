package pool

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// proposalRetryInterval is the time after which the leader proposes a command again that was not applied.
const proposalRetryInterval = time.Second

// softState is the leader's state that is not replicated.
type softState struct {
	reports            map[string]bool
	quarantineRequests map[string]string
	draining           map[string]drain
	proposed           map[string]time.Duration
	seenRevision       uint64
	nextDecision       time.Duration
}

type drain struct {
	epoch uint64
	since time.Duration
}

// AddBusyCheck adds a check for work that still runs on an instance; an instance is drained when no check finds any.
func (s *State) AddBusyCheck(busy func(instance string) bool) {
	s.busyChecks = append(s.busyChecks, busy)
}

// RequestQuarantine asks the leader to quarantine an instance. The request is not replicated; the caller repeats it
// until the quarantine is in force.
func (s *State) RequestQuarantine(instance, reason string) {
	s.soft.quarantineRequests[instance] = reason
}

// Busy reports whether work still runs on the instance.
func (s *State) Busy(instance string) bool {
	return slices.ContainsFunc(s.busyChecks, func(busy func(string) bool) bool { return busy(instance) })
}

func (s *State) resetLeaderState(time.Duration) {
	s.soft = softState{
		reports: map[string]bool{}, quarantineRequests: map[string]string{},
		draining: map[string]drain{}, proposed: map[string]time.Duration{},
	}
}

func (s *State) observe(_ time.Duration, ev kernel.Event) {
	switch e := ev.(type) {
	case InstanceReport:
		s.soft.reports[e.Instance] = e.Healthy
	case InstanceReports:
		for _, r := range e {
			s.soft.reports[r.Instance] = r.Healthy
		}
	default:
		return
	}
	s.soft.nextDecision = 0
}

// decide examines all instances after a change and on a quarantine request, and otherwise once per retry interval or
// when the lease wait of a drain ends.
func (s *State) decide(now time.Duration) kernel.Decision {
	var d kernel.Decision
	if s.soft.seenRevision == s.Revision() && now < s.soft.nextDecision && len(s.soft.quarantineRequests) == 0 {
		return d
	}
	s.soft.seenRevision, s.soft.nextDecision = s.Revision(), now+proposalRetryInterval
	propose := func(key string, m *poolpb.Command) {
		if at, ok := s.soft.proposed[key]; ok && now < at+proposalRetryInterval {
			return
		}
		if c, err := kernel.NewCommand(Name, "", m); err == nil {
			s.soft.proposed[key] = now
			d.Commands = append(d.Commands, c)
		}
	}
	maps.DeleteFunc(s.soft.proposed, func(_ string, at time.Duration) bool { return now >= at+proposalRetryInterval })
	if !s.Synced() {
		propose("sync "+strconv.FormatUint(s.cfg.Version(), 10),
			&poolpb.Command{Change: &poolpb.Command_Sync{Sync: &poolpb.Sync{}}})
	}
	s.decideHealth(propose)
	for _, instance := range slices.Sorted(maps.Keys(s.soft.quarantineRequests)) {
		if in, ok := s.instances[instance]; ok && !in.Quarantined && !in.Removed {
			q := &poolpb.Quarantine{Instance: instance, On: true, Reason: s.soft.quarantineRequests[instance]}
			propose("quarantine "+instance, &poolpb.Command{Change: &poolpb.Command_Quarantine{Quarantine: q}})
		}
	}
	clear(s.soft.quarantineRequests)
	started := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		s.decideMove(now, s.instances[name], started, propose)
	}
	return d
}

func (s *State) decideHealth(propose func(key string, m *poolpb.Command)) {
	h := &poolpb.Health{}
	key := "health"
	for _, name := range slices.Sorted(maps.Keys(s.soft.reports)) {
		in, ok := s.instances[name]
		switch healthy := s.soft.reports[name]; {
		case !ok || healthy != in.Unhealthy:
			continue
		case healthy:
			h.Healthy = append(h.Healthy, name)
			key += " +" + name
		default:
			h.Unhealthy = append(h.Unhealthy, name)
			key += " -" + name
		}
	}
	if len(h.Healthy)+len(h.Unhealthy) > 0 {
		propose(key, &poolpb.Command{Change: &poolpb.Command_Health{Health: h}})
	}
}

// decideMove proposes the next step of a move. The number of moves started in one decision stays within the headroom of
// the pool; the command is checked again when it is applied.
func (s *State) decideMove(now time.Duration, in *poolpb.Instance, started map[string]int,
	propose func(key string, m *poolpb.Command)) {
	step := &poolpb.Step{Instance: in.Name, Epoch: in.Epoch}
	switch {
	case in.Removed:
		if s.drainComplete(now, in) {
			propose("forget "+in.Name, &poolpb.Command{Change: &poolpb.Command_Forget{Forget: step}})
		}
	case in.Move == poolpb.Move_MOVE_NONE:
		step.To = s.targetPool(in)
		c := s.Summary(in.Pool)
		n := started[in.Pool]
		if step.To != in.Pool && isServing(in) && c.Headroom()-n >= 1 && c.Serving-n-1 >= s.minInstances(in.Pool) {
			started[in.Pool]++
			propose("begin "+in.Name, &poolpb.Command{Change: &poolpb.Command_Begin{Begin: step}})
		}
	case in.Move == poolpb.Move_MOVE_DRAINING && (s.targetPool(in) != in.To || !s.canRelease(in)):
		propose("back "+in.Name, &poolpb.Command{Change: &poolpb.Command_GoBack{GoBack: step}})
	case in.Move == poolpb.Move_MOVE_DRAINING && s.drainComplete(now, in):
		propose("release "+in.Name, &poolpb.Command{Change: &poolpb.Command_Release{Release: step}})
	case in.Move == poolpb.Move_MOVE_RELEASED && !in.Unhealthy:
		propose("use "+in.Name, &poolpb.Command{Change: &poolpb.Command_Use{Use: step}})
	}
}

// drainComplete reports whether no process can still send work to the instance and no work runs on it. A new leader
// waits for the whole lease again, because it doesn't know when the drain began.
func (s *State) drainComplete(now time.Duration, in *poolpb.Instance) bool {
	d, ok := s.soft.draining[in.Name]
	if !ok || d.epoch != in.Epoch {
		d = drain{epoch: in.Epoch, since: now}
		s.soft.draining[in.Name] = d
	}
	s.soft.nextDecision = min(s.soft.nextDecision, max(now, d.since+leaseWait))
	return now >= d.since+leaseWait && !s.Busy(in.Name)
}

// Drained reports whether a draining instance can be stopped: no process can still send work to it, and no work runs on
// it. It is called on the leader only.
func (s *State) Drained(now time.Duration, instance string) bool {
	in, ok := s.instances[instance]
	return ok && s.Draining(instance) && s.drainComplete(now, in)
}
