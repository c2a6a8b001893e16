package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// The defaults keep the test short; other seeds are run by hand.
var (
	simSeed    = flag.Uint64("membership.seed", 1, "first seed of the simulation of the members")
	simRuns    = flag.Uint64("membership.runs", 20, "seeds of the simulation of the members")
	simShrink  = flag.Bool("membership.shrink", false, "shorten the script of a failing seed")
	simSettled = flag.Bool("membership.settled", false, "a replaced machine stops without counting as lost")
	simSkip    = flag.String("membership.skip", "", "kinds of events to leave out, separated by commas")
)

const (
	simStep = 10 * time.Millisecond
	// simCatchUp and simCalm add up to the 12 s in which the group must have recovered.
	simCatchUp = 4 * time.Second
	simCalm    = 8 * time.Second
	// The following are those of a control process.
	simJoinInterval    = time.Second
	simRemoveLostAfter = time.Second
	simShutdownTime    = 1500 * time.Millisecond
	simLeaveInterval   = 100 * time.Millisecond
	// simSnapshotEntries is small, so that most new members need a snapshot.
	simSnapshotEntries = 60
)

// simEvent is an event of a script. n selects what it applies to.
type simEvent struct {
	at, d time.Duration
	kind  string
	n     int
}

// simScript is what happens in a run. It names no process, so that it stays valid when events are left out.
type simScript struct {
	seed      uint64
	tolerated int
	events    []simEvent
	// settled tells that a replaced machine may stop without counting as lost once its successor has caught up, even
	// while another one is lost.
	settled bool
	checks  []time.Duration // when the events pause until the group must have recovered
}

// simMachine is a process with its disk.
type simMachine struct {
	id, address string
	core        *raft.Core // nil while the process is down
	disk        raft.PersistentState
	state       string // the commands applied so far, each followed by a comma
	applied     uint64
	gone        bool // it never comes back
	frozen      bool
	inbox       []*raftpb.Message // arrived while it was frozen

	leadTerm       uint64 // 0 unless it leads
	missingSince   map[string]time.Duration
	pending        map[uint64]simCommand
	addresses      map[string]string // by identity, as reported in messages
	tickAt, joinAt time.Duration
}

type simCommand struct {
	term uint64
	data string
}

// simSlot is a machine that the deployment should have, with its successors.
type simSlot struct {
	machine   *simMachine
	successor *simMachine // beside the machine that it replaces
	// lostUntil is when the machine stops counting as lost; diskLostUntil is the same for the loss of a disk.
	lostUntil, diskLostUntil time.Duration
	// settledAt is when the successor has had the time to catch up.
	settledAt time.Duration
}

type simCut struct {
	inside []*simMachine
	until  time.Duration
}

// memberSim runs real members of the replicated log, with the rules of a Voter, on a simulated network and clock.
type memberSim struct {
	script   simScript
	random   *rand.Rand
	now      time.Duration
	policy   memberPolicy
	slots    []*simSlot
	machines []*simMachine
	timers   []simTimer
	flight   map[time.Duration][]simMessage
	cuts     []simCut
	trace    []string
	err      error

	disturbedUntil time.Duration // end of the last event
	commands       int
	acknowledged   []simCommand
	entries        map[uint64]string // committed, by index
	leaders        map[uint64]string // by term
	events         map[string]int    // how many took place, by kind
}

type simTimer struct {
	at time.Duration
	f  func()
}

type simMessage struct {
	from    *simMachine
	address string
	m       *raftpb.Message
}

func newMemberSim(script simScript) *memberSim {
	s := &memberSim{
		script: script, random: rand.New(rand.NewPCG(script.seed, 2)), flight: map[time.Duration][]simMessage{},
		policy:  newMemberPolicy(Config{RemoveLostAfter: simRemoveLostAfter, ToleratedLosses: script.tolerated}),
		entries: map[uint64]string{}, leaders: map[uint64]string{}, events: map[string]int{},
	}
	var founders []*raftpb.Member
	for i := range 3 {
		address := fmt.Sprintf("a%d", i+1)
		founders = append(founders, &raftpb.Member{
			Id: FounderIdentity(address), Name: address, Address: address, Voter: true,
		})
	}
	for i := range 2*script.tolerated + 1 {
		m := s.newMachine(fmt.Sprintf("a%d", i+1))
		if i < len(founders) {
			m.id, m.disk = founders[i].Id, raft.Bootstrap(founders)
		}
		s.slots = append(s.slots, &simSlot{machine: m})
		s.start(m)
	}
	return s
}

func (s *memberSim) newMachine(address string) *simMachine {
	m := &simMachine{id: fmt.Sprintf("id%d", len(s.machines)+1), address: address}
	if address == "" {
		m.address = fmt.Sprintf("b%d", len(s.machines)+1)
	}
	s.machines = append(s.machines, m)
	return m
}

func (s *memberSim) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.2f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *memberSim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.now}, args...)...)
		s.logf("FAILED: %v", s.err)
	}
}

func (s *memberSim) after(d time.Duration, f func()) {
	s.timers = append(s.timers, simTimer{s.now + d, f})
}

// between returns a random time in the range.
func (s *memberSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)/int64(simStep)+1))*simStep
}

func (s *memberSim) start(m *simMachine) {
	if m.gone {
		return
	}
	m.state, m.applied, m.frozen, m.inbox = "", 0, false, nil
	if snap := m.disk.Snapshot; snap != nil {
		m.state, m.applied = string(snap.Data), snap.Meta.Index
	}
	core, err := raft.New(raft.Config{
		ID: m.id, PersistentState: m.disk, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: s.random.IntN,
	})
	if err != nil {
		s.failf("start of %s: %v", m.id, err)
		return
	}
	m.core, m.addresses = core, map[string]string{}
	m.tickAt, m.joinAt = s.now+s.between(simStep, tickInterval), s.now+s.between(simStep, 300*time.Millisecond)
	s.logf("start %s at %s", m.id, m.address)
}

func (s *memberSim) stop(m *simMachine, gone bool) {
	if m.core != nil || gone != m.gone {
		s.logf("stop %s, gone %t", m.id, gone)
	}
	m.core, m.leadTerm, m.gone = nil, 0, m.gone || gone
}

// runs reports whether the process of a machine can do something now.
func (m *simMachine) runs() bool { return m.core != nil && !m.frozen }

func (s *memberSim) connected(a, b *simMachine) bool {
	return !slices.ContainsFunc(s.cuts, func(c simCut) bool {
		return c.until > s.now && slices.Contains(c.inside, a) != slices.Contains(c.inside, b)
	})
}

// leader returns the process that leads in the highest term, or nil.
func (s *memberSim) leader() *simMachine {
	var l *simMachine
	for _, m := range s.machines {
		if m.core != nil && m.leadTerm > 0 && (l == nil || m.leadTerm > l.leadTerm) {
			l = m
		}
	}
	return l
}

// handleReady does the work of Voter.processReady.
func (s *memberSim) handleReady(m *simMachine) {
	for rd, ok := m.core.Ready(); ok; rd, ok = m.core.Ready() {
		m.save(rd)
		s.send(m, rd.Messages)
		for _, e := range rd.CommittedEntries {
			s.apply(m, e)
		}
		m.core.Advance(rd)
	}
	if m.leadTerm > 0 {
		if st := m.core.Status(); st.Role != raft.Leader || st.Term != m.leadTerm {
			m.leadTerm = 0
		}
	}
	if base := m.disk.Snapshot; base != nil && m.applied >= base.Meta.Index+simSnapshotEntries {
		s.compact(m)
	}
}

func (m *simMachine) save(rd raft.Ready) {
	if rd.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = rd.Snapshot, nil
		m.state, m.applied = string(rd.Snapshot.Data), rd.Snapshot.Meta.Index
	}
	if rd.HardState != nil {
		m.disk.HardState = rd.HardState
	}
	for _, e := range rd.Entries {
		base := uint64(0)
		if m.disk.Snapshot != nil {
			base = m.disk.Snapshot.Meta.Index
		}
		n := e.Index - base - 1
		m.disk.Entries = append(m.disk.Entries[:n:n], e)
	}
}

func (s *memberSim) compact(m *simMachine) {
	meta, err := m.core.SnapshotMeta(m.applied)
	if err != nil {
		s.failf("snapshot of %s: %v", m.id, err)
		return
	}
	m.disk.Entries = slices.Clone(m.disk.Entries[meta.Index-m.disk.Snapshot.Meta.Index:])
	m.disk.Snapshot = &raft.Snapshot{Meta: meta, Data: []byte(m.state)}
	if err := m.core.Compact(meta.Index, m.disk.Snapshot.Data); err != nil {
		s.failf("compaction of %s: %v", m.id, err)
	}
}

func (s *memberSim) apply(m *simMachine, e *raftpb.Entry) {
	if e.Index != m.applied+1 {
		s.failf("%s applied entry %d after %d", m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	text := fmt.Sprint(e.Term, e.Type, string(e.Data))
	if other, ok := s.entries[e.Index]; ok && other != text {
		s.failf("%s committed %q as entry %d instead of %q", m.id, text, e.Index, other)
	}
	s.entries[e.Index] = text
	switch e.Type {
	case raftpb.EntryType_ENTRY_TYPE_COMMAND:
		m.state += string(e.Data) + ","
	case raftpb.EntryType_ENTRY_TYPE_EMPTY:
		if st := m.core.Status(); st.Role == raft.Leader && st.Term == e.Term && m.leadTerm == 0 {
			s.startLeading(m, e.Term)
		}
	}
	if c, ok := m.pending[e.Index]; ok && m.leadTerm > 0 && c.term == e.Term {
		s.acknowledged = append(s.acknowledged, c)
	}
}

func (s *memberSim) startLeading(m *simMachine, term uint64) {
	s.logf("%s leads term %d", m.id, term)
	m.leadTerm, m.missingSince, m.pending = term, map[string]time.Duration{}, map[uint64]simCommand{}
	if other, ok := s.leaders[term]; ok && other != m.id {
		s.failf("%s and %s lead term %d", other, m.id, term)
	}
	s.leaders[term] = m.id
	for _, c := range s.acknowledged {
		if c.term < term && !strings.Contains(","+m.state, ","+c.data+",") {
			s.failf("%s leads term %d without the acknowledged command %s of term %d", m.id, term, c.data, c.term)
		}
	}
}

func (s *memberSim) send(from *simMachine, messages []*raftpb.Message) {
	if len(messages) == 0 {
		return
	}
	addresses := map[string]string{}
	for _, ms := range from.core.Status().Members {
		addresses[ms.Member.Id] = ms.Member.Address
	}
	for _, m := range messages {
		address := addresses[m.To]
		if address == "" {
			address = from.addresses[m.To]
		}
		at := s.now + simStep*time.Duration(1+s.random.IntN(2))
		m = proto.CloneOf(m)
		m.Address = from.address
		s.flight[at] = append(s.flight[at], simMessage{from, address, m})
	}
}

func (s *memberSim) deliver() {
	messages := s.flight[s.now]
	delete(s.flight, s.now)
	for _, msg := range messages {
		for _, to := range s.machines {
			if to.address != msg.address || to.core == nil || !s.connected(msg.from, to) {
				continue
			}
			if to.frozen {
				if len(to.inbox) < sendQueueSize {
					to.inbox = append(to.inbox, msg.m)
				}
				continue
			}
			to.step(msg.m)
		}
	}
}

func (m *simMachine) step(msg *raftpb.Message) {
	m.addresses[msg.From] = msg.Address
	_ = m.core.Step(msg) // As in a Voter, a rejected message has no effect.
}

// manageVoters does the work of Voter.manageVoters.
func (s *memberSim) manageVoters(m *simMachine) {
	members := m.core.Status().Members
	for _, ms := range members {
		id := ms.Member.Id
		_, wasMissing := m.missingSince[id]
		switch missing := isMissing(ms); {
		case missing && !wasMissing:
			m.missingSince[id] = s.now
		case !missing && wasMissing:
			delete(m.missingSince, id)
		}
	}
	missingFor := func(id string) time.Duration {
		if since, ok := m.missingSince[id]; ok {
			return s.now - since
		}
		return 0
	}
	if ch := s.policy.chooseMemberChange(members, missingFor); ch != nil {
		s.propose(m, ch)
	}
}

func (s *memberSim) propose(m *simMachine, ch *raftpb.MemberChange) {
	if _, err := m.core.ProposeMemberChange(ch); err == nil {
		s.logf("%s proposes %s of %s to %s", m.id, ch.Kind, ch.Member.Id, describeMembers(m.core))
	}
}

func describeMembers(c *raft.Core) string {
	var list []string
	for _, ms := range c.Status().Members {
		text := ms.Member.Id
		if !ms.Member.Voter {
			text += " (learner)"
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}

// join does the work of Control.joinVoters and Voter.serveJoin.
func (s *memberSim) join(m *simMachine) {
	m.joinAt = s.now + simJoinInterval + s.between(0, 300*time.Millisecond)
	for _, l := range s.machines {
		if !l.runs() || l.leadTerm == 0 || !s.connected(m, l) {
			continue
		}
		known := slices.ContainsFunc(l.core.Status().Members, func(ms raft.MemberStatus) bool { return ms.Member.Id == m.id })
		if !known {
			s.propose(l, &raftpb.MemberChange{
				Kind:   raftpb.ChangeKind_CHANGE_KIND_ADD_LEARNER,
				Member: &raftpb.Member{Id: m.id, Name: m.address, Address: m.address},
			})
		}
	}
}

// advance runs the deployment for one step.
func (s *memberSim) advance() {
	s.now += simStep
	for i := 0; i < len(s.timers); i++ {
		if t := s.timers[i]; t.at <= s.now {
			s.timers = slices.Delete(s.timers, i, i+1)
			i = -1
			t.f()
		}
	}
	s.deliver()
	if s.now%(150*time.Millisecond) == 0 {
		s.proposeCommand()
	}
	for _, m := range s.machines {
		if !m.runs() {
			continue
		}
		if m.tickAt <= s.now {
			m.tickAt += tickInterval
			m.core.Tick()
			s.handleReady(m)
			if m.leadTerm > 0 {
				s.manageVoters(m)
			}
		}
		if m.joinAt <= s.now {
			s.join(m)
		}
		s.handleReady(m)
	}
}

func (s *memberSim) proposeCommand() {
	for _, m := range s.machines {
		if !m.runs() || m.leadTerm == 0 {
			continue
		}
		s.commands++
		data := fmt.Sprint(s.commands)
		if index, err := m.core.Propose([]byte(data)); err == nil {
			m.pending[index] = simCommand{m.leadTerm, data}
		}
	}
}

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

// randomScript returns the script of a seed.
func randomScript(seed uint64) simScript {
	r := rand.New(rand.NewPCG(seed, 1))
	script := simScript{seed: seed, tolerated: 1 + int(seed%2), settled: *simSettled}
	skipped := strings.Split(*simSkip, ",")
	kinds := slices.DeleteFunc([]string{
		"lost", "lost", "disk", "disk", "dark-disk", "replace", "replace", "replace", "restart", "freeze", "cut", "split",
		"power", "power-disk", "transfer", "again",
	}, func(kind string) bool { return slices.Contains(skipped, kind) })
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(r.Int64N(int64(high-low)/int64(simStep)+1))*simStep
	}
	const ms = time.Millisecond
	limits := map[string][2]time.Duration{
		"lost": {500 * ms, 3000 * ms}, "again": {500 * ms, 3000 * ms}, "disk": {100 * ms, 3000 * ms},
		"dark-disk": {500 * ms, 3000 * ms}, "replace": {0, 5000 * ms}, "restart": {100 * ms, 3000 * ms},
		"freeze": {500 * ms, 8000 * ms}, "cut": {500 * ms, 8000 * ms}, "split": {500 * ms, 8000 * ms},
		"power": {100 * ms, 3000 * ms}, "power-disk": {100 * ms, 3000 * ms}, "transfer": {simStep, simStep},
	}
	at := 15 * time.Second // the other processes join
	script.checks = append(script.checks, at)
	for range 3 {
		// Events of one kind follow each other in some phases, as when all machines are replaced.
		favorite := kinds[r.IntN(len(kinds))]
		pause := between(500*time.Millisecond, 6*time.Second)
		for range 4 + r.IntN(10) {
			kind := kinds[r.IntN(len(kinds))]
			if r.IntN(2) == 0 {
				kind = favorite
			}
			limit := limits[kind]
			d := between(limit[0], limit[1])
			script.events = append(script.events, simEvent{at: at, d: d, kind: kind, n: r.IntN(300)})
			at += between(0, pause)
		}
		script.checks = append(script.checks, at)
	}
	return script
}

// failureKind returns the text of a failure up to its details.
func failureKind(err error) string {
	if err == nil {
		return ""
	}
	_, text, _ := strings.Cut(err.Error(), ": ")
	return text[:min(len(text), 10)]
}

// shrink leaves out events as long as the script fails in the same way.
func (script simScript) shrink() simScript {
	kind := failureKind(newMemberSim(script).run())
	for i := 0; i < len(script.events); i++ {
		shorter := script
		shorter.events = slices.Delete(slices.Clone(script.events), i, i+1)
		if failureKind(newMemberSim(shorter).run()) == kind {
			script = shorter
			i = -1
		}
	}
	return script
}

// simCase is a short script whose last event moves through a span of time.
type simCase struct {
	name     string
	script   simScript
	from, to time.Duration
}

// simAt returns an event that applies to a slot.
func simAt(at time.Duration, kind string, slot int, d time.Duration) simEvent {
	return simEvent{at: at, d: d, kind: kind, n: 3*slot + 1}
}

// Guards against the faults that TestRandomMembership has found, each as a short script.
func TestMembershipCases(t *testing.T) {
	const start, ms = 15 * time.Second, time.Millisecond
	tests := []simCase{
		{"learner is lost", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "disk", 1, 600*ms), simAt(0, "again", 1, 700*ms),
		}}, start + 600*ms, start + 1600*ms},
		{"replacements overlap", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "replace", 1, 0), simAt(start+800*ms, "replace", 2, 0), simAt(start+1600*ms, "replace", 1, 0),
			simAt(0, "disk", 0, 2*time.Second),
		}}, start + 6*time.Second, start + 8*time.Second},
		{"replaced machine stops after a loss", simScript{tolerated: 1, settled: true, events: []simEvent{
			simAt(start, "replace", 1, 4800*ms), simAt(0, "disk", 2, 2*time.Second),
		}}, start + 4500*ms, start + 6500*ms},
		{"successor is lost after the stop", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "replace", 1, 2500*ms), simAt(0, "again", 1, 2*time.Second),
		}}, start + 2800*ms, start + 4*time.Second},
		{"dark voter leaves for a successor", simScript{tolerated: 1, events: []simEvent{
			simAt(start, "freeze", 1, 5*time.Second), simAt(start+500*ms, "replace", 0, 2*time.Second),
			simAt(0, "dark-disk", 2, time.Second),
		}}, start + 600*ms, start + 2*time.Second},
		{"dark voter leaves for a successor beside a lost one", simScript{tolerated: 2, events: []simEvent{
			simAt(start, "restart", 3, 3*time.Second), simAt(start+100*ms, "disk", 4, 3*time.Second),
			simAt(start+200*ms, "replace", 0, 2*time.Second), simAt(0, "dark-disk", 1, time.Second),
		}}, start + time.Second, start + 3*time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for at := test.from; at < test.to; at += 4 * simStep {
				script := test.script
				script.seed, script.checks = uint64(at), []time.Duration{start, at + time.Second}
				script.events = slices.Clone(script.events)
				script.events[len(script.events)-1].at = at
				s := newMemberSim(script)
				if err := s.run(); err != nil {
					t.Logf("last event at %v\n%s", at, strings.Join(s.trace, "\n"))
					assert.NilError(t, err)
				}
			}
		})
	}
}

// Guards against a sequence of losses, replacements and disturbances within the tolerance after which the group has no
// leader, keeps members that are gone, lacks a process, tolerates fewer losses or has lost a command.
func TestRandomMembership(t *testing.T) {
	seen := map[string]int{}
	for seed := *simSeed; seed < *simSeed+*simRuns; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			script := randomScript(seed)
			s := newMemberSim(script)
			err := s.run()
			for kind, n := range s.events {
				seen[kind] += n
			}
			if err == nil {
				return
			}
			if *simShrink {
				s = newMemberSim(script.shrink())
				err = s.run()
			}
			t.Logf("tolerated %d\n%s", script.tolerated, strings.Join(s.trace, "\n"))
			assert.NilError(t, err)
		})
	}
	t.Log(seen)
	if *simSkip == "" && *simRuns >= 20 {
		for _, kind := range []string{"lost", "disk", "dark-disk", "replace", "restart", "freeze", "cut", "split", "power", "again"} {
			assert.Assert(t, seen[kind] > 0, "no event %s took place: %v", kind, seen)
		}
	}
}
