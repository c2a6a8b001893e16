package placement

// Candidate is an instance that may take a job.
type Candidate struct {
	InstanceName, Zone, Rack string
	// Free is what is left of the instance, Capacity the whole.
	Free, Capacity Resources
}

// JobCounts counts the jobs of the same queue and team by failure domain.
type JobCounts struct {
	Zones, Racks, Instances map[string]int
}

// AddJobs counts n jobs on an instance.
func (s *JobCounts) AddJobs(c Candidate, n int) {
	if s.Zones == nil {
		s.Zones, s.Racks, s.Instances = map[string]int{}, map[string]int{}, map[string]int{}
	}
	s.Zones[c.Zone] += n
	s.Racks[c.Rack] += n
	s.Instances[c.InstanceName] += n
}

// Pick returns the index of the candidate for a job, or -1 when it fits none that avoid allows. The job goes to the
// zone, then the rack, then the instance with the fewest jobs of its kind, then to the fullest one, so that large jobs
// still find room. A previous place is kept when it is at most one job worse than the best.
func Pick(need Resources, list []Candidate, s JobCounts, previous string, avoid func(name string) bool) int {
	best, kept := -1, -1
	for i := range list {
		c := &list[i]
		if !need.Fits(c.Free) || avoid != nil && avoid(c.InstanceName) {
			continue
		}
		if c.InstanceName == previous {
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

func better(a, b *Candidate, s JobCounts) bool {
	if x, y := s.Zones[a.Zone], s.Zones[b.Zone]; x != y {
		return x < y
	}
	if x, y := s.Racks[a.Rack], s.Racks[b.Rack]; x != y {
		return x < y
	}
	if x, y := s.Instances[a.InstanceName], s.Instances[b.InstanceName]; x != y {
		return x < y
	}
	if x, y := a.Free.DominantShare(a.Capacity), b.Free.DominantShare(b.Capacity); x != y {
		return x < y
	}
	return a.InstanceName < b.InstanceName
}
