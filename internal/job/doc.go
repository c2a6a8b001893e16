// Package job is the kernel plug-in for jobs. It accepts jobs, places them on instances of their queue's pool, divides
// a full pool between teams, and starts each non-idempotent job at most once.
package job
