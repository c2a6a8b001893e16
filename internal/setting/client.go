package setting

import (
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/internal/operator"
)

// Client holds the settings of the subcommands that call the operators' API.
type Client struct {
	Operators       []string `long:"operator" env:"HIBISCUSROUTE_OPERATORS" env-delim:"," default:"127.0.0.1:9402" description:"operator address (host:port or URL) of a process; repeatable, comma-separated in the environment"`
	OperatorKeyFile string   `long:"operator-key-file" env:"HIBISCUSROUTE_OPERATOR_KEY_FILE" description:"file with the bearer key of operators"`
	Deadline        string   `long:"deadline" env:"HIBISCUSROUTE_DEADLINE" default:"30s" description:"time for a call with all its resends"`
}

// Load checks the settings and builds the client; it fails with ErrFaults, which lists every fault.
func (c *Client) Load() (*operator.Client, error) {
	f := &faults{settingsType: reflect.TypeFor[Client]()}
	cfg := operator.ClientConfig{
		Key:     f.readKey("OperatorKeyFile", c.OperatorKeyFile),
		Timeout: f.parseDuration("Deadline", c.Deadline, 100*time.Millisecond, time.Hour),
	}
	for _, a := range c.Operators {
		host, ok := parseHost(a)
		if !ok {
			f.addFault("Operators", "must be host:port or an http or https URL, is %q", a)
			continue
		}
		ip, err := netip.ParseAddr(host)
		if local := host == "localhost" || err == nil && ip.IsLoopback(); !local && c.OperatorKeyFile == "" {
			f.addFault("OperatorKeyFile", "must be set, because the operator address %s is not on loopback", a)
		}
		cfg.Addresses = append(cfg.Addresses, a)
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return operator.NewClient(cfg)
}

// parseHost returns the host of an address in the form host:port or of an http or https URL.
func parseHost(address string) (string, bool) {
	if strings.Contains(address, "://") {
		u, err := url.Parse(address)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" {
			return "", false
		}
		return u.Hostname(), u.Hostname() != ""
	}
	host, port, err := net.SplitHostPort(address)
	return host, err == nil && host != "" && port != ""
}
