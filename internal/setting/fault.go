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

// ErrFaults reports settings that can't be used; its message lists every fault on a line of its own.
var ErrFaults = errorx.NewNamespace("setting").NewType("faults")

// MinKey is the shortest key in characters that is accepted from a key file: 32 characters of hexadecimal or base64 hold
// at least 128 random bits.
const MinKey = 32

// faults collects what is wrong with a struct of settings.
type faults struct {
	settings reflect.Type
	lines    []string
}

// add reports a fault of the field with the given Go name, under its flag and its environment variable.
func (f *faults) add(field, format string, args ...any) {
	name := field
	if sf, ok := f.settings.FieldByName(field); ok {
		name = fmt.Sprintf("--%s (%s)", sf.Tag.Get("long"), sf.Tag.Get("env"))
	}
	f.lines = append(f.lines, name+": "+fmt.Sprintf(format, args...))
}

func (f *faults) err() error {
	if len(f.lines) == 0 {
		return nil
	}
	return ErrFaults.New("%s", strings.Join(f.lines, "\n"))
}

func (f *faults) duration(field, text string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		f.add(field, "must be a duration such as 30s, is %q", text)
	} else if d < low || d > high {
		f.add(field, "must be between %v and %v, is %v", low, high, d)
	}
	return d
}

// address reads a listener or peer address; port 0, which lets the system choose, is for tests on loopback.
func (f *faults) address(field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		f.add(field, "must be an IP address and port such as 192.0.2.1:9400 or [2001:db8::1]:9400, is %q", text)
	case a.Port() == 0 && !a.Addr().IsLoopback():
		f.add(field, "must have a port other than 0, is %q", text)
	}
	return a
}

// key reads the key from a file; an empty path is no key.
func (f *faults) key(field, path string) string {
	if path == "" {
		return ""
	}
	data, err := os.ReadFile(path) //nolint:gosec // The path is a setting of the operator.
	if err != nil {
		f.add(field, "%v", err)
		return ""
	}
	key := strings.TrimSpace(string(data))
	if len(key) < MinKey || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		f.add(field, "%s must hold one line of at least %d printable ASCII characters without spaces", path, MinKey)
	}
	return key
}
