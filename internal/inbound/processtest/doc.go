// Package processtest tests how the processes of the system bear clients that exceed the limits. The tests start real
// processes and measure their memory, so they are in a package of their own and run one at a time.
package processtest
