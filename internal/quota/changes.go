package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusroute/hibiscusroute/internal/quota/quotapb"
)

// allocationKey identifies the allocation of a holder.
type allocationKey struct{ resource, holder string }

// changeSet identifies the changes that have not been sent to entry processes. It doesn't contain removed members,
// whose allocations entry processes delete when they apply the member command.
type changeSet struct {
	allocations  map[allocationKey]bool
	reservations map[string]bool
}

func (c *changeSet) reset() {
	c.allocations, c.reservations = map[allocationKey]bool{}, map[string]bool{}
}

// changes encodes the changes since its last call.
func (s *State) changes() ([]byte, error) {
	if len(s.unsentChanges.allocations) == 0 && len(s.unsentChanges.reservations) == 0 {
		return nil, nil
	}
	m := &quotapb.State{}
	keys := slices.SortedFunc(maps.Keys(s.unsentChanges.allocations), func(a, b allocationKey) int {
		return cmp.Or(cmp.Compare(a.resource, b.resource), cmp.Compare(a.holder, b.holder))
	})
	for _, p := range keys {
		r := s.resource(p.resource)
		if _, ok := r.allocations[p.holder]; ok {
			m.Allocations = append(m.Allocations, r.encodeAllocation(p.resource, p.holder))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.unsentChanges.reservations)) {
		m.Reservations = append(m.Reservations, &quotapb.Reservation{Resource: name, Units: s.resource(name).reserved})
	}
	s.unsentChanges.reset()
	return proto.Marshal(m)
}

// merge applies changes that another process encoded.
func (s *State) merge(data []byte) error {
	m := &quotapb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errorx.Decorate(err, "decode changes of quotas")
	}
	for _, ch := range m.Allocations {
		s.resource(ch.Resource).setAllocation(ch)
	}
	for _, rv := range m.Reservations {
		s.resource(rv.Resource).reserved = rv.Units
	}
	return nil
}
