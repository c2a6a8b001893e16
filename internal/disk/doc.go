// Package disk implements the data directory of a voter. The directory contains the identity, the write-ahead log of
// the term, the vote and the entries, and the snapshots. All files are checksummed and synced, and one process at a
// time locks the directory.
//
// The log consists of numbered segments. Each segment begins with a header that repeats the hard state and the position
// of the newest snapshot, followed by one record per save. An entry replaces the earlier entry at its index and all
// entries after it.
package disk
