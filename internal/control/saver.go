package control

import (
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/disk"
	"github.com/hibiscusroute/hibiscusroute/internal/raft"
)

// maxQueuedJobs bounds the jobs of the disk: a save of the log and a snapshot.
const maxQueuedJobs = 2

// diskJob is a save of the replicated log, or a snapshot of the state.
type diskJob struct {
	save     *raft.Save
	snapshot *raft.Snapshot
}

// diskResult is the result of a job.
type diskResult struct {
	diskJob
	took time.Duration
	err  error
}

// saver writes to the data directory beside the control loop, one job after the other.
type saver struct {
	store   *disk.Store
	jobs    chan diskJob
	results chan diskResult
	stopped chan struct{}
}

func newSaver(store *disk.Store) *saver {
	return &saver{
		store: store, jobs: make(chan diskJob, maxQueuedJobs), results: make(chan diskResult, maxQueuedJobs),
		stopped: make(chan struct{}),
	}
}

// run executes jobs until stop is called.
func (s *saver) run() {
	defer close(s.stopped)
	for j := range s.jobs {
		beganAt := time.Now()
		err := j.write(s.store)
		s.results <- diskResult{j, time.Since(beganAt), err}
	}
}

// stop waits until the data directory is no longer in use.
func (s *saver) stop() {
	close(s.jobs)
	<-s.stopped
}

func (j diskJob) write(store *disk.Store) error {
	if s := j.snapshot; s != nil {
		return store.SaveSnapshot(s.Meta, s.Data)
	}
	if s := j.save.Snapshot; s != nil {
		if err := store.SaveSnapshot(s.Meta, s.Data); err != nil {
			return err
		}
	}
	return store.Save(j.save.HardState, j.save.Entries)
}
