package timeline

import (
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

const (
	// DefaultSize is the default number of events in a buffer. They take 0.5 MB (112 bytes per event) plus the texts.
	DefaultSize = 4096
	// maxFieldBytes bounds each text field of an event, so that the memory of the buffer is bounded too.
	maxFieldBytes = 256
)

// Event describes one event of a process; fields that do not apply are empty.
type Event struct {
	// Kind is a constant in kebab case, such as claim-lost.
	Kind string `json:"kind"`
	// Request, Job, Instance and Team identify the subjects of the event.
	Request  string `json:"request,omitempty"`
	Job      string `json:"job,omitempty"`
	Instance string `json:"instance,omitempty"`
	Team     string `json:"team,omitempty"`
	// Version is the configuration version.
	Version uint64 `json:"configuration-version,omitempty"`
	// Text is a description for human readers.
	Text string `json:"text,omitempty"`
}

// Config holds the settings of a Recorder.
type Config struct {
	// Process is the name of this process. Incarnation identifies one lifetime of it.
	Process, Incarnation string
	// Size is the number of events that are kept; DefaultSize when 0.
	Size int
	// Now is the wall clock.
	Now func() time.Time
}

// Recorder holds the newest events of a process; it is safe for concurrent use.
type Recorder struct {
	cfg   Config
	clock *Clock

	mu   sync.Mutex
	ring []stampedEvent // grows to the configured size
	next uint64         // sequence number of the next event minus 1
}

type stampedEvent struct {
	stamp uint64
	event Event
}

// New returns an empty recorder.
func New(cfg Config) *Recorder {
	if cfg.Size <= 0 {
		cfg.Size = DefaultSize
	}
	return &Recorder{cfg: cfg, clock: NewClock(cfg.Now)}
}

// Record adds an event and overwrites the oldest one when the buffer is full. Longer fields are truncated to 256 bytes.
func (r *Recorder) Record(e Event) {
	for _, field := range [...]*string{&e.Kind, &e.Request, &e.Job, &e.Instance, &e.Team, &e.Text} {
		if len(*field) > maxFieldBytes {
			*field = truncateField(*field)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is issued under the lock, so that stamps and sequence numbers have the same order.
	rec := stampedEvent{stamp: r.clock.Stamp(), event: e}
	if len(r.ring) < r.cfg.Size {
		r.ring = append(r.ring, rec)
	} else {
		r.ring[r.next%uint64(r.cfg.Size)] = rec
	}
	r.next++
}

// truncateField truncates a text at a character boundary. It returns a copy, so that the memory of the whole text can
// be freed.
func truncateField(s string) string {
	n := maxFieldBytes
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return strings.Clone(s[:n])
}

// Stamp returns a new stamp, to be sent along with a message.
func (r *Recorder) Stamp() uint64 { return r.clock.Stamp() }

// Observe advances the clock to the stamp of a received message, unless the stamp is more than MaxDrift ahead of the
// local clock.
func (r *Recorder) Observe(stamp uint64) { r.clock.Observe(stamp) }

// Rejected returns how many observed stamps were rejected because they were too far ahead of the local clock.
func (r *Recorder) Rejected() uint64 { return r.clock.Rejected() }

// Dropped returns how many events were overwritten.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next - uint64(len(r.ring))
}

// Dump returns the events in the buffer, oldest first.
func (r *Recorder) Dump() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := uint64(len(r.ring))
	entries := make([]Entry, 0, kept)
	for n := r.next - kept; n < r.next; n++ {
		rec := r.ring[n%uint64(r.cfg.Size)]
		entries = append(entries, Entry{
			Stamp: rec.stamp, Process: r.cfg.Process, Incarnation: r.cfg.Incarnation, Sequence: n + 1, Event: rec.event,
		})
	}
	return entries
}
