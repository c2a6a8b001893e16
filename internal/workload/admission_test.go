package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/workload"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/ledger"
	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

func submission(id string) *workloadpb.Command {
	return &workloadpb.Command{Change: &workloadpb.Command_Submit{
		Submit: &workloadpb.Submit{Host: "h", Path: "/glass/" + id, Id: id, Steps: []*workloadpb.Step{step(1, 1000, 1000, 500)}},
	}}
}

// delayAnswers makes the leader handle each answer of a time as if it had waited for the control loop for d.
func delayAnswers(s *sim, d, duration time.Duration) {
	for end := s.now + duration; s.now < end; s.run(simStep) {
		s.k.Observe(s.now, workload.RenewLeaseResult{Answer: workload.Answer{EndedAt: s.now - d}})
	}
}

// Guards against an overloaded leader that accepts jobs which then wait beside all others, or that rejects jobs because of
// one long decision, or for longer than the overload lasts.
func TestOverloadedLeaderRejectsNewJobs(t *testing.T) {
	for _, tt := range []struct {
		name            string
		delay, duration time.Duration
		idle            time.Duration // after the delayed answers
		want            workloadpb.Verdict
		minRetryAfter   time.Duration
	}{
		{"calm", 10 * time.Millisecond, time.Second, 0, workloadpb.Verdict_VERDICT_DONE, 0},
		{"short", time.Second, 100 * time.Millisecond, 0, workloadpb.Verdict_VERDICT_DONE, 0},
		{"overloaded", 500 * time.Millisecond, time.Second, 0, workloadpb.Verdict_VERDICT_BUSY, 1500 * time.Millisecond},
		{"far-behind", 3 * time.Second, time.Second, 0, workloadpb.Verdict_VERDICT_BUSY, 5 * time.Second},
		{"over", 3 * time.Second, time.Second, 2 * time.Second, workloadpb.Verdict_VERDICT_DONE, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			s.run(5 * time.Second)
			delayAnswers(s, tt.delay, tt.duration)
			s.run(tt.idle)
			r := s.call(submission("new"))
			assert.Equal(t, r.Verdict, tt.want)
			assert.Equal(t, time.Duration(r.RetryAfterMs)*time.Millisecond, tt.minRetryAfter)
		})
	}
}

// isReplicated reports whether a command is replicated, and doesn't commit it.
func isReplicated(s *sim, m *workloadpb.Command) bool {
	c, err := kernel.NewCommand(workload.Name, "", m)
	assert.NilError(s.t, err)
	_, how := s.k.Respond(s.now, c)
	return how == kernel.Replicate
}

// Guards against a rejection of a job that was accepted, or that may still be by an earlier attempt.
func TestOverloadedLeaderRejectsNoAcceptedJob(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.run(5 * time.Second)
	assert.Equal(t, s.call(submission("accepted")).Verdict, workloadpb.Verdict_VERDICT_DONE)
	assert.Assert(t, isReplicated(s, submission("underway")))
	delayAnswers(s, 500*time.Millisecond, time.Second)
	assert.Equal(t, s.call(submission("accepted")).Verdict, workloadpb.Verdict_VERDICT_DONE)
	assert.Assert(t, isReplicated(s, submission("underway")), "rejected, but the first attempt may be accepted")
	assert.Equal(t, s.call(submission("other")).Verdict, workloadpb.Verdict_VERDICT_BUSY)
}

// Guards against jobs whose callers give up while the log is slow and then don't know whether they were accepted, and against
// rejections once it is fast again.
func TestSlowLogRejectsNewJobs(t *testing.T) {
	for _, tt := range []struct {
		name       string
		delays     []time.Duration // in the order in which they are told
		want       workloadpb.Verdict
		retryAfter time.Duration
	}{
		{"fast", []time.Duration{10 * time.Millisecond}, workloadpb.Verdict_VERDICT_DONE, 0},
		{"in-time", []time.Duration{1100 * time.Millisecond}, workloadpb.Verdict_VERDICT_DONE, 0},
		{"slow", []time.Duration{1300 * time.Millisecond}, workloadpb.Verdict_VERDICT_BUSY, 1300 * time.Millisecond},
		{"stalled", []time.Duration{time.Minute}, workloadpb.Verdict_VERDICT_BUSY, 5 * time.Second},
		{"fast-again", []time.Duration{3 * time.Second, 10 * time.Millisecond}, workloadpb.Verdict_VERDICT_DONE, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t)
			s.configure(1, nil, "glass")
			assert.Equal(t, s.call(submission("accepted")).Verdict, workloadpb.Verdict_VERDICT_DONE)
			assert.Assert(t, isReplicated(s, submission("underway")))
			for _, d := range tt.delays {
				s.k.Observe(s.now, kernel.CommitDelay{Delay: d})
			}
			assert.Equal(t, s.call(submission("accepted")).Verdict, workloadpb.Verdict_VERDICT_DONE)
			assert.Assert(t, isReplicated(s, submission("underway")), "rejected, but the first attempt may be accepted")
			r := s.call(submission("new"))
			assert.Equal(t, r.Verdict, tt.want)
			assert.Equal(t, time.Duration(r.RetryAfterMs)*time.Millisecond, tt.retryAfter)
		})
	}
}

// Guards against a rejection of a job whose first attempt the slow log still accepts.
func TestSlowLogRejectsNoJobUnderWay(t *testing.T) {
	s := newSim(t)
	s.configure(1, nil, "glass")
	s.run(simStep)
	proposedAt := s.now
	assert.Assert(t, isReplicated(s, submission("underway")))
	s.run(10 * time.Second)
	s.k.Observe(s.now, kernel.CommitDelay{Delay: 10 * time.Second, AppliedBefore: proposedAt})
	assert.Assert(t, isReplicated(s, submission("underway")), "rejected, but the first attempt may be accepted")
	s.run(4 * time.Second)
	s.k.Observe(s.now, kernel.CommitDelay{Delay: 10 * time.Second, AppliedBefore: s.now - 4*time.Second})
	assert.Assert(t, isReplicated(s, submission("underway")), "rejected, but the second attempt may be accepted")
	s.run(4 * time.Second)
	s.k.Observe(s.now, kernel.CommitDelay{Delay: 10 * time.Second, AppliedBefore: s.now})
	assert.Equal(t, s.call(submission("underway")).Verdict, workloadpb.Verdict_VERDICT_BUSY)
}

// Guards against a leader that runs out of memory by the jobs that it accepts, and against one that then accepts no small
// ones, rejects those that were accepted, or rejects jobs for longer than the memory is used.
func TestJobsBeyondTheMemoryAreRejected(t *testing.T) {
	large := func(id string) *workloadpb.Command {
		m := submission(id)
		m.GetSubmit().Steps = []*workloadpb.Step{step(ledger.MaxTasks, 1000, 1000, 500)}
		return m
	}
	s := newSim(t)
	s.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, JobRetention: 2 * time.Minute,
		MaxJobBytes: 5 * ledger.SubmitBytes(large("").GetSubmit()), Log: s.log,
	})
	s.configure(1, nil, "glass")
	assert.Equal(t, s.call(large("a")).Verdict, workloadpb.Verdict_VERDICT_DONE)
	assert.Assert(t, isReplicated(s, large("underway")))
	r := s.call(large("b"))
	assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_BUSY)
	assert.Equal(t, r.RetryAfterMs, int64(1000))
	assert.Equal(t, s.call(large("a")).Verdict, workloadpb.Verdict_VERDICT_DONE)
	assert.Assert(t, isReplicated(s, large("underway")), "rejected, but the first attempt may be accepted")
	assert.Equal(t, s.call(submission("small")).Verdict, workloadpb.Verdict_VERDICT_DONE)
	s.cancel("glass", "a")
	s.run(4 * time.Second)
	s.k.Observe(s.now, kernel.CommitDelay{AppliedBefore: s.now}) // the attempt under way was lost
	assert.Equal(t, s.call(large("b")).Verdict, workloadpb.Verdict_VERDICT_DONE)
}

// Guards against a scheduled job whose occurrences begin faster than they end until there is no memory left, and against
// one that holds up the others.
func TestOccurrencesBeyondTheMemoryWait(t *testing.T) {
	scheduled := submission("often")
	m := scheduled.GetSubmit()
	m.Steps, m.MaxRuns, m.IntervalMs = []*workloadpb.Step{step(1000, 1000, 1000, 500)}, 1000, 1
	s := newSim(t)
	limit := 5 * ledger.SubmitBytes(m)
	s.e.Configure(workload.Config{
		WallClock: func() time.Time { return time.UnixMilli(1_000_000).Add(s.now) }, MaxJobBytes: limit, Log: s.log,
	})
	s.configure(1, nil, "glass")
	assert.Equal(t, s.call(scheduled).Verdict, workloadpb.Verdict_VERDICT_DONE)
	s.run(5 * time.Second)
	other := submission("seldom")
	other.GetSubmit().MaxRuns = 1
	other.GetSubmit().StartAtMs = 1_000_000 + s.now.Milliseconds() + 1000
	s.call(other)
	s.run(5 * time.Second)
	occurrences := len(s.e.State().JobByID("often").Occurrences())
	assert.Assert(t, occurrences > 1 && s.e.State().JobBytes() <= limit, "%d occurrences, %d of %d bytes", occurrences,
		s.e.State().JobBytes(), limit)
	assert.Equal(t, len(s.e.State().JobByID("seldom").Occurrences()), 1)
}
