package raft

import (
	"math"

	"github.com/hibiscusroute/hibiscusroute/internal/raft/raftpb"
)

// entryLog holds in memory the log entries that follow the entry at baseIndex. The base is the latest snapshot, or an
// earlier entry if entries that the snapshot covers are kept for members that lag.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []*raftpb.Entry
	lastTaken           uint64 // index of the last entry that the driver got to save
	lastSynced          uint64 // index of the last entry that the driver is known to have synced
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of the entry at index i. ok is false if the log doesn't hold it.
func (l *entryLog) term(i uint64) (term uint64, ok bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// matchesTerm reports whether the log has an entry with this index and term.
func (l *entryLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has this index and term is at least as up-to-date as l.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns the entries from lo through hi, up to a total of limit bytes but at least one. It returns nil if the
// range is empty or starts before the log.
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

// sizeOf returns the total size of the entries from lo through hi, in bytes.
func (l *entryLog) sizeOf(lo, hi uint64) int {
	size := 0
	for _, e := range l.slice(lo, hi, unlimited) {
		size += entrySize(e)
	}
	return size
}

// unlimited is the limit of a slice of any size.
const unlimited = math.MaxInt

// entrySize returns an upper estimate of the encoded size of an entry, in bytes.
func entrySize(e *raftpb.Entry) int { return len(e.Data) + 32 }

// truncateFrom removes the entries from index on. It also limits the capacity of the slice, so that the next append
// copies it and slices that were returned before stay unchanged.
func (l *entryLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.lastTaken, l.lastSynced = min(l.lastTaken, index-1), min(l.lastSynced, index-1)
}

// discardThrough removes the entries through index, which becomes the new base.
func (l *entryLog) discardThrough(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	// The copy lets the garbage collector free the removed entries.
	l.entries = append([]*raftpb.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log after a snapshot at index, which is yet to be saved.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, lastTaken: index}
}

// lastPossibleMatch returns the index and term of the last entry, at most at index, whose term is at most term. Terms
// never decrease along a log, so no later entry can match a log that has an entry of that term at index. Without such
// an entry it returns at most the base index, and term 0.
func (l *entryLog) lastPossibleMatch(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); i > l.baseIndex; i-- {
		if t, ok := l.term(i); ok && t <= term {
			return i, t
		}
	}
	return min(index, l.baseIndex), 0
}
