package placement

// Demand is the demand of a team for the resources of a pool, for running and waiting jobs together.
type Demand struct {
	// Weight is the weight of the team's share; values below 1 count as 1.
	Weight int
	// Amount is the sum of the resources of the team's jobs.
	Amount Resources
}

// MaxMin returns the fraction of its demand, from 0 to 1, that each team gets under weighted max-min fairness of
// dominant shares. The shares grow in proportion to the weights until a demand is met or a resource that the team needs
// is used up.
func MaxMin(total Resources, demands []Demand) []float64 {
	amounts := func(r Resources) [4]float64 {
		return [4]float64{float64(r.MilliProcessors), float64(r.MemoryMiB), float64(r.Accelerators), float64(r.Slots)}
	}
	available := amounts(total)
	fractions := make([]float64, len(demands))
	rate := make([]float64, len(demands)) // growth of the fraction per unit of weighted dominant share
	active := 0
	for i, d := range demands {
		if dominant := d.Amount.DominantShare(total); dominant > 0 {
			rate[i] = float64(max(1, d.Weight)) / dominant
			active++
		} else {
			fractions[i] = 1
		}
	}
	for active > 0 {
		var consumption [4]float64
		step := -1.0
		for i, d := range demands {
			if rate[i] == 0 {
				continue
			}
			for k, want := range amounts(d.Amount) {
				consumption[k] += want * rate[i]
			}
			if s := (1 - fractions[i]) / rate[i]; step < 0 || s < step {
				step = s
			}
		}
		exhausted := -1
		for k := range consumption {
			if consumption[k] <= 0 {
				continue
			}
			if s := max(0, available[k]) / consumption[k]; s <= step {
				step, exhausted = s, k
			}
		}
		for k := range consumption {
			available[k] -= consumption[k] * step
		}
		for i, d := range demands {
			if rate[i] == 0 {
				continue
			}
			fractions[i] += rate[i] * step
			if fractions[i] >= 1-1e-9 || exhausted >= 0 && amounts(d.Amount)[exhausted] > 0 {
				fractions[i], rate[i] = min(1, fractions[i]), 0
				active--
			}
		}
	}
	return fractions
}
