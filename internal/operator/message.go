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
	// HeaderVersion carries the version of the configuration in a response.
	HeaderVersion = "Hibiscusroute-Version"
)

// Accepted is the response to an accepted submission.
type Accepted struct {
	// Version is the version that the submission created.
	Version uint64 `json:"version"`
	// InForceMs is the time in milliseconds from acceptance until the version was in force; it is set only when the
	// submission waited for that.
	InForceMs *int64 `json:"in-force-ms,omitempty"`
	// InForceError is the reason why the wait ended before the version was in force. The version is accepted anyway.
	InForceError string `json:"in-force-error,omitempty"`
}

// Grant is a request to grant a key to a team. It carries only the hash of the secret.
type Grant struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret part, in base64.
	Hash []byte `json:"hash"`
}

// Key describes a granted key without its secret and hash.
type Key struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	GrantedAt time.Time  `json:"granted-at"`
	RevokedAt *time.Time `json:"revoked-at,omitempty"`
}

// Status is the status of a process, and that of the fleet as known to the leader.
type Status struct {
	Process          string `json:"process"`
	AvailabilityZone string `json:"availability-zone"`
	// Role is "leader", "follower", "candidate", "learner" or "entry".
	Role string `json:"role"`
	// Leader is the name of the leader that the process follows, or empty if it knows none.
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Version is the configuration version that the process has applied.
	Version uint64 `json:"version"`
	// HasLease reports whether the process holds its configuration lease.
	HasLease bool `json:"lease"`
	// Halted maps the plug-ins that halted to the invariant that was violated.
	Halted map[string]string `json:"halted,omitempty"`
	// FleetError is the reason why the fields below are missing: the leader didn't respond.
	FleetError string `json:"fleet-error,omitempty"`
	// Followers lists the processes that renew a lease at the leader.
	Followers []Follower `json:"followers,omitempty"`
	// Rollouts lists the versions accepted since the leader was elected, oldest first.
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Follower is the state of a process as known to the leader.
type Follower struct {
	Process string `json:"process"`
	// AvailabilityZone is the zone in which the process runs.
	AvailabilityZone string `json:"availability-zone,omitempty"`
	// Version and Applied are the configuration version and the log index that the process had applied at its last
	// renewal.
	Version uint64 `json:"version"`
	Applied uint64 `json:"applied"`
	// HasLease reports whether the lease is still valid at the leader.
	HasLease bool `json:"lease"`
	// RenewedMs is the age of the last renewal in milliseconds, or -1 if this leader hasn't received one.
	RenewedMs int64 `json:"renewed-ms"`
}

// Member is a member of the control group.
type Member struct {
	Name string `json:"name"`
	// Identity is generated when the member's data directory is created.
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

// Action is the kind of a change.
type Action string

// Actions of member changes.
const (
	// AddMember adds a learner.
	AddMember Action = "add"
	// PromoteMember makes a caught-up learner a voter.
	PromoteMember Action = "promote"
	// RemoveMember removes a member.
	RemoveMember Action = "remove"
	// ReplaceMember adds a learner, promotes it once it is caught up, and removes the member that it replaces.
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
	// Replaces is the identity of the member that ReplaceMember removes.
	Replaces string `json:"replaces,omitempty"`
	// OperationID is sent in the header HeaderOperationID.
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

// Error is an error response of the API.
type Error struct {
	// Status is the HTTP status, or 0 if no process responded.
	Status int `json:"-"`
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Message describes the error and how to proceed.
	Message string `json:"message"`
	// Faults lists the faults of a submitted document or change.
	Faults []fleet.Fault `json:"faults,omitempty"`
	// NewestVersion is the newest accepted configuration version. It is set only for conflicting submissions.
	NewestVersion *uint64 `json:"newest-version,omitempty"`
}

// Error returns the message and the faults, one per line.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return e.Message
	}
	return e.Message + "\n" + fleet.JoinFaults(e.Faults)
}

// parseFaults parses the faults in the message of a command error, one per line.
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
