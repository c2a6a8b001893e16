package timeline

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestRecorder(name string, size int, offset time.Duration) *Recorder {
	return New(Config{Process: name, Incarnation: "1", Size: size, Now: func() time.Time { return epoch.Add(offset) }})
}

func listKinds(entries []Entry) string {
	var list []string
	for _, e := range entries {
		list = append(list, e.Process+":"+e.Kind)
	}
	return strings.Join(list, " ")
}

// Guards against an event that is listed before its cause in another process whose clock is ahead.
func TestCausalityAcrossProcesses(t *testing.T) {
	a, b := newTestRecorder("a", 0, MaxDrift), newTestRecorder("b", 0, 0)
	b.Record(Event{Kind: "earlier"})
	for i := range 3 {
		a.Record(Event{Kind: fmt.Sprintf("send-%d", i)})
		b.Observe(a.Stamp())
		b.Record(Event{Kind: fmt.Sprintf("receive-%d", i)})
		a.Observe(b.Stamp())
	}
	merged := Merge([]Dump{{Process: "b", Entries: b.Dump()}, {Process: "a", Entries: a.Dump()}, {Process: "a", Entries: a.Dump()}})
	assert.Equal(t, listKinds(merged),
		"b:earlier a:send-0 b:receive-0 a:send-1 b:receive-1 a:send-2 b:receive-2")
}

// Guards against one wrong clock that advances the others, and against stamps that repeat when a clock goes back.
func TestClockRejectsFarStampsAndNeverRepeats(t *testing.T) {
	now := epoch
	c := NewClock(func() time.Time { return now })
	first := c.Stamp()
	c.Observe(firstStampAt(epoch.Add(MaxDrift + time.Millisecond)))
	assert.Equal(t, c.Rejected(), uint64(1))
	assert.Equal(t, c.Stamp(), first+1)
	c.Observe(firstStampAt(epoch.Add(MaxDrift)))
	now = epoch.Add(-time.Hour)
	last := c.Stamp()
	assert.Equal(t, StampTime(last).Sub(epoch), MaxDrift)
	for range 1 << 17 { // more than the counter holds within one millisecond
		next := c.Stamp()
		assert.Assert(t, next > last)
		last = next
	}
}

// Guards against missing events that are not marked by a gap.
func TestMergeMarksGaps(t *testing.T) {
	a := newTestRecorder("a", 2, 0)
	for i := range 5 {
		a.Record(Event{Kind: fmt.Sprintf("step-%d", i)})
	}
	assert.Equal(t, a.Dropped(), uint64(3))
	b := newTestRecorder("b", 4, time.Second)
	for i := range 4 {
		b.Record(Event{Kind: fmt.Sprintf("step-%d", i)})
	}
	partial := slices.Delete(b.Dump(), 1, 3)
	merged := Merge([]Dump{
		{Process: "a", Entries: a.Dump()}, {Process: "b", Entries: partial, Err: errors.New("cut")},
		{Process: "c", Err: errors.New("unreachable")},
	})
	assert.Equal(t, listKinds(merged), "a:timeline-gap c:timeline-gap a:step-3 a:step-4 "+
		"b:step-0 b:timeline-gap b:step-3 b:timeline-gap")
	assert.Assert(t, merged[0].Missing == 3 && merged[0].Sequence == 1 && merged[0].Until == merged[2].Stamp)
	assert.Assert(t, merged[5].Missing == 2 && merged[5].Sequence == 2)
	assert.Assert(t, strings.Contains(merged[1].Text, "unreachable"))
	assert.DeepEqual(t, Merge([]Dump{{Entries: merged[2:5]}, {Entries: merged[:2]}})[1:], merged[2:5])
}

// Guards against filters that drop matching events, or gaps in which matching events may be missing.
func TestFilters(t *testing.T) {
	at := epoch
	r := New(Config{Process: "a", Size: 7, Now: func() time.Time { return at }})
	events := []Event{
		{Kind: "dropped"}, {Kind: "start", Request: "r"}, {Kind: "start", Job: "j"}, {Kind: "drain", Instance: "i"},
		{Kind: "limit", Team: "t"}, {Kind: "apply", Version: 7}, {Kind: "start"}, {Kind: "stop"},
	}
	for i, e := range events {
		at = epoch.Add(time.Duration(i) * time.Second)
		r.Record(e)
	}
	all := Merge([]Dump{{Process: "a", Entries: r.Dump()}})
	for _, test := range []struct {
		filter Filter
		want   string // indexes into all, of which 0 is the gap
	}{
		{Filter{}, "01234567"},
		{Filter{Request: "r"}, "01"},
		{Filter{Job: "j"}, "02"},
		{Filter{Instance: "i"}, "03"},
		{Filter{Team: "t"}, "04"},
		{Filter{Version: 7}, "05"},
		{Filter{Kind: "start"}, "0126"},
		{Filter{Kind: "start", Job: "k"}, "0"},
		{Filter{From: epoch.Add(6 * time.Second)}, "67"},
		{Filter{To: epoch.Add(2 * time.Second)}, "012"},
		{Filter{From: epoch.Add(time.Second), To: epoch.Add(time.Second)}, "01"},
	} {
		var want []Entry
		for _, i := range test.want {
			want = append(want, all[i-'0'])
		}
		assert.DeepEqual(t, test.filter.Apply(all), want)
	}
}

// Guards against lost or reordered events under concurrent use, and against a dump that changes when it is encoded and
// decoded.
func TestConcurrentRecordAndDump(t *testing.T) {
	r := New(Config{Process: "a", Incarnation: "1", Size: 1000, Now: time.Now})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				r.Record(Event{Kind: "step", Text: strings.Repeat("\u00e9\"", 200)})
				r.Observe(r.Stamp())
			}
			r.Dump()
		})
	}
	wg.Wait()
	entries := r.Dump()
	assert.Assert(t, len(entries) == 1000 && r.Dropped() == 600)
	for i, e := range entries {
		assert.Assert(t, e.Sequence == uint64(601+i) && (i == 0 || e.Stamp > entries[i-1].Stamp))
		assert.Assert(t, len(e.Text) <= maxFieldBytes)
	}
	var buf bytes.Buffer
	assert.NilError(t, Encode(&buf, entries))
	decoded, err := Decode(&buf)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, entries)
}

// FuzzDecode guards against a panic on arbitrary bytes and against entries that Merge or Encode cannot handle.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"stamp":"1","process":"a","sequence":1,"kind":"step"}` + "\n"))
	f.Add([]byte(`{"stamp":"18446744073709551615","process":"a","sequence":9,"kind":"timeline-gap","until":"3"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := Decode(bytes.NewReader(data))
		merged := Merge([]Dump{{Process: "a", Entries: entries, Err: err}})
		assert.NilError(t, Encode(&bytes.Buffer{}, Filter{From: epoch}.Apply(merged)))
	})
}

// BenchmarkRecord measures the cost of one event; -cpu sets the number of parallel writers.
func BenchmarkRecord(b *testing.B) {
	r := New(Config{Process: "a", Now: time.Now})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(Event{Kind: "request-start", Request: "r", Team: "t", Instance: "i"})
		}
	})
}
