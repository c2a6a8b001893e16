package timeline

import (
	"cmp"
	"fmt"
	"slices"
)

// Dump is the answer of one process to a request for its events.
type Dump struct {
	Process string
	Entries []Entry
	// Err is set if the request failed or the answer ended early; Entries may be incomplete then.
	Err error
}

type origin struct{ process, incarnation string }

// Merge returns the events of all dumps in the order of their stamps, without duplicates. It adds a gap entry where
// sequence numbers are missing and one for each process whose dump failed. Merge must be applied before any filter,
// because a filtered dump lacks sequence numbers too.
func Merge(dumps []Dump) []Entry {
	var merged []Entry
	byOrigin := map[origin][]Entry{}
	for _, d := range dumps {
		if d.Err != nil {
			merged = append(merged, failedDumpGap(d))
		}
		for _, e := range d.Entries {
			if e.Kind == KindGap {
				continue // gaps of an earlier merge are computed again
			}
			o := origin{e.Process, e.Incarnation}
			byOrigin[o] = append(byOrigin[o], e)
		}
	}
	for o, entries := range byOrigin {
		merged = append(merged, withGaps(o, entries)...)
	}
	slices.SortFunc(merged, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
	})
	return merged
}

// failedDumpGap returns a gap that starts after the last received event of a failed dump.
func failedDumpGap(d Dump) Entry {
	gap := Entry{Process: d.Process, Event: Event{Kind: KindGap, Text: fmt.Sprintf("dump failed: %v", d.Err)}}
	for _, e := range d.Entries {
		if e.Stamp >= gap.Stamp && e.Kind != KindGap {
			gap.Stamp, gap.Incarnation, gap.Sequence = e.Stamp, e.Incarnation, e.Sequence+1
		}
	}
	return gap
}

// withGaps sorts the entries of one origin by sequence number, removes duplicates and adds gap entries.
func withGaps(o origin, entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Sequence, b.Sequence) })
	entries = slices.CompactFunc(entries, func(a, b Entry) bool { return a.Sequence == b.Sequence })
	var list []Entry
	var last Entry
	for _, e := range entries {
		if missing := e.Sequence - last.Sequence - 1; missing > 0 {
			list = append(list, Entry{
				Stamp: last.Stamp, Process: o.process, Incarnation: o.incarnation, Sequence: last.Sequence + 1,
				Event:   Event{Kind: KindGap, Text: fmt.Sprintf("%d events are missing", missing)},
				Missing: missing, Until: e.Stamp,
			})
		}
		list = append(list, e)
		last = e
	}
	return list
}
