// Package follower is the client of the control group within a process. It finds the leader, follows the view stream,
// renews the configuration lease and publishes immutable views for the goroutines that serve traffic.
package follower
