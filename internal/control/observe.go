package control

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
)

const (
	// leaderlessAfter is how long a voter knows no leader before it logs that; an election takes less.
	leaderlessAfter = 2 * time.Second
	// leaderlessInterval is the time between two such messages.
	leaderlessInterval = 5 * time.Second
	// silentAfter is the time since the last message of a member after which the member counts as silent. A voter without
	// a leader asks the others for their votes more often.
	silentAfter = 2 * time.Second
)

// slowRound is the duration of a round of the control loop from which on it is logged. A leader sends no heartbeats
// meanwhile, and loses its leadership after an election timeout.
const slowRound = electionTicks * tickInterval / 2

// slowSave is the duration of a save of the log from which on it is logged.
const slowSave = slowRound

// loopRound holds when a round of the control loop began and its phases ended, 0 for a phase that it lacks.
type loopRound struct {
	beganAt, handledAt, decidedAt, readyAt time.Duration
	events                                 int
}

// logSlowRound logs a round that held up the heartbeats.
func (v *Voter) logSlowRound(r loopRound) {
	took := v.now() - r.beganAt
	if took < slowRound {
		return
	}
	v.cfg.Log.Info("control loop was busy", "for", took.String(), "leading", v.leading, "events", r.events,
		"handling", (r.handledAt - r.beganAt).String(), "deciding", max(r.decidedAt-r.handledAt, 0).String(),
		"log", max(r.readyAt-r.decidedAt, 0).String())
}

// observeSave records how long a save of the log or of a snapshot took.
func (v *Voter) observeSave(took time.Duration, kind string, entries int) {
	v.cfg.ObserveHistogram(fmt.Sprintf("hibiscusroute_save_seconds{kind=%q}", kind), took.Seconds())
	if took >= slowSave {
		v.cfg.Log.Info("save to the data directory was slow", "kind", kind, "for", took.String(), "entries", entries,
			"leading", v.leading)
	}
}

// watchProcessor logs and counts when the process got no processor time, or was paused. A slow save without such a message
// is due to the disk.
func (v *Voter) watchProcessor(ctx context.Context) {
	for {
		begin := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
		late := time.Since(begin) - tickInterval
		v.cfg.ObserveHistogram("hibiscusroute_late_wakeup_seconds", max(late, 0).Seconds())
		if late >= slowRound {
			v.cfg.Log.Info("process got no processor time", "for", late.String(), "leading", v.Leading())
		}
	}
}

// GroupStatus is what a voter knows about the control group.
type GroupStatus struct {
	// Voters is the number of voters, Missing the number of those that the leader can't reach or that lag behind it; 0
	// unless this voter leads.
	Voters, Missing int
	// Surplus is set while this process is a voter and the group has more voters than it needs.
	Surplus bool
	// LeaderKnown is set while this voter leads or follows a leader.
	LeaderKnown bool
}

// observeGroup updates the status of the group and logs if no leader is known for longer than an election takes.
func (v *Voter) observeGroup() {
	st := v.core.Status()
	status := GroupStatus{LeaderKnown: st.Leader != ""}
	member := false
	var answering []string
	for _, m := range st.Members {
		if !m.Member.Voter {
			continue
		}
		status.Voters++
		member = member || m.Member.Id == st.ID
		if v.leading && !m.CaughtUp {
			status.Missing++
		}
		if m.Member.Id != st.ID && v.heardLately(m.Member.Id, v.now()) {
			answering = append(answering, m.Member.Address)
		}
	}
	status.Surplus = member && newMemberPolicy(v.cfg).hasSurplus(status.Voters)
	v.group.Store(&status)
	v.answering.Store(&answering)
	if status.LeaderKnown {
		v.leaderSeenAt, v.leaderlessLoggedAt = v.now(), 0
		return
	}
	leaderless := v.now() - v.leaderSeenAt
	if leaderless < leaderlessAfter || v.leaderlessLoggedAt != 0 && v.now()-v.leaderlessLoggedAt < leaderlessInterval {
		return
	}
	v.leaderlessLoggedAt = v.now()
	answering, silent, learners := v.splitMembers(st)
	v.cfg.Log.Info("no leader of the control group is known", "for", leaderless.String(), "role", st.Role.String(),
		"term", st.Term, "lastIndex", st.LastIndex, "voters", status.Voters, "quorum", raft.Quorum(status.Voters),
		"answering", answering, "silent", silent, "learners", learners)
}

// splitMembers returns the addresses of the other voters that sent a message lately, of those that didn't, and of the
// learners.
func (v *Voter) splitMembers(st raft.Status) (answering, silent, learners []string) {
	now := v.now()
	for _, m := range st.Members {
		switch {
		case m.Member.Id == st.ID:
		case !m.Member.Voter:
			learners = append(learners, m.Member.Address)
		case v.heardLately(m.Member.Id, now):
			answering = append(answering, m.Member.Address)
		default:
			silent = append(silent, m.Member.Address)
		}
	}
	return answering, silent, learners
}

// heardLately reports whether a member sent a message within silentAfter.
func (v *Voter) heardLately(id string, now time.Duration) bool {
	heardAt, ok := v.heardAt[id]
	return ok && now-heardAt < silentAfter
}

// logMembership logs the members after a committed change.
func (v *Voter) logMembership() {
	var voters, learners []string
	for _, m := range v.core.Status().Members {
		if m.Member.Voter {
			voters = append(voters, m.Member.Address)
		} else {
			learners = append(learners, m.Member.Address)
		}
	}
	v.cfg.Log.Info("membership of the control group changed", "voters", voters, "learners", learners)
}

// AnsweringVoters returns the peer addresses of the other voters that had sent a message lately at the last tick.
func (v *Voter) AnsweringVoters() []string {
	if list := v.answering.Load(); list != nil {
		return *list
	}
	return nil
}

// Group returns what this voter knew about the control group at its last tick.
func (v *Voter) Group() GroupStatus {
	if s := v.group.Load(); s != nil {
		return *s
	}
	return GroupStatus{}
}

// Observe passes events, such as reports of the platform, to the kernel if this voter leads.
func (v *Voter) Observe(ctx context.Context, events ...kernel.Event) error {
	return v.post(ctx, func() {
		if !v.leading {
			return
		}
		for _, ev := range events {
			v.kernel.Observe(v.now(), ev)
		}
		v.decisionDue = true
	})
}
