// Package platform contains the HTTP client of the platform, and the driver that executes the kernel's actions on the
// platform and reports the responses to the kernel as events. The protocol is described in docs/platform-protocol.md.
package platform
