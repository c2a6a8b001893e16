package timeline

import "time"

// Filter selects entries by their fields; a zero field matches every entry.
type Filter struct {
	Kind, Request, Job, Instance, Team string
	Version                            uint64
	// From and To are inclusive, to the millisecond.
	From, To time.Time
}

// Apply returns the entries that match, in the same order. A gap that overlaps the time range is selected regardless of
// the other fields, because the missing events could match them.
func (f Filter) Apply(entries []Entry) []Entry {
	var selected []Entry
	for _, e := range entries {
		if f.overlapsTimeRange(e) && (e.Kind == KindGap || f.matchesFields(e.Event)) {
			selected = append(selected, e)
		}
	}
	return selected
}

func (f Filter) overlapsTimeRange(e Entry) bool {
	end := e.Stamp
	if e.Kind == KindGap {
		if end = e.Until; end == 0 {
			end = ^uint64(0)
		}
	}
	if !f.From.IsZero() && end < firstStampAt(f.From) {
		return false
	}
	return f.To.IsZero() || e.Stamp < firstStampAt(f.To.Add(time.Millisecond))
}

func (f Filter) matchesFields(e Event) bool {
	return fieldMatches(f.Kind, e.Kind) && fieldMatches(f.Request, e.Request) && fieldMatches(f.Job, e.Job) &&
		fieldMatches(f.Instance, e.Instance) && fieldMatches(f.Team, e.Team) && (f.Version == 0 || f.Version == e.Version)
}

func fieldMatches(want, have string) bool { return want == "" || want == have }
