package interference

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many samples are kept of each sort.
	maxSamples = 24
	// minSamples is how many samples with the other kind a pair needs to count, and minBaseline how many without it. With 8 of
	// these, run times that vary between 0.2 and 1.7 s by nature gave pairs by chance.
	minSamples  = 8
	minBaseline = 12
)

// sample is a measurement of a run.
type sample struct {
	at     time.Duration
	worker uint64
	group  uint64 // 0 if the sample is independent of all others
	value  float64
}

// samples holds the latest measurements.
type samples struct {
	list [maxSamples]sample
	n    int // number of samples that were ever added
}

// add adds a sample, unless there is one of its group. The run times of the tasks of a job are alike, so that one large job
// would pass for an effect.
func (s *samples) add(m sample) {
	if m.group != 0 && slices.ContainsFunc(s.list[:min(s.n, maxSamples)], func(o sample) bool { return o.group == m.group }) {
		return
	}
	s.list[s.n%maxSamples] = m
	s.n++
}

// newest returns when the last sample was added, 0 if there is none.
func (s *samples) newest() time.Duration {
	if s.n == 0 {
		return 0
	}
	return s.list[(s.n-1)%maxSamples].at
}

// since returns the samples that are not older than a time, the latest ones first.
func (s *samples) since(at time.Duration) []sample {
	var list []sample
	for i := s.n - 1; i >= max(s.n-maxSamples, 0) && s.list[i%maxSamples].at >= at; i-- {
		list = append(list, s.list[i%maxSamples])
	}
	return list
}

func values(list []sample) []float64 {
	out := make([]float64, len(list))
	for i, m := range list {
		out[i] = m.value
	}
	return out
}

// quantile returns a quantile of values, which it sorts.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1)+0.5)]
}

// votes returns for each worker with samples the ratio of their median to the baseline: the median of the other samples on
// that worker, or on all if it has few. A worker counts once, however many samples it has.
func votes(with, without []sample) []float64 {
	all := quantile(values(without), 0.5)
	byWorker, others := groupByWorker(with), groupByWorker(without)
	var list []float64
	for w, m := range byWorker {
		baseline := all
		if len(others[w]) >= minSamplesOfWorker {
			baseline = quantile(others[w], 0.5)
		}
		list = append(list, quantile(m, 0.5)/baseline)
	}
	return list
}

func groupByWorker(list []sample) map[uint64][]float64 {
	m := map[uint64][]float64{}
	for _, s := range list {
		m[s.worker] = append(m[s.worker], s.value)
	}
	return m
}
