package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// diffPools returns the number of instances that move between each two pools, and the pools whose size changes.
func diffPools(a, b *Configuration) ([]Move, []SizeChange) {
	before := make(map[string]string, len(a.Instances))
	sizes := map[string]SizeChange{}
	for i := range a.Instances {
		in := &a.Instances[i]
		before[in.Name] = in.Pool
		s := sizes[in.Pool]
		s.Before++
		sizes[in.Pool] = s
	}
	counts := map[Move]int{}
	for i := range b.Instances {
		in := &b.Instances[i]
		if from, ok := before[in.Name]; ok && from != in.Pool {
			counts[Move{From: from, To: in.Pool}]++
		}
		s := sizes[in.Pool]
		s.After++
		sizes[in.Pool] = s
	}
	list := make([]Move, 0, len(counts))
	for m, n := range counts {
		list = append(list, Move{From: m.From, To: m.To, Instances: n})
	}
	slices.SortFunc(list, func(x, y Move) int {
		return cmp.Or(strings.Compare(x.From, y.From), strings.Compare(x.To, y.To))
	})
	changed := []SizeChange{}
	for _, name := range slices.Sorted(maps.Keys(sizes)) {
		if s := sizes[name]; s.Before != s.After {
			changed = append(changed, SizeChange{Pool: name, Before: s.Before, After: s.After})
		}
	}
	return list, changed
}

func diffShares(a, b *Configuration) []ShareChange {
	before, after := sharePercentages(a.Teams), sharePercentages(b.Teams)
	names := maps.Clone(before)
	maps.Copy(names, after)
	list := []ShareChange{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			list = append(list, ShareChange{Team: name, Before: before[name], After: after[name]})
		}
	}
	return list
}

// sharePercentages returns the share of each team in percent of all shares.
func sharePercentages(teams []Team) map[string]float64 {
	total := 0
	for _, t := range teams {
		total += t.Share
	}
	result := make(map[string]float64, len(teams))
	for _, t := range teams {
		if total > 0 {
			result[t.Name] = 100 * float64(t.Share) / float64(total)
		}
	}
	return result
}

// String returns the changes and their effects as text, one per line; it is empty when nothing differs.
func (d Difference) String() string {
	var w strings.Builder
	for _, c := range d.Changes {
		fmt.Fprintln(&w, c)
	}
	for _, m := range d.Moves {
		fmt.Fprintf(&w, "moves %d instances from pool %s to pool %s\n", m.Instances, m.From, m.To)
	}
	for _, s := range d.Sizes {
		fmt.Fprintf(&w, "pool %s changes from %d to %d instances\n", s.Pool, s.Before, s.After)
	}
	for _, s := range d.Shares {
		fmt.Fprintf(&w, "team %s changes from %.1f%% to %.1f%% of all shares\n", s.Team, s.Before, s.After)
	}
	return w.String()
}
