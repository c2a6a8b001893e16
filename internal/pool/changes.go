package pool

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// publishedState is the state up to the last changes that were sent to entry processes. Every voter keeps the same
// copy, so that an entry process can continue with any leader.
type publishedState struct {
	revision  uint64
	instances map[string]*poolpb.Instance
}

func (s *State) resetPublished() {
	s.published = publishedState{revision: s.revision, instances: make(map[string]*poolpb.Instance, len(s.instances))}
	for name, in := range s.instances {
		s.published.instances[name] = proto.CloneOf(in)
	}
}

func (s *State) changes() ([]byte, error) {
	if s.published.revision == s.revision {
		return nil, nil
	}
	s.published.revision = s.revision
	m := &poolpb.Changes{LastEpoch: s.lastEpoch}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		if in := s.instances[name]; !proto.Equal(in, s.published.instances[name]) {
			s.published.instances[name] = proto.CloneOf(in)
			m.Instances = append(m.Instances, in)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.published.instances)) {
		if _, ok := s.instances[name]; !ok {
			delete(s.published.instances, name)
			m.Forgotten = append(m.Forgotten, name)
		}
	}
	if len(m.Instances)+len(m.Forgotten) == 0 {
		return nil, nil
	}
	return proto.Marshal(m)
}

func (s *State) merge(data []byte) error {
	m := &poolpb.Changes{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode changes of pools")
	}
	for _, in := range m.Instances {
		s.instances[in.Name] = in
	}
	for _, name := range m.Forgotten {
		delete(s.instances, name)
	}
	s.lastEpoch = m.LastEpoch
	s.revision++
	// One merge may span several commands, so the next check has no earlier state to compare with. The leader and the
	// voters check after each command.
	s.checked = checkedState{}
	return nil
}
