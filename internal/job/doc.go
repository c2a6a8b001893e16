// Package job is the kernel plug-in that holds jobs: it accepts them, places them in the pool of their queue, divides a
// full pool between teams, and starts each non-idempotent job at most once.
package job
