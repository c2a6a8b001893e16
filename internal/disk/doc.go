// Package disk is the data directory of a voter: its identity, the write-ahead log with term, vote and entries, and the
// snapshots. Everything is synced and checksummed, and the directory is locked by one process.
//
// The log consists of numbered segments. Each segment begins with a header that repeats the hard state and the position
// of the newest snapshot, and goes on with one record per save. An entry replaces the earlier entry with its index and
// all after that one.
package disk
