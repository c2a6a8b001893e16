package placement

// Demand is what one team wants of a pool, running and waiting work together.
type Demand struct {
	// Weight is the team's share; values below 1 count as 1.
	Weight int
	// Amount is the sum over the team's jobs.
	Amount Resources
}

// MaxMin returns the part of its demand, from 0 to 1, that each team gets under weighted max-min fairness of dominant
// shares. Teams grow at the rate of their weights until their demand is met or a resource they need is used up.
func MaxMin(total Resources, demands []Demand) []float64 {
	kinds := func(r Resources) [4]float64 {
		return [4]float64{float64(r.MilliProcessors), float64(r.MemoryMiB), float64(r.Accelerators), float64(r.Slots)}
	}
	left := kinds(total)
	part := make([]float64, len(demands))
	rate := make([]float64, len(demands)) // growth of part per unit of level
	active := 0
	for i, d := range demands {
		if dominant := d.Amount.DominantShare(total); dominant > 0 {
			rate[i] = float64(max(1, d.Weight)) / dominant
			active++
		} else {
			part[i] = 1
		}
	}
	for active > 0 {
		var use [4]float64
		step := -1.0
		for i, d := range demands {
			if rate[i] == 0 {
				continue
			}
			for k, want := range kinds(d.Amount) {
				use[k] += want * rate[i]
			}
			if s := (1 - part[i]) / rate[i]; step < 0 || s < step {
				step = s
			}
		}
		full := -1
		for k := range use {
			if use[k] <= 0 {
				continue
			}
			if s := max(0, left[k]) / use[k]; s <= step {
				step, full = s, k
			}
		}
		for k := range use {
			left[k] -= use[k] * step
		}
		for i, d := range demands {
			if rate[i] == 0 {
				continue
			}
			part[i] += rate[i] * step
			if part[i] >= 1-1e-9 || full >= 0 && kinds(d.Amount)[full] > 0 {
				part[i], rate[i] = min(1, part[i]), 0
				active--
			}
		}
	}
	return part
}
