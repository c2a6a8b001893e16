package raft

import (
	"math"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// entryLog holds the entries after base in memory.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []*raftpb.Entry
	lastSynced          uint64 // last entry that the driver synced
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of the entry at index i; ok is false outside of the log.
func (l *entryLog) term(i uint64) (term uint64, ok bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

func (l *entryLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at the given position is at least as complete as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns entries from lo through hi with at most limit bytes, but at least one entry.
func (l *entryLog) slice(lo, hi uint64, limit int) []*raftpb.Entry {
	if lo <= l.baseIndex || lo > hi {
		return nil
	}
	part := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	size := 0
	for i, e := range part {
		size += entrySize(e)
		if i > 0 && size > limit {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// sizeOf returns the size of the entries from lo through hi.
func (l *entryLog) sizeOf(lo, hi uint64) int {
	size := 0
	for _, e := range l.slice(lo, hi, unlimited) {
		size += entrySize(e)
	}
	return size
}

// unlimited is a size limit that no slice reaches.
const unlimited = math.MaxInt

// entrySize is an upper estimate of the encoded size.
func entrySize(e *raftpb.Entry) int { return len(e.Data) + 32 }

// truncateFrom removes the entries from index on. The rest is copied on the next append, so that slices handed out stay
// unchanged.
func (l *entryLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.lastSynced = min(l.lastSynced, index-1)
}

// discardThrough removes the entries through index.
func (l *entryLog) discardThrough(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	// Copying releases the removed entries to the garbage collector.
	l.entries = append([]*raftpb.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, lastSynced: index}
}

// lastPossibleMatch returns the highest position through index whose term is at most term.
func (l *entryLog) lastPossibleMatch(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.baseIndex; i-- {
		if t, ok := l.term(i); ok && t <= term {
			return i, t
		}
	}
	return min(index, l.baseIndex), 0
}
