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
	match, next uint64
	state       progressState
	waiting     bool     // probing: a message is unanswered
	inflight    []uint64 // replicating: last index of each unanswered message
	checked     uint64   // tick of the last search for lost messages
	heard       uint64   // tick of the last message from the member
	round       uint64   // last heartbeat round it answered
	transfer    *snapshotTransfer
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.waiting, p.inflight, p.transfer = probing, next, false, nil, nil
}

func (p *progress) paused() bool {
	switch p.state {
	case probing:
		return p.waiting
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// acknowledge records that the member's log matches through index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}
