package control

import "github.com/hibiscusroute/hibiscusroute/internal/raft"

// maybeSnapshot begins to save a snapshot if enough entries were applied since the last one, so that a restart replays few.
// The disk must hold these entries, since they are removed from it only once the snapshot is complete.
func (v *Voter) maybeSnapshot() error {
	applied, factor := v.kernel.Applied(), 1
	if v.lastSaveTook >= slowSave {
		factor = slowSnapshotFactor
	}
	due := applied >= v.snapshotIndex+uint64(factor*snapshotEntries) || v.loggedBytes >= factor*snapshotBytes
	if !due || v.snapshotting {
		return nil
	}
	if st := v.core.Status(); applied != st.LastApplied || applied > st.LastSynced {
		return nil
	}
	s, err := v.takeSnapshot()
	if err != nil {
		return err
	}
	v.snapshotting, v.loggedBytes = true, 0
	v.saver.jobs <- diskJob{snapshot: s}
	return nil
}

func (v *Voter) takeSnapshot() (*raft.Snapshot, error) {
	meta, err := v.core.SnapshotMeta(v.kernel.Applied())
	if err != nil {
		return nil, err
	}
	state, err := v.kernel.Snapshot(false)
	return &raft.Snapshot{Meta: meta, Data: state}, err
}

// finishSnapshot removes the entries from the log that a saved snapshot covers.
func (v *Voter) finishSnapshot(s *raft.Snapshot) error {
	v.snapshotting = false
	if err := v.core.Compact(s.Meta.Index, s.Data); err != nil {
		return err
	}
	v.snapshotIndex = max(v.snapshotIndex, s.Meta.Index)
	v.cfg.Log.V(1).Info("saved a snapshot", "index", s.Meta.Index, "bytes", len(s.Data))
	return nil
}

func (v *Voter) installSnapshot(s *raft.Snapshot) error {
	if err := v.restoreSnapshot(s); err != nil {
		return err
	}
	v.feed.reset(v.kernel.Applied())
	v.cfg.Log.Info("installed a snapshot from the leader", "index", s.Meta.Index)
	return nil
}

func (v *Voter) restoreSnapshot(s *raft.Snapshot) error {
	if len(s.Data) > 0 {
		if err := v.kernel.Restore(s.Data); err != nil {
			return err
		}
	}
	v.kernel.Skip(s.Meta.Index)
	v.snapshotIndex, v.loggedBytes, v.lastAppliedTerm = s.Meta.Index, 0, s.Meta.Term
	return nil
}
