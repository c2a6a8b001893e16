// Package configuration implements the kernel plug-in that holds the operators' configuration document and its version.
package configuration
