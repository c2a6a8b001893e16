package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
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
		s.send(m, rd.Messages)
		if rd.Save != nil {
			m.save(rd.Save)
			m.core.Saved(rd.Save)
			s.send(m, rd.Save.Messages)
		}
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

func (m *simMachine) save(rd *raft.Save) {
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
	switch ch := s.policy.chooseMemberChange(members, missingFor); {
	case ch == nil:
	case ch.Member.Id == m.id:
		s.transfer(m)
	default:
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
		switch {
		case !ms.Member.Voter:
			text += " (learner)"
		case ms.Member.Joining:
			text += " (joining)"
		case ms.Member.Leaving:
			text += " (leaving)"
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
