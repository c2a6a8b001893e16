package explanation

import (
	"cmp"
	"fmt"
	"io"
	"strings"
)

// Reasons for which a job is rejected, besides those of admission such as "backlog".
const (
	NoQueue    = "no-queue"
	UnknownKey = "unknown-key"
	Invalid    = "invalid"
	NotReady   = "not-ready"
)

// What the tasks of a step that don't start at once wait for.
const (
	EarlierSteps  = "earlier-steps"
	Adviser       = "adviser"
	Quota         = "quota-of-account"
	JobsBefore    = "jobs-ranked-before"
	EvacuatedZone = "evacuated-zone"
	Label         = "label"
	Capacity      = "capacity"
	Workers       = "usable-workers"
)

// HasRoom is the reason of workers that take tasks of the step.
const HasRoom = "has-room"

// Explanation tells where a job would go now and why.
type Explanation struct {
	// Rejection is why the job would be rejected, empty if it would be accepted. RetryAfterMs is set if it may be handed in again.
	Rejection    string `json:"rejection,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
	Queue        string `json:"queue,omitempty"`
	Pool         string `json:"pool,omitempty"`
	Account      string `json:"account,omitempty"`
	// BeginsAtMs is when the first occurrence of a scheduled job is due, in Unix milliseconds.
	BeginsAtMs int64      `json:"begins-at-ms,omitempty"`
	Instances  *Instances `json:"instances,omitempty"`
	Steps      []Step     `json:"steps,omitempty"`
	// StepsOmitted is the number of further steps, which are not explained.
	StepsOmitted int `json:"steps-omitted,omitempty"`
}

// Instances is the number of instances that a pool has or gets, wants, and would want with the job, and of those that move to it.
type Instances struct {
	Has          int `json:"has"`
	Wants        int `json:"wants"`
	WantsWithJob int `json:"wants-with-job"`
	Gets         int `json:"gets"`
}

// Step tells which tasks of a step would start at once.
type Step struct {
	Step     int      `json:"step"`
	Tasks    int      `json:"tasks"`
	Starting int      `json:"starting"`
	StartsOn []Count  `json:"starts-on,omitempty"` // tasks by worker
	Workers  []Count  `json:"workers,omitempty"`   // workers of the pool by the reason why they take no task
	WaitsFor []string `json:"waits-for,omitempty"`
}

// Count is a number of tasks or workers.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// WriteText writes the explanation for people.
func (x *Explanation) WriteText(w io.Writer) error {
	b := &strings.Builder{}
	if x.Queue != "" {
		fmt.Fprintf(b, "queue %s, pool %s, account %s\n", x.Queue, x.Pool, cmp.Or(x.Account, "none"))
	}
	if x.Rejection != "" {
		fmt.Fprintf(b, "would be rejected: %s", x.Rejection)
		if x.RetryAfterMs > 0 {
			fmt.Fprintf(b, ", retry after %d ms", x.RetryAfterMs)
		}
		b.WriteByte('\n')
	}
	if n := x.Instances; n != nil {
		fmt.Fprintf(b, "instances of the pool: has %d, wants %d, with this job %d, gets %d\n", n.Has, n.Wants, n.WantsWithJob, n.Gets)
	}
	if x.BeginsAtMs > 0 {
		fmt.Fprintf(b, "scheduled for %d ms; the steps are explained as if it were due now\n", x.BeginsAtMs)
	}
	for _, s := range x.Steps {
		fmt.Fprintf(b, "step %d: %d of %d tasks would start at once", s.Step, s.Starting, s.Tasks)
		writeCounts(b, " on ", s.StartsOn)
		writeCounts(b, "\n  workers: ", s.Workers)
		if len(s.WaitsFor) > 0 {
			fmt.Fprintf(b, "\n  waits for: %s", strings.Join(s.WaitsFor, ", "))
		}
		b.WriteByte('\n')
	}
	if x.StepsOmitted > 0 {
		fmt.Fprintf(b, "%d further steps are not explained\n", x.StepsOmitted)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeCounts(b *strings.Builder, prefix string, list []Count) {
	for i, c := range list {
		if i > 0 {
			prefix = ", "
		}
		fmt.Fprintf(b, "%s%s:%d", prefix, c.Name, c.Count)
	}
}
