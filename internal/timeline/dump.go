package timeline

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/joomcode/errorx"
)

// maxLineBytes bounds a line of a dump: seven fields of 256 bytes, each byte escaped, and the numbers.
const maxLineBytes = 16 << 10

// KindGap is the kind of entries that Merge adds where events are missing.
const KindGap = "timeline-gap"

// Entry is one line of a dump: an event with its origin, or a gap.
type Entry struct {
	// Stamp is the time of the event; for a gap, of the last event before it. It is a string in JSON, because many JSON
	// parsers can't represent a 64-bit number exactly.
	Stamp uint64 `json:"stamp,string"`
	// Process and Incarnation identify the origin.
	Process     string `json:"process"`
	Incarnation string `json:"incarnation,omitempty"`
	// Sequence numbers the events of an incarnation from 1. For a gap it is the first missing number.
	Sequence uint64 `json:"sequence,omitempty"`
	Event
	// Missing is the number of events in a gap; 0 when it is unknown.
	Missing uint64 `json:"missing,omitempty"`
	// Until is the stamp of the first event after a gap; 0 when it is unknown.
	Until uint64 `json:"until,string,omitempty"`
}

// Encode writes entries as JSON lines.
func Encode(w io.Writer, entries []Entry) error {
	enc := json.NewEncoder(w)
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return errorx.Decorate(err, "write timeline entry")
		}
	}
	return nil
}

// Decode reads JSON lines. On an error it returns the entries before the invalid line; the error holds the line number.
func Decode(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e Entry
		err := json.Unmarshal(lines.Bytes(), &e)
		if err == nil {
			err = e.validate()
		}
		if err != nil {
			return entries, errorx.Decorate(err, "line %d of the timeline", len(entries)+1)
		}
		entries = append(entries, e)
	}
	if err := lines.Err(); err != nil {
		return entries, errorx.Decorate(err, "line %d of the timeline", len(entries)+1)
	}
	return entries, nil
}

func (e *Entry) validate() error {
	if e.Process == "" || e.Kind == "" || (e.Kind != KindGap && e.Sequence == 0) {
		return errors.New("entry needs process, kind and sequence")
	}
	return nil
}
