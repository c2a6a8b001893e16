package placement

// Resources is an amount of each kind of resource of an instance.
type Resources struct {
	// MilliProcessors is in thousandths of a core.
	MilliProcessors int64
	// MemoryMiB is in mebibytes.
	MemoryMiB int64
	// Accelerators is a number of devices.
	Accelerators int64
	// Slots is the number of requests and jobs that run at once; a job takes one.
	Slots int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		r.MilliProcessors + o.MilliProcessors, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators, r.Slots + o.Slots,
	}
}

// Sub returns the difference of r and o, whose fields may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		r.MilliProcessors - o.MilliProcessors, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators, r.Slots - o.Slots,
	}
}

// Fits reports whether r is at most o for each resource.
func (r Resources) Fits(o Resources) bool {
	return r.MilliProcessors <= o.MilliProcessors && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators &&
		r.Slots <= o.Slots
}

// DominantShare returns the largest share that r has of the total of any resource. Resources that the total lacks don't
// count.
func (r Resources) DominantShare(total Resources) float64 {
	d := 0.0
	for _, k := range [][2]int64{
		{r.MilliProcessors, total.MilliProcessors}, {r.MemoryMiB, total.MemoryMiB}, {r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if k[1] > 0 {
			d = max(d, float64(k[0])/float64(k[1]))
		}
	}
	return d
}
