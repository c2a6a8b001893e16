package setting

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrFaults reports invalid settings; its message lists every fault on a line of its own.
var ErrFaults = errorx.NewNamespace("setting").NewType("faults")

// MinKeyLength is the minimum length in characters of a key in a key file: 32 characters of hexadecimal or base64 hold
// at least 128 random bits.
const MinKeyLength = 32

// faults collects the faults of a struct of settings.
type faults struct {
	settingsType reflect.Type
	lines        []string
}

// addFault records a fault of the field with the given Go name; the message names its flag and environment variable.
func (f *faults) addFault(field, format string, args ...any) {
	name := field
	if sf, ok := f.settingsType.FieldByName(field); ok {
		name = fmt.Sprintf("--%s (%s)", sf.Tag.Get("long"), sf.Tag.Get("env"))
	}
	f.lines = append(f.lines, name+": "+fmt.Sprintf(format, args...))
}

// err returns all recorded faults as one error, or nil if there are none.
func (f *faults) err() error {
	if len(f.lines) == 0 {
		return nil
	}
	return ErrFaults.New("%s", strings.Join(f.lines, "\n"))
}

// parseDuration parses a duration and records a fault unless it lies between low and high.
func (f *faults) parseDuration(field, text string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		f.addFault(field, "must be a duration such as 30s, is %q", text)
	} else if d < low || d > high {
		f.addFault(field, "must be between %v and %v, is %v", low, high, d)
	}
	return d
}

// parseAddress parses the address of a listener or peer; port 0, with which the system chooses the port, is accepted
// only on loopback, for tests.
func (f *faults) parseAddress(field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		f.addFault(field, "must be an IP address and port such as 192.0.2.1:9400 or [2001:db8::1]:9400, is %q", text)
	case a.Port() == 0 && !a.Addr().IsLoopback():
		f.addFault(field, "must have a port other than 0, is %q", text)
	}
	return a
}

// readKey reads a key from a file; it returns an empty key for an empty path.
func (f *faults) readKey(field, path string) string {
	if path == "" {
		return ""
	}
	data, err := os.ReadFile(path) //nolint:gosec // The path is a setting of the operator.
	if err != nil {
		f.addFault(field, "%v", err)
		return ""
	}
	key := strings.TrimSpace(string(data))
	if len(key) < MinKeyLength || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		f.addFault(field, "%s must hold one line of at least %d printable ASCII characters without spaces", path,
			MinKeyLength)
	}
	return key
}
