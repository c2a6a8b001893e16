package raft

type progressState int

const (
	// probing sends one append at a time and waits for its response, until the index up to which the logs match is
	// known.
	probing progressState = iota
	// replicating pipelines appends: it sends entries before earlier ones are acknowledged.
	replicating
	// transferring sends a snapshot.
	transferring
)

// progress is what the leader knows about the log of a member, including its own.
type progress struct {
	matchIndex, nextIndex uint64
	state                 progressState
	hasUnansweredProbe    bool              // in state probing
	inflight              []uint64          // in state replicating: last index of each unanswered append
	lastLossCheckTick     uint64            // when the leader last sent an append to detect lost ones
	lastHeardTick         uint64            // when the last message of the member arrived
	answeredRound         uint64            // newest heartbeat round that the member answered
	transfer              *snapshotTransfer // in state transferring
}

func (p *progress) startProbing(next uint64) {
	p.state, p.nextIndex, p.hasUnansweredProbe, p.inflight, p.transfer = probing, next, false, nil, nil
}

// isPaused reports whether flow control forbids further appends to the member.
func (p *progress) isPaused() bool {
	switch p.state {
	case probing:
		return p.hasUnansweredProbe
	case replicating:
		return len(p.inflight) >= maxInflightAppends
	}
	return true
}

// recordAcknowledgement records that the member has synced the leader's log through index.
func (p *progress) recordAcknowledgement(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}
