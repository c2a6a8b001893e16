package placement

import "time"

const (
	// correctionGain is the smoothing factor of the moving averages. About 30 samples remove 95% of an error, so that
	// one bad or late sample changes little.
	correctionGain = 0.1
	// minRunTime is the time after the start of a job during which its usage is ignored, because a starting task uses
	// less than later.
	minRunTime = 5 * time.Second
)

// Estimator learns how used resources and run times differ from declared ones, separately for each class of jobs, such
// as the jobs of a team on one queue. The zero value returns the declared values.
type Estimator struct {
	classes map[string]*ratios
}

// ratios holds moving averages of observed to declared values.
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

// AddUsage adds a usage sample of a job that had run for the given time. Samples may arrive late, so they correct only
// the estimate of the class, never that of a running job.
func (e *Estimator) AddUsage(class string, declared, used Resources, ran time.Duration) {
	if ran < minRunTime {
		return
	}
	r := e.class(class)
	if declared.MilliProcessors > 0 {
		r.processors += correctionGain * (float64(used.MilliProcessors)/float64(declared.MilliProcessors) - r.processors)
	}
	if declared.MemoryMiB > 0 {
		r.memory += correctionGain * (float64(used.MemoryMiB)/float64(declared.MemoryMiB) - r.memory)
	}
}

// AddRunTime adds the run time of a finished job.
func (e *Estimator) AddRunTime(class string, declared, ran time.Duration) {
	if declared <= 0 {
		return
	}
	r := e.class(class)
	r.run += correctionGain * (float64(ran)/float64(declared) - r.run)
}

// CorrectedSize returns the resources that are reserved for a job. Processors are corrected to between half and twice
// the declared amount. Memory is only corrected upwards, to at most twice the declared amount, because a job with too
// little memory fails while one with too few processors is only slow.
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
