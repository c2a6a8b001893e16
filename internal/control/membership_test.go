package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/raft"
	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

func voterStatus(name string, caughtUp bool) raft.MemberStatus {
	return raft.MemberStatus{Member: &raftpb.Member{Id: "id-" + name, Name: name, Voter: true}, CaughtUp: caughtUp}
}

// Guards against a quorum that is raised while a voter is missing, against a lost voter that leaves before its replacement is a
// voter or counts longer than that one needs, against a group that grows by voters that are gone, and against the removal of a voter that is only
// restarting, and against learners that are gone and stay.
func TestChooseMemberChange(t *testing.T) {
	learner := func(id, name string, caughtUp bool) raft.MemberStatus {
		return raft.MemberStatus{Member: &raftpb.Member{Id: id, Name: name}, CaughtUp: caughtUp}
	}
	ready, behind := learner("id-n", "n", true), learner("id-n", "n", false)
	a, b, c, d, e := voterStatus("a", true), voterStatus("b", true), voterStatus("c", true), voterStatus("d", true), voterStatus("e", true)
	lostA, lostB := voterStatus("a", false), voterStatus("b", false)
	leavingA, backA := voterStatus("a", false), voterStatus("a", true)
	leavingA.Member.Leaving, backA.Member.Leaving = true, true
	joining := func(caughtUp bool) raft.MemberStatus {
		m := voterStatus("n", caughtUp)
		m.Member.Id, m.Member.Joining = "id-b", true // missing for missingB
		return m
	}
	const removeLostAfter = time.Second
	tests := []struct {
		name            string
		members         []raft.MemberStatus
		missingA        time.Duration
		missingB        time.Duration
		removeLostAfter time.Duration
		targetVoters    int
		want            string
	}{
		{"complete group", []raft.MemberStatus{a, b, c}, 0, 0, removeLostAfter, 3, ""},
		{"another process", []raft.MemberStatus{a, b, c, ready}, 0, 0, removeLostAfter, 3, "promote id-n"},
		{"process that is not caught up", []raft.MemberStatus{a, b, c, behind}, 0, 0, removeLostAfter, 3, ""},
		{"restart", []raft.MemberStatus{lostA, b, c}, time.Minute, 0, removeLostAfter, 3, ""},
		{"short absence beside a learner", []raft.MemberStatus{lostA, b, c, ready}, 900 * time.Millisecond, 0, removeLostAfter, 3,
			""},
		{"replacement", []raft.MemberStatus{lostA, b, c, ready}, time.Second, 0, removeLostAfter, 3, "replace id-a by id-n"},
		{"replacement that is not caught up", []raft.MemberStatus{lostA, b, c, behind}, time.Minute, 0, removeLostAfter, 3, ""},
		{"after the removal", []raft.MemberStatus{b, c, ready}, 0, 0, removeLostAfter, 3, "promote id-n"},
		{"replacement that came first", []raft.MemberStatus{lostA, b, c, d}, time.Second, 0, removeLostAfter, 3, "remove id-a"},
		{"short absence in an even group", []raft.MemberStatus{lostA, b, c, d}, 900 * time.Millisecond, 0, removeLostAfter, 3,
			""},
		{"two replacements, first", []raft.MemberStatus{lostA, lostB, c, d, e, ready}, 2 * time.Second, 3 * time.Second,
			removeLostAfter, 5, "replace id-b by id-n"},
		{"replaced voter", []raft.MemberStatus{leavingA, b, c, joining(true)}, 2 * time.Second, 0, removeLostAfter, 3, "remove id-a"},
		{"replaced voter that is back", []raft.MemberStatus{backA, b, c, joining(true)}, 0, 0, removeLostAfter, 3, "remove id-a"},
		{"replaced voter beside another learner", []raft.MemberStatus{leavingA, b, c, joining(true), ready}, 2 * time.Second, 0,
			removeLostAfter, 3, "remove id-a"},
		{"replaced voter and its lost successor", []raft.MemberStatus{leavingA, b, c, joining(false)}, 2 * time.Second,
			2 * time.Second, removeLostAfter, 3, "remove id-a"},
		{"replaced voter that is back, and its lost successor", []raft.MemberStatus{backA, b, c, joining(false)}, 0, 2 * time.Second,
			removeLostAfter, 3, "remove id-b"},
		{"replaced voter that is back, and its restarting successor", []raft.MemberStatus{backA, b, c, joining(false)}, 0,
			900 * time.Millisecond, removeLostAfter, 3, "remove id-a"},
		{"two replacements, short absences", []raft.MemberStatus{lostA, lostB, c, d, e, ready}, 900 * time.Millisecond,
			800 * time.Millisecond, removeLostAfter, 5, ""},
		{"two replacements, promotion", []raft.MemberStatus{lostA, c, d, e, ready}, 2 * time.Second, 0, removeLostAfter, 5,
			"promote id-n"},
		{"no replacement", []raft.MemberStatus{lostA, b, c, d, e}, time.Minute, 0, removeLostAfter, 5, ""},
		{"two lost, no replacement", []raft.MemberStatus{lostA, lostB, c, d, e}, time.Minute, time.Minute, removeLostAfter, 5, ""},
		{"surplus voter of an even group of unknown target", []raft.MemberStatus{lostA, b, c, d}, time.Second, 0,
			removeLostAfter, 0, "remove id-a"},
		{"lost voters of an odd group of unknown target", []raft.MemberStatus{lostA, lostB, c, d, e}, time.Minute, time.Minute,
			removeLostAfter, 0, ""},
		{"lost while a replacement is missing", []raft.MemberStatus{lostA, b, c, d}, time.Minute, 0, removeLostAfter, 5, ""},
		{"next replacement before the removal", []raft.MemberStatus{lostA, b, c, d, ready}, 900 * time.Millisecond, 0,
			removeLostAfter, 3, "promote id-n"},
		{"next replacement instead of the removal", []raft.MemberStatus{lostA, b, c, d, ready}, time.Second, 0, removeLostAfter,
			3, "promote id-n"},
		{"surplus voter", []raft.MemberStatus{lostA, b, c, d, e}, time.Second, 0, removeLostAfter, 3, "remove id-a"},
		{"two surplus voters", []raft.MemberStatus{lostA, lostB, c, d, e}, time.Second, 2 * time.Second, removeLostAfter, 3,
			"remove id-b"},
		{"silent learner", []raft.MemberStatus{a, b, c, learner("id-a", "n", false)}, removeLearnerAfter, 0, removeLostAfter, 3,
			"remove id-a"},
		{"learner that installs a snapshot", []raft.MemberStatus{a, b, c, learner("id-a", "n", false)},
			removeLearnerAfter - time.Millisecond, 0, removeLostAfter, 3, ""},
		{"lost disk", []raft.MemberStatus{lostA, b, c, learner("id-2", "a", true)}, 0, 0, removeLostAfter, 3, "remove id-a"},
		{"two lost disks, first", []raft.MemberStatus{lostA, lostB, c, d, e, learner("id-2", "a", true), learner("id-3", "b", true)},
			0, 0, removeLostAfter, 5, "remove id-a"},
		{"two lost disks, promotion before the second", []raft.MemberStatus{lostB, c, d, e, learner("id-2", "a", true),
			learner("id-3", "b", true)}, 0, 0, removeLostAfter, 5, "promote id-2"},
		{"two lost disks, second", []raft.MemberStatus{lostB, c, d, e, voterStatus("n", true), learner("id-3", "b", true)}, 0, 0,
			removeLostAfter, 5, "remove id-b"},
		{"lost disk, removal by hand only", []raft.MemberStatus{lostA, b, c, learner("id-2", "a", true)}, 0, 0, 0, 3,
			"remove id-a"},
		{"removal by hand only", []raft.MemberStatus{lostA, b, c, ready}, time.Minute, 0, 0, 3, "promote id-n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			missing := map[string]time.Duration{"id-a": test.missingA, "id-b": test.missingB}
			got := ""
			missingFor := func(id string) time.Duration { return missing[id] }
			policy := memberPolicy{removeLostAfter: test.removeLostAfter, targetVoters: test.targetVoters}
			if ch := policy.chooseMemberChange(test.members, missingFor); ch != nil {
				got = map[raftpb.ChangeKind]string{
					raftpb.ChangeKind_CHANGE_KIND_PROMOTE: "promote ", raftpb.ChangeKind_CHANGE_KIND_REMOVE: "remove ",
					raftpb.ChangeKind_CHANGE_KIND_REPLACE: "replace " + ch.Replaced + " by ",
				}[ch.Kind] + ch.Member.Id
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// Guards against a voter that stops and counts for the quorum although its replacement does, and against one whose removal
// leaves too few voters, or a quorum that isn't there.
func TestStoppingVoterLeavesSurplus(t *testing.T) {
	a, b, c, d := voterStatus("a", true), voterStatus("b", true), voterStatus("c", true), voterStatus("d", true)
	lostC, lostD := voterStatus("c", false), voterStatus("d", false)
	for _, tt := range []struct {
		name         string
		members      []raft.MemberStatus
		targetVoters int
		want         bool
	}{
		{"beside its replacement", []raft.MemberStatus{a, b, c, d}, 3, true},
		{"without a replacement", []raft.MemberStatus{a, b, c}, 3, false},
		{"replacement of a group of five", []raft.MemberStatus{a, b, c, d}, 5, false},
		{"beside a lost voter", []raft.MemberStatus{a, b, c, lostD}, 3, true},
		{"no quorum of the others", []raft.MemberStatus{a, b, lostC, lostD}, 3, false},
		{"no member", []raft.MemberStatus{b, c, d, voterStatus("e", true)}, 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, memberPolicy{targetVoters: tt.targetVoters}.mayLeave(tt.members, "id-a"), tt.want)
		})
	}
}
