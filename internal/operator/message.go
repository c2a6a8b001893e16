package operator

import (
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

// Headers of the API.
const (
	// HeaderOperationID carries the idempotency key of a change: 1 to 64 letters, digits, dots, hyphens or underscores.
	HeaderOperationID = "Hibiscusroute-Operation-Id"
	// HeaderBaseVersion carries the configuration version that a submission replaces, 0 for the first one.
	HeaderBaseVersion = "Hibiscusroute-Base-Version"
	// HeaderVersion carries the version of the configuration in an answer.
	HeaderVersion = "Hibiscusroute-Version"
)

// Accepted answers a submission.
type Accepted struct {
	// Version is the version that the submission created.
	Version uint64 `json:"version"`
	// InForceMs is the time in milliseconds from acceptance until the version was in force; it is set only when the
	// submission waited for that.
	InForceMs *int64 `json:"in-force-ms,omitempty"`
	// InForceError says why the wait ended before the version was in force; the version is accepted nevertheless.
	InForceError string `json:"in-force-error,omitempty"`
}

// Grant asks for a key of which only the hash is sent.
type Grant struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret part, in base64.
	Hash []byte `json:"hash"`
}

// Key describes a granted key; it holds neither secret nor hash.
type Key struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	GrantedAt time.Time  `json:"granted-at"`
	RevokedAt *time.Time `json:"revoked-at,omitempty"`
}

// Status describes one process, and the fleet as the leader sees it.
type Status struct {
	Process          string `json:"process"`
	AvailabilityZone string `json:"availability-zone"`
	// Role is "leader", "follower", "candidate", "learner" or "entry".
	Role string `json:"role"`
	// Leader is the name of the leader that the process follows, empty when it knows none.
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Version is the configuration version that the process applied.
	Version uint64 `json:"version"`
	// HasLease reports whether the process holds its configuration lease.
	HasLease bool `json:"lease"`
	// Halted lists violated invariants by plug-in.
	Halted map[string]string `json:"halted,omitempty"`
	// FleetError says why the fields below are missing: the leader didn't answer.
	FleetError string `json:"fleet-error,omitempty"`
	// Followers lists the processes that renew their lease at the leader.
	Followers []Follower `json:"followers,omitempty"`
	// Rollouts lists the versions that were accepted since the leader began to lead, oldest first.
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Follower is a process as the leader sees it.
type Follower struct {
	Process string `json:"process"`
	// AvailabilityZone is where the process runs.
	AvailabilityZone string `json:"availability-zone,omitempty"`
	// Version and Applied are what the process had applied at its last renewal.
	Version uint64 `json:"version"`
	Applied uint64 `json:"applied"`
	// HasLease reports whether the lease is still valid at the leader.
	HasLease bool `json:"lease"`
	// RenewedMs is the age in milliseconds of the last renewal, -1 when this leader has not seen one.
	RenewedMs int64 `json:"renewed-ms"`
}

// Member is a member of the control group.
type Member struct {
	Name string `json:"name"`
	// Identity was drawn when the member's data directory was created.
	Identity         string `json:"identity"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	// Role is "voter" or "learner".
	Role     string `json:"role"`
	IsLeader bool   `json:"leader"`
	// Match is the last log index known to be synced on the member.
	Match uint64 `json:"match"`
	// CaughtUp reports whether the member has all committed entries.
	CaughtUp bool `json:"caught-up"`
}

// Action is what a member change does.
type Action string

// Actions of member changes.
const (
	// AddMember adds a learner.
	AddMember Action = "add"
	// PromoteMember makes a learner that is caught up a voter.
	PromoteMember Action = "promote"
	// RemoveMember removes a member.
	RemoveMember Action = "remove"
	// ReplaceMember adds a learner, promotes it once it is caught up, and removes the identity that it replaces.
	ReplaceMember Action = "replace"
)

// MemberChange is a change of the control group.
type MemberChange struct {
	Action Action `json:"action"`
	// Identity is the member that is added, promoted or removed.
	Identity string `json:"identity"`
	// Name, Address (host and port of the peer listener) and AvailabilityZone describe a member that is added.
	Name             string `json:"name,omitempty"`
	Address          string `json:"address,omitempty"`
	AvailabilityZone string `json:"availability-zone,omitempty"`
	// Replaces is the identity that a replacement removes.
	Replaces string `json:"replaces,omitempty"`
	// OperationID comes from the header.
	OperationID string `json:"-"`
}

// Kinds of errors.
const (
	KindMalformed      = "malformed"
	KindUnauthorized   = "unauthorized"
	KindForbidden      = "forbidden"
	KindNotFound       = "not-found"
	KindConflict       = "conflict"
	KindTooLarge       = "too-large"
	KindInvalid        = "invalid"
	KindInternal       = "internal"
	KindUnsupported    = "unsupported"
	KindUnavailable    = "unavailable"
	KindOutcomeUnknown = "outcome-unknown"
)

// Error is an error answer of the API.
type Error struct {
	// Status is the HTTP status, 0 when no process answered.
	Status int `json:"-"`
	// Kind is one of the kinds above.
	Kind string `json:"kind"`
	// Message says what happened and what to do next.
	Message string `json:"message"`
	// Faults lists what is wrong with a submitted document.
	Faults []fleet.Fault `json:"faults,omitempty"`
	// NewestVersion is the newest accepted configuration version; it is set on conflicts of submissions.
	NewestVersion *uint64 `json:"newest-version,omitempty"`
}

// Error returns the message and the faults, one per line.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return e.Message
	}
	return e.Message + "\n" + fleet.JoinFaults(e.Faults)
}

// parseFaults restores faults from the text of a command error.
func parseFaults(text string) []fleet.Fault {
	var faults []fleet.Fault
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		f := fleet.Fault{Message: line}
		if path, message, ok := strings.Cut(line, ": "); ok && !strings.Contains(path, " ") {
			f = fleet.Fault{Path: path, Message: message}
		}
		faults = append(faults, f)
	}
	return faults
}
