// Command harness plays the scripted cases of the review: it starts the project's own programs as separate processes
// on loopback addresses, plays clients, workers and the platform as small stand-ins that follow the users' pages, and
// checks what these have seen.
package main
