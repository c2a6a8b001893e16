package claim

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/hibiscusroute/hibiscusroute/internal/claim/claimpb"
)

// bucketSpanMillis is the range of ID times in one bucket. Expired claims are dropped by bucket, and a copy sorts one
// bucket for each chunk, which is 10,000 claims at 1,000 claims per second.
const bucketSpanMillis = 10_000

// claimKey is the key of a claim in a table.
type claimKey struct {
	id   requestID
	team uint32 // index into teamNames
}

// table holds the claims in memory, in buckets by ID time. Nearly every request ID has one holder; only a transfer can
// add more.
type table struct {
	teamNames    []string
	teamIndexes  map[string]uint32
	buckets      map[int64]map[claimKey]claimToken
	extraHolders map[claimKey][]claimToken
	count        int
}

func newTable() *table {
	return &table{
		teamIndexes: map[string]uint32{}, buckets: map[int64]map[claimKey]claimToken{},
		extraHolders: map[claimKey][]claimToken{},
	}
}

// key returns the key of a claim and adds the team to the table if it is new.
func (t *table) key(team string, id requestID) claimKey {
	n, ok := t.teamIndexes[team]
	if !ok {
		n = uint32(len(t.teamNames))
		t.teamNames = append(t.teamNames, team)
		t.teamIndexes[team] = n
	}
	return claimKey{id: id, team: n}
}

// holders returns the tokens of all claims of a key.
func (t *table) holders(k claimKey) []claimToken {
	first, ok := t.buckets[k.id.unixMilli()/bucketSpanMillis][k]
	if !ok {
		return nil
	}
	return append([]claimToken{first}, t.extraHolders[k]...)
}

// add adds a token to the holders of a key.
func (t *table) add(k claimKey, token claimToken) {
	n := k.id.unixMilli() / bucketSpanMillis
	bucket := t.buckets[n]
	if bucket == nil {
		bucket = map[claimKey]claimToken{}
		t.buckets[n] = bucket
	}
	first, ok := bucket[k]
	switch {
	case !ok:
		bucket[k] = token
		t.count++
	case first != token && !slices.Contains(t.extraHolders[k], token):
		t.extraHolders[k] = append(t.extraHolders[k], token)
	}
}

// remove removes a token from the holders of a key and reports whether it was one of them.
func (t *table) remove(k claimKey, token claimToken) bool {
	left := t.holders(k)
	i := slices.Index(left, token)
	if i < 0 {
		return false
	}
	left = slices.Delete(left, i, i+1)
	delete(t.extraHolders, k)
	if len(left) == 0 {
		delete(t.buckets[k.id.unixMilli()/bucketSpanMillis], k)
		t.count--
		return true
	}
	t.buckets[k.id.unixMilli()/bucketSpanMillis][k] = left[0]
	if len(left) > 1 {
		t.extraHolders[k] = left[1:]
	}
	return true
}

// dropBelow drops the buckets that lie completely below the floor.
func (t *table) dropBelow(floor int64) {
	for n, bucket := range t.buckets {
		if (n+1)*bucketSpanMillis <= floor {
			t.count -= len(bucket)
			delete(t.buckets, n)
		}
	}
	for k := range t.extraHolders {
		if _, ok := t.buckets[k.id.unixMilli()/bucketSpanMillis]; !ok {
			delete(t.extraHolders, k)
		}
	}
}

// position is a position in the order of a copy. It contains the name of the team, because the index of a team may
// change if the sender restarts between two chunks.
type position struct {
	bucketNumber int64
	id           requestID
	team         string
}

// decodePosition decodes a position. It returns false for the empty position at the start of a copy.
func decodePosition(data []byte) (position, bool) {
	if len(data) < 8+idSize {
		return position{}, false
	}
	return position{
		bucketNumber: int64(binary.BigEndian.Uint64(data)),
		id:           requestID(data[8 : 8+idSize]),
		team:         string(data[8+idSize:]),
	}, true
}

func (t *table) encodePosition(bucket int64, k claimKey) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(bucket))
	data = append(data, k.id[:]...)
	return append(data, t.teamNames[k.team]...)
}

// keysAfter returns the keys of the first bucket that has any after an encoded position, unordered, and the number of
// that bucket. A copy receives each key that stays in the table meanwhile exactly once.
func (t *table) keysAfter(encoded []byte) (keys []claimKey, bucket int64) {
	start, resumed := decodePosition(encoded)
	bucketNumbers := make([]int64, 0, len(t.buckets))
	for n := range t.buckets {
		if n >= start.bucketNumber {
			bucketNumbers = append(bucketNumbers, n)
		}
	}
	slices.Sort(bucketNumbers)
	for _, n := range bucketNumbers {
		for k := range t.buckets[n] {
			if n > start.bucketNumber || !resumed ||
				cmp.Or(bytes.Compare(k.id[:], start.id[:]), cmp.Compare(t.teamNames[k.team], start.team)) > 0 {
				keys = append(keys, k)
			}
		}
		if len(keys) > 0 {
			return keys, n
		}
	}
	return nil, 0
}

// compareKeys compares keys of one bucket in the order of a copy.
func (t *table) compareKeys(a, b claimKey) int {
	return cmp.Or(bytes.Compare(a.id[:], b.id[:]), cmp.Compare(t.teamNames[a.team], t.teamNames[b.team]))
}

// entries returns the claims of the keys.
func (t *table) entries(keys []claimKey) []*claimpb.Entry {
	var list []*claimpb.Entry
	for _, k := range keys {
		for _, token := range t.holders(k) {
			list = append(list, &claimpb.Entry{
				Team: t.teamNames[k.team], Id: bytes.Clone(k.id[:]), Token: bytes.Clone(token[:]),
			})
		}
	}
	return list
}
