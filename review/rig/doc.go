// Command rig runs the processes of the deploy file on loopback addresses, with stand-ins for workers, the cloud and
// clients, and plays the scenario of a review case.
package main
