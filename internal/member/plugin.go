package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/configuration"
	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/member/memberpb"
)

const (
	// Name is the plug-in name in commands and snapshots.
	Name = "member"

	// LeaseDuration is how long a process may act on its view after it sent a renewal that was answered. It outlasts a
	// fail-over of the control group and bounds how long a revoked key works on an isolated process.
	LeaseDuration = 3 * time.Second
	// ExpireAfter is the time since the last renewal after which the leader expires a lease: the duration of the lease
	// plus 1% clock drift plus margin.
	ExpireAfter = 3100 * time.Millisecond
	// removalMargin is added to the longest run time before an expired member is removed, so that others can take over
	// what it held. It covers the clock drift over the longest run and the time to abort a request at its deadline.
	removalMargin = 2 * time.Second
	// proposalRetryInterval is the time after which the leader proposes a command again that was not applied; the log
	// rejects commands while it is full and during a transfer of leadership.
	proposalRetryInterval = time.Second
)

// Renewal is the event that a process asked to renew its lease.
type Renewal struct{ ID string }

// EventName identifies the event in logs.
func (Renewal) EventName() string { return "renewal" }

// State holds all processes; it is owned by the kernel's goroutine.
type State struct {
	cfg      *configuration.State
	members  map[string]*memberpb.Member
	onRemove []func(id string)

	// State of the leader that is not replicated.
	renewed   map[string]time.Duration
	expiredAt map[string]time.Duration
	expiring  map[string]time.Duration // when the command was last proposed
	removing  map[string]time.Duration // when the command was last proposed
}

func init() {
	kernel.Register(Name, []string{configuration.Name}, build)
}

func build(k *kernel.Kernel) kernel.Plugin {
	cfg, _ := kernel.Lookup[*configuration.State](k, configuration.Name)
	s := &State{cfg: cfg, members: map[string]*memberpb.Member{}}
	s.resetLeaderState(0)
	cfg.OnChange(s.raiseLongestRuns)
	k.Provide(Name, s)
	return kernel.Plugin{
		InView:       true,
		Apply:        s.apply,
		Query:        func([]byte) ([]byte, error) { return s.encode() },
		Observe:      s.observe,
		Decide:       s.decide,
		BecomeLeader: s.resetLeaderState,
		Snapshot:     s.encode,
		Restore:      s.restore,
	}
}

// OnRemove adds a function that is called when a member is removed, because its process and all requests that it
// started have ended for certain.
func (s *State) OnRemove(f func(id string)) { s.onRemove = append(s.onRemove, f) }

// Live reports whether the process is a member whose lease is not recorded as expired.
func (s *State) Live(id string) bool {
	m, ok := s.members[id]
	return ok && !m.Expired
}

// Renewable reports whether the leader may answer a renewal of the process: the process is live, and the leader has not
// proposed to expire its lease.
func (s *State) Renewable(id string) bool {
	_, expiring := s.expiring[id]
	return s.Live(id) && !expiring
}

// LiveIDs returns the identifiers of all live processes in alphabetical order.
func (s *State) LiveIDs() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if !s.members[id].Expired {
			ids = append(ids, id)
		}
	}
	return ids
}

// Members returns all processes in the order of their identifiers; they must not be changed.
func (s *State) Members() []*memberpb.Member {
	list := make([]*memberpb.Member, 0, len(s.members))
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		list = append(list, s.members[id])
	}
	return list
}

// ID returns the identifier of one incarnation of a process.
func ID(name, incarnation string) string { return name + "/" + incarnation }

// JoinCommand returns the command that adds a process; its identifier is the operation identifier too.
func JoinCommand(m *memberpb.Member) (kernel.Command, error) {
	return kernel.NewCommand(Name, m.Id, &memberpb.Command{Change: &memberpb.Command_Join{Join: m}})
}

// RemoveCommand returns the command with which a process leaves after all its work has ended.
func RemoveCommand(id string) (kernel.Command, error) {
	return kernel.NewCommand(Name, "leave/"+id, &memberpb.Command{Change: &memberpb.Command_Remove{Remove: id}})
}

// DecodeState returns all processes from the answer to a query.
func DecodeState(body []byte) ([]*memberpb.Member, error) {
	m := &memberpb.State{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errorx.Decorate(err, "decode members")
	}
	return m.Members, nil
}

func (s *State) apply(c kernel.Command) ([]byte, error) {
	m := &memberpb.Command{}
	if err := proto.Unmarshal(c.Body, m); err != nil {
		return nil, kernel.ErrInvalid.New("decode member command: %v", err)
	}
	switch change := m.Change.(type) {
	case *memberpb.Command_Join:
		return nil, s.join(change.Join)
	case *memberpb.Command_Expire:
		return nil, s.expire(change.Expire)
	case *memberpb.Command_Remove:
		return nil, s.remove(change.Remove)
	}
	return nil, kernel.ErrInvalid.New("empty member command")
}

func (s *State) join(m *memberpb.Member) error {
	if m.Name == "" || m.PeerAddress == "" || !strings.HasPrefix(m.Id, m.Name+"/") {
		return kernel.ErrInvalid.New("member needs a name, an identifier and a peer address")
	}
	if _, ok := s.members[m.Id]; ok {
		return kernel.ErrConflict.New("member %s exists", m.Id)
	}
	m.Expired, m.LongestRun = false, int64(s.maxRunTime())
	s.members[m.Id] = m
	return nil
}

func (s *State) expire(id string) error {
	m, ok := s.members[id]
	if !ok {
		return kernel.ErrNotFound.New("no member %q", id)
	}
	// Views share the messages, so a change makes a copy.
	m = proto.CloneOf(m)
	m.Expired = true
	s.members[id] = m
	return nil
}

func (s *State) remove(id string) error {
	if _, ok := s.members[id]; !ok {
		return kernel.ErrNotFound.New("no member %q", id)
	}
	delete(s.members, id)
	delete(s.renewed, id)
	delete(s.expiredAt, id)
	delete(s.expiring, id)
	delete(s.removing, id)
	for _, f := range s.onRemove {
		f(id)
	}
	return nil
}

func (s *State) maxRunTime() time.Duration {
	var longest time.Duration
	for _, q := range s.cfg.Current().Queues {
		longest = max(longest, q.MaxRun.Std())
	}
	return longest
}

// raiseLongestRuns raises the longest run time of each process to that of the current configuration. It never lowers
// it, because a request may still run under an earlier version.
func (s *State) raiseLongestRuns() {
	longest := int64(s.maxRunTime())
	for id, m := range s.members {
		if m.LongestRun < longest {
			m = proto.CloneOf(m)
			m.LongestRun = longest
			s.members[id] = m
		}
	}
}

func (s *State) resetLeaderState(time.Duration) {
	s.renewed = map[string]time.Duration{}
	s.expiredAt = map[string]time.Duration{}
	s.expiring = map[string]time.Duration{}
	s.removing = map[string]time.Duration{}
}

func (s *State) observe(now time.Duration, ev kernel.Event) {
	if r, ok := ev.(Renewal); ok && s.Renewable(r.ID) {
		s.renewed[r.ID] = now
	}
}

// decide expires leases that were not renewed and removes processes whose requests have ended for certain. A new leader
// starts both waits again, because the previous leader may have answered a renewal just before it lost its leadership.
func (s *State) decide(now time.Duration) kernel.Decision {
	var d kernel.Decision
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		switch {
		case m.Expired:
			since, ok := s.expiredAt[id]
			if !ok {
				s.expiredAt[id] = now
				continue
			}
			if now-since > time.Duration(m.LongestRun)+removalMargin && shouldPropose(s.removing, id, now) {
				d.Commands = append(d.Commands, leaderCommand(&memberpb.Command{Change: &memberpb.Command_Remove{Remove: id}}))
			}
		case s.leaseExpired(id, now) && shouldPropose(s.expiring, id, now):
			d.Commands = append(d.Commands, leaderCommand(&memberpb.Command{Change: &memberpb.Command_Expire{Expire: id}}))
		}
	}
	return d
}

// leaseExpired reports whether the lease of a process has expired for certain. A process that this leader has not seen
// before counts as renewed now.
func (s *State) leaseExpired(id string, now time.Duration) bool {
	renewed, ok := s.renewed[id]
	if !ok {
		s.renewed[id] = now
		return false
	}
	return now-renewed > ExpireAfter
}

// shouldPropose reports whether a command for the process must be proposed now, and records that it is.
func shouldPropose(proposed map[string]time.Duration, id string, now time.Duration) bool {
	if at, ok := proposed[id]; ok && now-at < proposalRetryInterval {
		return false
	}
	proposed[id] = now
	return true
}

// leaderCommand encodes a command that the leader itself decided on; encoding these messages can't fail.
func leaderCommand(m *memberpb.Command) kernel.Command {
	body, _ := proto.Marshal(m)
	return kernel.Command{Plugin: Name, Body: body}
}

func (s *State) encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&memberpb.State{Members: s.Members()})
}

func (s *State) restore(data []byte) error {
	m := &memberpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode members")
	}
	s.members = make(map[string]*memberpb.Member, len(m.Members))
	for _, member := range m.Members {
		s.members[member.Id] = member
	}
	return nil
}
