package control

import "golang.org/x/sys/unix"

// bootTime returns nanoseconds on a steady clock that goes on while the machine is suspended.
func bootTime() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock; without it no order may count as confirmed.
		return 1<<63 - 1
	}
	return ts.Nano()
}
