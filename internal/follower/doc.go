// Package follower is the side of a process that faces the control group: it finds the leader, follows the view stream,
// renews the configuration lease and publishes immutable views for the goroutines that serve traffic.
package follower
