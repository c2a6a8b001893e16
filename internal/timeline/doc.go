// Package timeline records what happened in each process in a bounded buffer, stamped by a hybrid logical clock, and
// merges the buffers of several processes into one timeline that shows where events are missing.
package timeline
