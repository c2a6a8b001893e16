// Package platform is the HTTP client towards the platform, and the driver that runs the kernel's actions on it and
// turns its answers into events. The protocol is described in docs/platform-protocol.md.
package platform
