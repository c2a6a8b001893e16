package placement

// Candidate is an instance that may take a job.
type Candidate struct {
	Name, Zone, Rack string
	// Free is what is left of the instance, Capacity the whole.
	Free, Capacity Resources
}

// Spread counts the jobs of the same queue and team by failure domain.
type Spread struct {
	Zones, Racks, Instances map[string]int
}

// Add counts n jobs on an instance.
func (s *Spread) Add(c Candidate, n int) {
	if s.Zones == nil {
		s.Zones, s.Racks, s.Instances = map[string]int{}, map[string]int{}, map[string]int{}
	}
	s.Zones[c.Zone] += n
	s.Racks[c.Rack] += n
	s.Instances[c.Name] += n
}

// Pick returns the index of the candidate for a job, or -1 when it fits none that avoid allows. The job goes to the
// zone, then the rack, then the instance with the fewest jobs of its kind, then to the fullest one, so that large jobs
// still find room. A previous place is kept when it is at most one job worse than the best.
func Pick(need Resources, list []Candidate, s Spread, previous string, avoid func(name string) bool) int {
	best, kept := -1, -1
	for i := range list {
		c := &list[i]
		if !need.Fits(c.Free) || avoid != nil && avoid(c.Name) {
			continue
		}
		if c.Name == previous {
			kept = i
		}
		if best < 0 || better(c, &list[best], s) {
			best = i
		}
	}
	if kept >= 0 && s.Zones[list[kept].Zone] <= s.Zones[list[best].Zone]+1 &&
		s.Racks[list[kept].Rack] <= s.Racks[list[best].Rack]+1 {
		return kept
	}
	return best
}

func better(a, b *Candidate, s Spread) bool {
	if x, y := s.Zones[a.Zone], s.Zones[b.Zone]; x != y {
		return x < y
	}
	if x, y := s.Racks[a.Rack], s.Racks[b.Rack]; x != y {
		return x < y
	}
	if x, y := s.Instances[a.Name], s.Instances[b.Name]; x != y {
		return x < y
	}
	if x, y := a.Free.Dominant(a.Capacity), b.Free.Dominant(b.Capacity); x != y {
		return x < y
	}
	return a.Name < b.Name
}
