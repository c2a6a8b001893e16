package placement

// Candidate is an instance that may take a job.
type Candidate struct {
	InstanceName, Zone, Rack string
	// Capacity is the total capacity of the instance, Free the part that is not reserved.
	Free, Capacity Resources
}

// JobCounts holds the number of jobs of the same queue and team by failure domain.
type JobCounts struct {
	Zones, Racks, Instances map[string]int
}

// AddJobs adds n jobs on the instance of a candidate.
func (c *JobCounts) AddJobs(instance Candidate, n int) {
	if c.Zones == nil {
		c.Zones, c.Racks, c.Instances = map[string]int{}, map[string]int{}, map[string]int{}
	}
	c.Zones[instance.Zone] += n
	c.Racks[instance.Rack] += n
	c.Instances[instance.InstanceName] += n
}

// Pick returns the index of the best candidate for a job, or -1 if the job fits none of them. Candidates for which
// avoid returns true are skipped; avoid may be nil. Pick prefers the zone, then the rack, then the instance with the
// fewest jobs of the same kind, then the instance with the least free capacity, which leaves space for large jobs on
// the others. The previous instance of the job is preferred if its zone and its rack have at most one job more than
// those of the best.
func Pick(need Resources, candidates []Candidate, counts JobCounts, previous string, avoid func(name string) bool) int {
	best, previousIndex := -1, -1
	for i := range candidates {
		c := &candidates[i]
		if !need.Fits(c.Free) || avoid != nil && avoid(c.InstanceName) {
			continue
		}
		if c.InstanceName == previous {
			previousIndex = i
		}
		if best < 0 || isBetter(c, &candidates[best], counts) {
			best = i
		}
	}
	if previousIndex >= 0 && counts.Zones[candidates[previousIndex].Zone] <= counts.Zones[candidates[best].Zone]+1 &&
		counts.Racks[candidates[previousIndex].Rack] <= counts.Racks[candidates[best].Rack]+1 {
		return previousIndex
	}
	return best
}

// isBetter reports whether a is a better choice than b.
func isBetter(a, b *Candidate, counts JobCounts) bool {
	if x, y := counts.Zones[a.Zone], counts.Zones[b.Zone]; x != y {
		return x < y
	}
	if x, y := counts.Racks[a.Rack], counts.Racks[b.Rack]; x != y {
		return x < y
	}
	if x, y := counts.Instances[a.InstanceName], counts.Instances[b.InstanceName]; x != y {
		return x < y
	}
	if x, y := a.Free.DominantShare(a.Capacity), b.Free.DominantShare(b.Capacity); x != y {
		return x < y
	}
	return a.InstanceName < b.InstanceName
}
