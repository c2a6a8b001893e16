package interference

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxKinds bounds the kinds that are told apart, so that a set of them is one machine word.
	maxKinds = 64
	// kindIdleTime is how long a kind must not have been seen before another one may take its place.
	kindIdleTime = 30 * time.Second
	// kindRetryDelay is how long no further kind is added after there was no place for one.
	kindRetryDelay = time.Second
)

// Set is a set of kinds, one bit for each.
type Set uint64

// each calls f with the index of each kind of the set.
func (s Set) each(f func(index int)) {
	for ; s != 0; s &= s - 1 {
		f(bits.TrailingZeros64(uint64(s)))
	}
}

// Kind is a kind of tasks. A nil Kind is one that there was no place for.
type Kind struct {
	name string
	// index is -1 once another kind has taken the place.
	index  int
	window time.Duration
	seenAt time.Duration
	values samples
	// typical is the median of the values, 0 as long as there are too few.
	typical float64
}

// Name returns the name of the kind.
func (k *Kind) Name() string { return k.name }

// Set returns the set with only the kind, which is empty if the kind has no place any more.
func (k *Kind) Set() Set {
	if k == nil || k.index < 0 {
		return 0
	}
	return 1 << k.index
}

// addValue adds a measurement to the typical value.
func (k *Kind) addValue(m sample) {
	k.values.add(m)
	if list := k.values.since(m.at - k.window); len(list) >= minSamples {
		k.typical = quantile(values(list), 0.5)
	}
}

// Kind returns the kind with a name, which it adds if there is a place. A kind is volatile if its effects change within
// seconds.
func (t *Table) Kind(now time.Duration, name string, volatile bool) *Kind {
	if k := t.byName[name]; k != nil {
		k.seenAt = now
		return k
	}
	if now < t.fullUntil {
		return nil
	}
	i := slices.Index(t.kinds[:], nil)
	if i < 0 {
		i = t.evictIdleKind(now)
	}
	if i < 0 {
		t.fullUntil = now + kindRetryDelay
		return nil
	}
	k := &Kind{name: name, index: i, window: stableWindow, seenAt: now}
	if volatile {
		k.window = volatileWindow
	}
	t.kinds[i], t.byName[name] = k, k
	return k
}

// evictIdleKind removes the kind that was not seen for the longest time, and returns its index, -1 if all were seen of late.
func (t *Table) evictIdleKind(now time.Duration) int {
	oldest := slices.MinFunc(t.kinds[:], func(a, b *Kind) int { return int(a.seenAt - b.seenAt) })
	if now-oldest.seenAt < kindIdleTime {
		return -1
	}
	i := oldest.index
	for j := range maxKinds {
		t.remove(now, i, j, "evicted")
		t.remove(now, j, i, "evicted")
	}
	delete(t.byName, oldest.name)
	oldest.index, t.kinds[i] = -1, nil
	return i
}
