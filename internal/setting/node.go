package setting

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/hibiscusroute/hibiscusroute/pkg/fleet"
)

const (
	// minMemoryMiB is twice the memory of an idle process.
	minMemoryMiB = 48
	// minDescriptors leaves a process 64 connections of clients.
	minDescriptors = 128
)

// Node holds the settings of a process as text; Load checks them.
type Node struct {
	Name             string   `long:"name" env:"HIBISCUSROUTE_NAME" description:"name of the process, unique and in kebab case"`
	AvailabilityZone string   `long:"availability-zone" env:"HIBISCUSROUTE_AVAILABILITY_ZONE" description:"availability zone of the process"`
	Caller           string   `long:"caller-address" env:"HIBISCUSROUTE_CALLER_ADDRESS" default:"127.0.0.1:9400" description:"IP address and port that serve callers"`
	Endpoint         string   `long:"endpoint-address" env:"HIBISCUSROUTE_ENDPOINT_ADDRESS" default:"127.0.0.1:9401" description:"IP address and port that take announcements of endpoints"`
	Operator         string   `long:"operator-address" env:"HIBISCUSROUTE_OPERATOR_ADDRESS" default:"127.0.0.1:9402" description:"IP address and port that serve operators"`
	Peer             string   `long:"peer-address" env:"HIBISCUSROUTE_PEER_ADDRESS" default:"127.0.0.1:9403" description:"IP address and port that serve other processes"`
	Voter            bool     `long:"voter" env:"HIBISCUSROUTE_VOTER" description:"join the control group"`
	DataDirectory    string   `long:"data-directory" env:"HIBISCUSROUTE_DATA_DIRECTORY" description:"directory of the control state on a local disk"`
	Bootstrap        bool     `long:"bootstrap" env:"HIBISCUSROUTE_BOOTSTRAP" description:"found a new control group; set it for one start of one voter only"`
	Join             []string `long:"join" env:"HIBISCUSROUTE_JOIN" env-delim:"," description:"peer address of a running process; repeatable, comma-separated in the environment"`
	OperatorKeyFile  string   `long:"operator-key-file" env:"HIBISCUSROUTE_OPERATOR_KEY_FILE" description:"file with the bearer key of operators"`
	EndpointKeyFile  string   `long:"endpoint-key-file" env:"HIBISCUSROUTE_ENDPOINT_KEY_FILE" description:"file with the bearer key of endpoints"`
	TLSCertificate   string   `long:"tls-certificate" env:"HIBISCUSROUTE_TLS_CERTIFICATE" description:"PEM file with the certificate for peers, valid for the peer address"`
	TLSKey           string   `long:"tls-key" env:"HIBISCUSROUTE_TLS_KEY" description:"PEM file with the private key of the certificate"`
	TLSAuthority     string   `long:"tls-authority" env:"HIBISCUSROUTE_TLS_AUTHORITY" description:"PEM file with the authorities that sign certificates of peers"`
	Platform         string   `long:"platform-url" env:"HIBISCUSROUTE_PLATFORM_URL" description:"URL of the platform; empty for none"`
	ShutdownWait     string   `long:"shutdown-wait" env:"HIBISCUSROUTE_SHUTDOWN_WAIT" default:"10s" description:"time between failing the readiness check and closing the listeners"`
	MemoryMiB        int      `long:"memory-mib" env:"HIBISCUSROUTE_MEMORY_MIB" default:"0" description:"memory of the process in MiB, of which clients may occupy a quarter; 0 for no limit but 64 MiB for what clients send"`
	Descriptors      int      `long:"max-file-descriptors" env:"HIBISCUSROUTE_MAX_FILE_DESCRIPTORS" default:"0" description:"number of file descriptors of the process, of which clients may use half; 0 for the limit of the operating system"`
	Log              Log      `group:"Logging"`
}

// Process holds the checked settings of a process.
type Process struct {
	Name             string
	AvailabilityZone string
	// Caller, Endpoint, Operator and Peer are the addresses to listen on.
	Caller, Endpoint, Operator, Peer netip.AddrPort
	Voter                            bool
	DataDirectory                    string
	Bootstrap                        bool
	Join                             []netip.AddrPort
	// OperatorKey and EndpointKey are bearer keys; they may be empty when the addresses are on loopback.
	OperatorKey, EndpointKey string
	// TLS is the configuration for mutual TLS between peers; it may be nil when the peer address is on loopback.
	TLS *tls.Config
	// Platform is nil when no platform is set.
	Platform     *url.URL
	ShutdownWait time.Duration
	// MemoryMiB and Descriptors are the limits of the process; 0 means no limit of the memory, and that of the operating
	// system for the number of descriptors.
	MemoryMiB, Descriptors int
}

// Load checks the settings and reads the files to which they refer; it fails with ErrFaults, which lists every fault.
func (n *Node) Load() (*Process, error) {
	f := &faults{settingsType: reflect.TypeFor[Node]()}
	p := &Process{
		Name: n.Name, AvailabilityZone: n.AvailabilityZone, Voter: n.Voter, DataDirectory: n.DataDirectory,
		Bootstrap: n.Bootstrap, MemoryMiB: n.MemoryMiB, Descriptors: n.Descriptors,
		ShutdownWait: f.parseDuration("ShutdownWait", n.ShutdownWait, 0, 10*time.Minute),
		OperatorKey:  f.readKey("OperatorKeyFile", n.OperatorKeyFile),
		EndpointKey:  f.readKey("EndpointKeyFile", n.EndpointKeyFile),
	}
	if !fleet.ValidName(n.Name) {
		f.addFault("Name", "must be kebab case and at most %d bytes long, is %q", fleet.MaxName, n.Name)
	}
	if !fleet.ValidName(n.AvailabilityZone) {
		f.addFault("AvailabilityZone", "must be kebab case and at most %d bytes long, is %q", fleet.MaxName,
			n.AvailabilityZone)
	}
	if n.MemoryMiB != 0 && n.MemoryMiB < minMemoryMiB {
		f.addFault("MemoryMiB", "must be 0 or at least %d, is %d", minMemoryMiB, n.MemoryMiB)
	}
	if n.Descriptors != 0 && n.Descriptors < minDescriptors {
		f.addFault("Descriptors", "must be 0 or at least %d, is %d", minDescriptors, n.Descriptors)
	}
	n.checkAddresses(f, p)
	n.checkControlGroup(f, p)
	n.loadTLS(f, p)
	if n.Platform != "" {
		u, err := url.Parse(n.Platform)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			f.addFault("Platform", "must be an http or https URL, is %q", n.Platform)
		}
		p.Platform = u
	}
	n.Log.check(f)
	return p, f.err()
}

// checkAddresses checks the addresses of the listeners and of the processes to join, and copies them to p.
func (n *Node) checkAddresses(f *faults, p *Process) {
	listenerByAddress := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field, text string
		to          *netip.AddrPort
	}{
		{"Caller", n.Caller, &p.Caller}, {"Endpoint", n.Endpoint, &p.Endpoint},
		{"Operator", n.Operator, &p.Operator}, {"Peer", n.Peer, &p.Peer},
	} {
		a := f.parseAddress(l.field, l.text)
		*l.to = a
		if a.Port() == 0 {
			continue
		}
		if other, ok := listenerByAddress[a]; ok {
			f.addFault(l.field, "must differ from the address for the %s listener", other)
		}
		listenerByAddress[a] = strings.ToLower(l.field)
	}
	if isExposed(p.Operator) && n.OperatorKeyFile == "" {
		f.addFault("OperatorKeyFile", "must be set, because the operator address %v is not on loopback", p.Operator)
	}
	if isExposed(p.Endpoint) && n.EndpointKeyFile == "" {
		f.addFault("EndpointKeyFile", "must be set, because the endpoint address %v is not on loopback", p.Endpoint)
	}
	if p.Peer.IsValid() && p.Peer.Addr().IsUnspecified() {
		f.addFault("Peer", "must be the address at which other processes reach this one, is %v", p.Peer)
	}
	for _, text := range n.Join {
		a := f.parseAddress("Join", text)
		if a.IsValid() && a == p.Peer {
			f.addFault("Join", "must name another process, %v is the peer address of this one", a)
		}
		p.Join = append(p.Join, a)
	}
}

// isExposed reports whether the address is valid and not on loopback.
func isExposed(a netip.AddrPort) bool { return a.IsValid() && !a.Addr().IsLoopback() }

// checkControlGroup checks the settings by which the process finds its control group. A voter with stored state needs
// no address to join, because the state contains the other members.
func (n *Node) checkControlGroup(f *faults, p *Process) {
	if n.Voter && n.DataDirectory == "" {
		f.addFault("DataDirectory", "must be set for a voter")
	}
	if n.Bootstrap && !n.Voter {
		f.addFault("Bootstrap", "is for voters only")
	}
	if n.Bootstrap && len(p.Join) > 0 {
		f.addFault("Bootstrap", "must not be set together with --join: a process founds a group or joins one")
	}
	if n.Bootstrap || len(p.Join) > 0 {
		return
	}
	if !n.Voter {
		f.addFault("Join", "must name at least one process for a process that is no voter")
	} else if entries, err := os.ReadDir(n.DataDirectory); n.DataDirectory != "" && (err != nil || len(entries) == 0) {
		f.addFault("Join", "must name at least one process, because the data directory %s holds no state; "+
			"to found a new group set --bootstrap", n.DataDirectory)
	}
}

// loadTLS builds the TLS configuration for peers. The three files are required when the peer address is not on
// loopback; on loopback either all of them are set or none.
func (n *Node) loadTLS(f *faults, p *Process) {
	missing := false
	for _, s := range []struct{ field, path string }{
		{"TLSCertificate", n.TLSCertificate}, {"TLSKey", n.TLSKey}, {"TLSAuthority", n.TLSAuthority},
	} {
		if s.path != "" {
			continue
		}
		missing = true
		if isExposed(p.Peer) {
			f.addFault(s.field, "must be set, because the peer address %v is not on loopback", p.Peer)
		} else if n.TLSCertificate+n.TLSKey+n.TLSAuthority != "" {
			f.addFault(s.field, "must be set together with the other TLS files")
		}
	}
	if missing {
		return
	}
	pair, err := tls.LoadX509KeyPair(n.TLSCertificate, n.TLSKey)
	if err != nil {
		f.addFault("TLSCertificate", "%v", err)
	}
	authorities := x509.NewCertPool()
	if data, err := os.ReadFile(n.TLSAuthority); err != nil {
		f.addFault("TLSAuthority", "%v", err)
	} else if !authorities.AppendCertsFromPEM(data) {
		f.addFault("TLSAuthority", "%s holds no PEM certificate", n.TLSAuthority)
	}
	p.TLS = &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: authorities, ClientCAs: authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}
