// Package timeline records the events of each process in a bounded buffer, with stamps (timestamps) of a hybrid logical
// clock, and merges the buffers of several processes into one timeline that marks where events are missing.
package timeline
