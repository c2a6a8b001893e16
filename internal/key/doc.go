// Package key is the kernel plug-in that holds the hashes of the keys with which teams hand in work.
package key
