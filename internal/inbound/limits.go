package inbound

import "syscall"

const (
	// byteShare is the share of the process's memory that clients may occupy. The soft memory limit of the Go runtime is at
	// 0.7 of the memory, so that almost half of it is left for the process itself.
	byteShare = 0.25
	// spareShare is the share of a limit from which on the gate makes room, so that what arrives until senders are gone
	// still fits.
	spareShare = 0.125
	// roomShare is the share of a limit that is made free at once, since the search for the senders looks at all
	// connections.
	roomShare = 0.0625
	// minReserve is the least number of descriptors that are kept for listeners, files and connections to other processes.
	minReserve = 32
)

// Limits bounds what clients occupy; 0 means no limit.
type Limits struct {
	// Bytes bounds what clients have sent and the process has not handled, with the buffers of their connections.
	Bytes int64
	// Connections bounds the open connections from clients.
	Connections int64
}

// NewLimits derives the limits from the memory of the process in MiB and the number of descriptors of which connections
// from clients may use the given share; 0 means that a resource is not limited.
func NewLimits(memoryMiB, descriptors int, share float64) Limits {
	l := Limits{Bytes: int64(byteShare * float64(memoryMiB) * (1 << 20))}
	if descriptors > 0 {
		n := int64(descriptors)
		l.Connections = max(min(int64(share*float64(n)), n-minReserve), 1)
	}
	return l
}

// Descriptors returns the number of descriptors that the process may open: the smaller one of the given number, unless it
// is 0, and the limit of the operating system.
func Descriptors(configured int) int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return configured // the operating system sets no limit
	}
	if configured <= 0 {
		return int(r.Cur)
	}
	return min(configured, int(r.Cur))
}

// threshold returns the use of a limit from which on the gate makes room.
func threshold(limit int64) int64 { return limit - int64(spareShare*float64(limit)) }

// excess returns how much has to become free if used is in use, of which leaving is about to become free: nothing
// below the threshold.
func excess(limit, used, leaving int64) int64 {
	if limit == 0 || used-leaving <= threshold(limit) {
		return 0
	}
	return used - leaving - threshold(limit) + int64(roomShare*float64(limit))
}
