package ledger

import "github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"

// Resources is an amount of capacity or demand, or a quota.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in MiB.
	Memory int64
	// Accelerators is a number of devices.
	Accelerators int64
}

// ResourcesOf converts a protobuf message, which may be nil.
func ResourcesOf(m *workloadpb.Resources) Resources {
	return Resources{CPU: m.GetCpu(), Memory: m.GetMemoryMib(), Accelerators: m.GetAccelerators()}
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// AtLeastZero returns r with zero for each negative resource.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.Accelerators * int64(n)}
}

// Within reports whether a demand of r is at most limit for each resource that it includes. A limit may be negative, as
// the free capacity of a worker is after its capacity has shrunk.
func (r Resources) Within(limit Resources) bool {
	return (r.CPU == 0 || r.CPU <= limit.CPU) && (r.Memory == 0 || r.Memory <= limit.Memory) &&
		(r.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// WithinEach reports whether r is at most limit for each resource.
func (r Resources) WithinEach(limit Resources) bool {
	return r.CPU <= limit.CPU && r.Memory <= limit.Memory && r.Accelerators <= limit.Accelerators
}

// WithinQuota reports whether r is at most limit for each resource; zero fields of limit are unlimited.
func (r Resources) WithinQuota(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) && (limit.Memory == 0 || r.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// RequiredCapacity returns the capacity of a worker that a run of a step reserves. A best-effort step reserves no
// processors, because it uses the processor time that other runs leave unused.
func RequiredCapacity(s *workloadpb.Step) Resources {
	r := ResourcesOf(s.Need)
	if s.Fills {
		r.CPU = 0
	}
	return r
}
