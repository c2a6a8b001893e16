package raft

type progressState int

const (
	// probing sends one message and waits for the answer, until the position where the logs match is known.
	probing progressState = iota
	// replicating sends entries ahead of the answers.
	replicating
	// transferring sends a snapshot.
	transferring
)

// progress is what the leader knows about another member, or about itself.
type progress struct {
	matchIndex, nextIndex uint64
	state                 progressState
	hasUnansweredProbe    bool     // probing: a message is unanswered
	inflight              []uint64 // replicating: last index of each unanswered message
	lastLossCheckTick     uint64   // tick of the last search for lost messages
	lastHeardTick         uint64   // tick of the last message from the member
	answeredRound         uint64   // last heartbeat round it answered
	transfer              *snapshotTransfer
}

func (p *progress) startProbing(next uint64) {
	p.state, p.nextIndex, p.hasUnansweredProbe, p.inflight, p.transfer = probing, next, false, nil, nil
}

func (p *progress) isPaused() bool {
	switch p.state {
	case probing:
		return p.hasUnansweredProbe
	case replicating:
		return len(p.inflight) >= maxInflightAppends
	}
	return true
}

// recordAcknowledgement records that the member's log matches through index.
func (p *progress) recordAcknowledgement(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}
