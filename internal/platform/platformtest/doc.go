// Package platformtest contains a fake platform for tests and the demo only. It implements docs/platform-protocol.md
// with tasks that exist only in memory and end after a set time. It can drop responses, delay usage samples, fail every
// task of an instance, make an instance unreachable and make the reboot of an instance hang.
package platformtest
