package pool

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/pool/poolpb"
)

// shipped is what entry processes have merged so far. It is kept on every voter in the same way, so that a process can
// go on with any leader.
type shipped struct {
	changed   uint64
	instances map[string]*poolpb.Instance
}

func (s *State) resetShipped() {
	s.shipped = shipped{changed: s.changed, instances: make(map[string]*poolpb.Instance, len(s.instances))}
	for name, in := range s.instances {
		s.shipped.instances[name] = proto.CloneOf(in)
	}
}

func (s *State) changes() ([]byte, error) {
	if s.shipped.changed == s.changed {
		return nil, nil
	}
	s.shipped.changed = s.changed
	m := &poolpb.Changes{LastEpoch: s.lastEpoch}
	for _, name := range slices.Sorted(maps.Keys(s.instances)) {
		if in := s.instances[name]; !proto.Equal(in, s.shipped.instances[name]) {
			s.shipped.instances[name] = proto.CloneOf(in)
			m.Instances = append(m.Instances, in)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.shipped.instances)) {
		if _, ok := s.instances[name]; !ok {
			delete(s.shipped.instances, name)
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
	s.changed++
	// Several steps may have been merged since the last check, so the next one has no state to compare with. The leader
	// and the voters check each step.
	s.checked = checked{}
	return nil
}
