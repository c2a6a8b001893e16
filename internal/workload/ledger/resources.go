package ledger

import "github.com/hibiscusroute/hibiscusroute/internal/workload/workloadpb"

// Resources is an amount of capacity, demand or allowance.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in MiB.
	Memory int64
	// Accelerators is a number of devices.
	Accelerators int64
}

// ResourcesOf converts a message, which may be nil.
func ResourcesOf(m *workloadpb.Resources) Resources {
	return Resources{CPU: m.GetCpu(), Memory: m.GetMemoryMib(), Accelerators: m.GetAccelerators()}
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns the amount for n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.Accelerators * int64(n)}
}

// Within reports whether r fits into limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPU <= limit.CPU && r.Memory <= limit.Memory && r.Accelerators <= limit.Accelerators
}

// WithinQuota reports whether r fits into an allowance, whose zero fields are unlimited.
func (r Resources) WithinQuota(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) && (limit.Memory == 0 || r.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// RequiredCapacity returns what a subtask of a step takes from the capacity of its worker. The processors of a step that fills come
// from what others leave unused.
func RequiredCapacity(s *workloadpb.Step) Resources {
	r := ResourcesOf(s.Need)
	if s.Fills {
		r.CPU = 0
	}
	return r
}
