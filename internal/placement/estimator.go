package placement

import "time"

const (
	// gain is the part of the difference that one sample corrects: about 30 samples take out 95% of an error, so that
	// one bad or late sample changes little.
	gain = 0.1
	// warmUp is ignored at the start of a job, because a starting task uses less than it will.
	warmUp = 5 * time.Second
)

// Estimator learns by class, such as a team's jobs on one queue, how real sizes and run times differ from declared
// ones. The zero value trusts the declarations.
type Estimator struct {
	classes map[string]*ratios
}

type ratios struct {
	processors, memory, run float64
}

func (e *Estimator) class(name string) *ratios {
	if e.classes == nil {
		e.classes = map[string]*ratios{}
	}
	r, ok := e.classes[name]
	if !ok {
		r = &ratios{processors: 1, memory: 1, run: 1}
		e.classes[name] = r
	}
	return r
}

// AddUsage takes a usage sample that was taken when the job had run for the given time. Samples may come late, so only
// the class is corrected, never one running job.
func (e *Estimator) AddUsage(class string, declared, used Resources, ran time.Duration) {
	if ran < warmUp {
		return
	}
	r := e.class(class)
	if declared.MilliProcessors > 0 {
		r.processors += gain * (float64(used.MilliProcessors)/float64(declared.MilliProcessors) - r.processors)
	}
	if declared.MemoryMiB > 0 {
		r.memory += gain * (float64(used.MemoryMiB)/float64(declared.MemoryMiB) - r.memory)
	}
}

// AddRunTime takes the run time of a finished job.
func (e *Estimator) AddRunTime(class string, declared, ran time.Duration) {
	if declared <= 0 {
		return
	}
	r := e.class(class)
	r.run += gain * (float64(ran)/float64(declared) - r.run)
}

// CorrectedSize returns what a job is charged. Processors are corrected between half and twice the declared amount. Memory is
// corrected upwards only, because a job that gets too little memory fails while one with too few processors is slow.
func (e *Estimator) CorrectedSize(class string, declared Resources) Resources {
	r, ok := e.classes[class]
	if !ok {
		return declared
	}
	declared.MilliProcessors = int64(float64(declared.MilliProcessors) * min(2, max(0.5, r.processors)))
	declared.MemoryMiB = int64(float64(declared.MemoryMiB) * min(2, max(1, r.memory)))
	return declared
}

// CorrectedRunTime returns the expected run time of a job.
func (e *Estimator) CorrectedRunTime(class string, declared time.Duration) time.Duration {
	r, ok := e.classes[class]
	if !ok {
		return declared
	}
	return time.Duration(float64(declared) * r.run)
}
