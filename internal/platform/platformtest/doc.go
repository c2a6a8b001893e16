// Package platformtest is a stand-in for the platform, for tests and the demo only. It follows
// docs/platform-protocol.md with fake tasks in memory that end after a given time; nothing real is run. It can be told
// to lose answers, to delay usage samples, to fail every task of a worker, to lose an instance, and to never return an
// instance from a reboot.
package platformtest
