package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"
)

// Guards against accepted jobs that are neither found nor run on, because a configuration gives their queue another name.
// Callers know a queue by its host and prefix only.
func TestJobsStayWithTheirQueue(t *testing.T) {
	newQueue := func(name, prefix string) *workloadpb.Queue {
		return &workloadpb.Queue{
			Name: name, Host: "h", Prefix: prefix, Pool: "p", MaxAttempts: 3, Stretch: 1.5, SloMs: 600, Public: true,
		}
	}
	p, other := newQueue("p", "/p/"), newQueue("other", "/other/")
	tests := []struct {
		name string
		// versions are the queues of the configurations that follow, each half a second after the last one.
		versions [][]*workloadpb.Queue
		restore  bool
	}{
		{name: "renamed", versions: [][]*workloadpb.Queue{{newQueue("q", "/p/"), other}}},
		{name: "renamed, then a snapshot", versions: [][]*workloadpb.Queue{{newQueue("q", "/p/"), other}}, restore: true},
		{name: "renamed twice", versions: [][]*workloadpb.Queue{{newQueue("q", "/p/")}, {newQueue("r", "/p/")}}},
		{name: "host in upper case", versions: [][]*workloadpb.Queue{{{
			Name: "q", Host: "H", Prefix: "/p/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, SloMs: 600, Public: true,
		}}}},
		{name: "names exchanged", versions: [][]*workloadpb.Queue{{newQueue("other", "/p/"), newQueue("p", "/other/")}}},
		{name: "removed, then added with another name", versions: [][]*workloadpb.Queue{{other}, {newQueue("q", "/p/")}}},
		{name: "removed, then added", versions: [][]*workloadpb.Queue{{other}, {p, other}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t)
			s.addWorkers("p", 2)
			s.configure(1, func(d *workloadpb.Document) { d.Queues = []*workloadpb.Queue{p, other} }, "p")
			s.run(time.Second)
			second := step(2, 1000, 1000, 400)
			second.After = []int32{0}
			s.submit("p", "j", step(2, 1000, 1000, 400), second)
			s.submit("other", "k", step(1, 1000, 1000, 400))
			s.run(200 * time.Millisecond)
			for i, queues := range test.versions {
				s.configure(uint64(2+i), func(d *workloadpb.Document) { d.Queues = queues }, "p")
				s.run(500 * time.Millisecond)
			}
			if test.restore {
				data, err := s.k.Snapshot(false)
				assert.NilError(t, err)
				assert.NilError(t, s.k.Restore(data))
				s.startTerm()
			}
			r := s.call(&workloadpb.Command{Change: &workloadpb.Command_Submit{
				Submit: &workloadpb.Submit{Host: "h", Path: "/p/j", Id: "j", Spec: "spec j", Steps: s.steps["j"]},
			}})
			assert.Equal(t, r.Verdict, workloadpb.Verdict_VERDICT_DONE, "a repeated submission is answered as before")
			s.run(10 * time.Second)
			assert.Equal(t, s.jobState("p", "j"), "completed")
			assert.Equal(t, s.done["j.0.1.1"], 1)
			s.submit("p", "l", step(1, 1000, 1000, 400))
			s.run(3 * time.Second)
			assert.Equal(t, s.jobState("p", "l"), "completed")
		})
	}
}

// Guards against jobs that are lost with a queue that gets another prefix under its name.
func TestJobsFollowMovedQueue(t *testing.T) {
	s := newSim(t)
	s.addWorkers("p", 2)
	s.configure(1, nil, "p")
	s.run(time.Second)
	s.submit("p", "j", step(2, 1000, 1000, 800))
	s.configure(2, func(d *workloadpb.Document) { d.Queues[0].Prefix = "/moved/" }, "p")
	s.run(3 * time.Second)
	assert.Equal(t, s.jobState("moved", "j"), "completed")
}
