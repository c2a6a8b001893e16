// Package key implements the kernel plug-in that holds the hashes of the keys with which teams authenticate requests.
package key
