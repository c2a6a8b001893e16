package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// What a job occupies besides its text, in bytes.
const (
	jobBytes = 1 << 10
	// stepBytes is a decoded step with its resources, afterBytes an element of its list, which has room to grow.
	stepBytes  = 288
	afterBytes = 8
	// stepRunBytes and taskBytes are those of an occurrence.
	stepRunBytes = 160
	taskBytes    = 160
)

// jobSize is what a job occupies in memory, in bytes.
type jobSize struct {
	steps      int64 // specification and steps, until the job has ended
	occurrence int64 // each occurrence
}

func sizeOf(specification string, steps []*workloadpb.Step) jobSize {
	n := int64(len(steps))
	size := jobSize{steps: int64(len(specification)) + n*stepBytes, occurrence: n * stepRunBytes}
	for _, st := range steps {
		size.steps += int64(proto.Size(st) + len(st.After)*afterBytes) // the first covers the texts
		size.occurrence += int64(st.Count) * taskBytes
	}
	return size
}

// SubmitBytes returns what the job of a submission will occupy in memory until it ends, in bytes.
func SubmitBytes(m *workloadpb.Submit) int64 {
	size := sizeOf(m.Spec, m.Steps)
	return jobBytes + size.steps + size.occurrence
}

// NextOccurrenceBytes returns by how much JobBytes grows when the job begins another occurrence.
func (j *Job) NextOccurrenceBytes() int64 {
	if len(j.occurrences) == 0 {
		return 0
	}
	return j.size.occurrence
}

// JobBytes returns what all jobs occupy in memory, in bytes.
func (s *State) JobBytes() int64 { return s.jobBytes }

// resize updates what a job occupies. It must be called when the job, its steps or its occurrences are added or removed.
func (s *State) resize(j *Job) {
	n := int64(0)
	if s.jobs[j.Number] == j {
		n = jobBytes + int64(len(j.occurrences))*j.size.occurrence
		if j.Steps != nil {
			n += j.size.steps
			if len(j.occurrences) == 0 {
				n += j.size.occurrence // the next one begins at any time
			}
		}
	}
	s.jobBytes += n - j.bytes
	j.bytes = n
}
