// Command drill plays the scripted cases of the third review: it starts the processes of the deploy file on loopback
// addresses, with stand-ins for workers, the cloud, the operator and clients, and checks one rule for each case.
package main
