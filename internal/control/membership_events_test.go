package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// countLost returns how many machines count as lost, and how many disks.
func (s *memberSim) countLost() (machines, disks int) {
	for _, sl := range s.slots {
		if sl.lostUntil > s.now {
			machines++
		}
		if sl.diskLostUntil > s.now {
			disks++
		}
	}
	return machines, disks
}

// lose counts a machine as lost until it has been back for the time to catch up.
func (s *memberSim) lose(sl *simSlot, back time.Duration, disk bool) {
	sl.lostUntil = max(sl.lostUntil, back+simCatchUp)
	if disk {
		sl.diskLostUntil = max(sl.diskLostUntil, back+simCatchUp)
	}
	s.disturbedUntil = max(s.disturbedUntil, back)
}

// darken counts all machines as lost. New machines have the time to catch up anew, as there may be no leader.
func (s *memberSim) darken(back time.Duration) {
	for _, sl := range s.slots {
		back = max(back, sl.lostUntil-simCatchUp)
	}
	for _, sl := range s.slots {
		s.lose(sl, back, sl.diskLostUntil > s.now)
		if sl.successor != nil {
			sl.settledAt = max(sl.settledAt, back+simCatchUp)
		}
	}
}

// pick returns the slot that an event applies to.
func (s *memberSim) pick(n int) *simSlot {
	if l := s.leader(); l != nil && n%3 == 0 {
		for _, sl := range s.slots {
			if sl.machine == l {
				return sl
			}
		}
	}
	return s.slots[n/3%len(s.slots)]
}

// handle lets an event take place, unless that were beyond the tolerance.
func (s *memberSim) handle(e simEvent) {
	sl := s.pick(e.n)
	lost, disks := s.countLost()
	free := sl.successor == nil && sl.lostUntil <= s.now
	tolerable := lost < s.script.tolerated
	s.logf("event %s, n %d for %v: slot of %s, %d lost, %d disks", e.kind, e.n, e.d, sl.machine.id, lost, disks)
	switch e.kind {
	case "lost":
		if !free || !tolerable {
			return
		}
		s.replaceLost(sl, "", e.d)
	case "disk":
		if !free || !tolerable {
			return
		}
		s.replaceLost(sl, sl.machine.address, e.d)
	case "again": // the new machine is lost as well
		if free || sl.successor != nil || sl.diskLostUntil <= s.now || sl.machine.core == nil || lost > s.script.tolerated {
			return
		}
		s.replaceLost(sl, "", e.d)
	case "dark-disk": // beside machines that are dark but keep their disks
		if !free || disks >= s.script.tolerated {
			return
		}
		s.darken(s.now + e.d)
		s.replaceLost(sl, sl.machine.address, e.d)
	case "restart", "freeze", "cut":
		if !free || !tolerable {
			return
		}
		s.lose(sl, s.now+e.d, false)
		s.disturb(e, sl.machine)
	case "split":
		var inside []*simMachine
		for _, i := range s.random.Perm(len(s.machines))[:len(s.machines)/2] {
			inside = append(inside, s.machines[i])
		}
		s.cuts = append(s.cuts, simCut{inside, s.now + e.d})
		s.darken(s.now + e.d)
	case "power", "power-disk":
		s.losePower(e, sl, e.kind == "power-disk" && free && disks < s.script.tolerated)
	case "transfer":
		if l := s.leader(); l != nil && l.runs() {
			s.transfer(l)
		}
	case "replace":
		if slices.ContainsFunc(s.slots, func(o *simSlot) bool { return o.successor != nil }) || !free {
			return
		}
		s.replace(sl, e)
	}
	s.events[e.kind]++
}

// replaceLost kills a machine for good and starts an empty one.
func (s *memberSim) replaceLost(sl *simSlot, address string, d time.Duration) {
	s.stop(sl.machine, true)
	sl.machine = s.newMachine(address)
	m := sl.machine
	s.after(d, func() { s.start(m) })
	s.lose(sl, s.now+d, true)
}

func (s *memberSim) disturb(e simEvent, m *simMachine) {
	switch e.kind {
	case "restart":
		s.stop(m, false)
		s.after(e.d, func() { s.start(m) })
	case "freeze":
		m.frozen = true
		s.after(e.d, func() { s.thaw(m) })
	case "cut":
		s.cuts = append(s.cuts, simCut{[]*simMachine{m}, s.now + e.d})
	}
}

func (s *memberSim) thaw(m *simMachine) {
	if !m.frozen || m.core == nil {
		return
	}
	m.frozen, m.tickAt = false, s.now
	if s.random.IntN(2) == 0 {
		m.tickAt += tickInterval
	}
	for _, msg := range m.inbox {
		m.step(msg)
	}
	m.inbox = nil
}

func (s *memberSim) losePower(e simEvent, sl *simSlot, disk bool) {
	var last time.Duration
	for _, m := range s.machines {
		if m.core == nil {
			continue
		}
		s.stop(m, false)
		if disk && m == sl.machine {
			continue
		}
		d := e.d + s.between(0, time.Second)
		last = max(last, d)
		s.after(d, func() { s.start(m) })
	}
	s.darken(s.now + last)
	if disk {
		s.replaceLost(sl, []string{"", sl.machine.address}[e.n%2], max(last, e.d))
	}
}

func (s *memberSim) transfer(l *simMachine) {
	var best raft.MemberStatus
	for _, ms := range l.core.Status().Members {
		if ms.Member.Id != l.id && ms.Member.Voter && ms.CaughtUp && (best.Member == nil || ms.MatchIndex > best.MatchIndex) {
			best = ms
		}
	}
	if best.Member != nil {
		_ = l.core.TransferLeadership(best.Member.Id) // As in a Voter, it may be busy.
	}
}

// replace starts the successor of a machine, and stops the machine some time after the successor has become a voter.
func (s *memberSim) replace(sl *simSlot, e simEvent) {
	next := s.newMachine("")
	sl.successor, sl.settledAt = next, s.now+simCatchUp
	s.disturbedUntil = max(s.disturbedUntil, s.now)
	s.start(next)
	var poll, stop func()
	poll = func() {
		if l := s.leader(); l != nil && slices.ContainsFunc(l.core.Status().Members, func(ms raft.MemberStatus) bool {
			return ms.Member.Id == next.id && ms.Member.Voter
		}) {
			s.after(e.d, stop)
			return
		}
		s.after(100*time.Millisecond, poll)
	}
	stop = func() {
		lost, disks := s.countLost()
		if (!s.script.settled || s.now < sl.settledAt) && (lost >= s.script.tolerated || disks >= s.script.tolerated) {
			s.after(100*time.Millisecond, stop)
			return
		}
		s.stopReplaced(sl)
	}
	s.after(100*time.Millisecond, poll)
}

// stopReplaced stops a machine for good as Control.Run does.
func (s *memberSim) stopReplaced(sl *simSlot) {
	old := sl.machine
	if back := sl.settledAt - simCatchUp; s.script.settled {
		s.lose(sl, back, true)
	} else {
		s.lose(sl, max(s.now, back), true)
	}
	old.joinAt = s.now + time.Hour // It no longer asks to join.
	s.shutDown(old, s.now+simShutdownTime)
	sl.machine, sl.successor = sl.successor, nil
}

// shutDown lets a machine hand over the leadership and leave the group, and then stops it for good.
func (s *memberSim) shutDown(m *simMachine, deadline time.Duration) {
	if s.now < deadline && m.runs() && s.isLeaving(m) {
		s.after(simLeaveInterval, func() { s.shutDown(m, deadline) })
		return
	}
	s.stop(m, true)
}

// isLeaving does the work of Control.transferLeadership and Control.leaveGroup, and reports whether some is left.
func (s *memberSim) isLeaving(m *simMachine) bool {
	if m.leadTerm > 0 {
		s.transfer(m)
		return true
	}
	voters, isVoter := 0, false
	for _, ms := range m.core.Status().Members {
		if ms.Member.Voter {
			voters++
			isVoter = isVoter || ms.Member.Id == m.id
		}
	}
	if !isVoter || !s.policy.hasSurplus(voters) {
		return false
	}
	if l := s.leader(); l != nil && s.connected(l, m) && s.policy.mayLeave(l.core.Status().Members, m.id) {
		s.propose(l, &raftpb.MemberChange{
			Kind: raftpb.ChangeKind_CHANGE_KIND_REMOVE, Member: &raftpb.Member{Id: m.id}, Force: true,
		})
	}
	return true
}

// run plays the script.
func (s *memberSim) run() error {
	events, paused := slices.Clone(s.script.events), time.Duration(0)
	for _, check := range s.script.checks {
		for s.now < check+paused && s.err == nil {
			for len(events) > 0 && events[0].at+paused <= s.now {
				s.handle(events[0])
				events = events[1:]
			}
			s.advance()
		}
		paused -= s.now
		s.checkRecovery()
		paused += s.now
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

// checkRecovery waits until no machine counts as lost and the calm period has passed, and then checks the group.
func (s *memberSim) checkRecovery() {
	calmSince := s.now
	for s.err == nil && s.now < calmSince+simCalm {
		lost, _ := s.countLost()
		replacing := slices.ContainsFunc(s.slots, func(sl *simSlot) bool { return sl.successor != nil })
		if lost > 0 || replacing {
			calmSince = s.now
		}
		// A successor must be a voter in time, after which the machine stops within 5 s.
		if lost == 0 && s.now > s.disturbedUntil+simCatchUp+simCalm+5*time.Second && replacing {
			s.failf("a successor is no voter: %s", s.describe())
		}
		s.advance()
	}
	l := s.leader()
	if s.err != nil {
		return
	}
	if l == nil {
		s.failf("no leader: %s", s.describe())
		return
	}
	voters := 0
	members := l.core.Status().Members
	for _, ms := range members {
		m := s.find(ms.Member.Id)
		if m.gone {
			s.failf("%s is gone, but still a member: %s", m.id, s.describe())
		}
		if ms.Member.Voter {
			voters++
		}
	}
	live := 0
	for _, m := range s.machines {
		if m.core == nil {
			continue
		}
		if !slices.ContainsFunc(members, func(ms raft.MemberStatus) bool { return ms.Member.Id == m.id && ms.Member.Voter }) {
			s.failf("%s runs, but is no voter: %s", m.id, s.describe())
		}
		live++
	}
	if live-s.script.tolerated < raft.Quorum(voters) {
		s.failf("the group doesn't bear the loss of %d disks: %s", s.script.tolerated, s.describe())
	}
	s.logf("recovered: %s", describeMembers(l.core))
}

func (s *memberSim) find(id string) *simMachine {
	i := slices.IndexFunc(s.machines, func(m *simMachine) bool { return m.id == id })
	return s.machines[i]
}

func (s *memberSim) describe() string {
	var b strings.Builder
	for _, m := range s.machines {
		if m.core != nil {
			st := m.core.Status()
			fmt.Fprintf(&b, "\n  %s %s term %d leader %q commit %d last %d members %s", m.id, st.Role, st.Term, st.Leader,
				st.CommitIndex, st.LastIndex, describeMembers(m.core))
		}
	}
	return b.String()
}
