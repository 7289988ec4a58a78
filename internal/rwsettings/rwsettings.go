// Package rwsettings reads the settings of a router from the environment and
// from flags. Flags take precedence.
package rwsettings

import (
	"crypto/tls"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/spf13/pflag"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Settings are the settings of a router.
type Settings struct {
	// Name is unique in the fleet and equal to the name of the VM record.
	Name string `env:"REDWING_NAME"`
	// Zone is the availability zone.
	Zone string `env:"REDWING_ZONE"`
	// Region is the region of the zone.
	Region string `env:"REDWING_REGION" envDefault:"main"`
	// Listen is the address for callers.
	Listen string `env:"REDWING_LISTEN"`
	// PeerListen is the address for other routers.
	PeerListen string `env:"REDWING_PEER"`
	// PeerAdvertise is the address under which other routers reach PeerListen,
	// if it differs, or empty.
	PeerAdvertise string `env:"REDWING_ADVERTISE"`
	// OpsListen is the address for operators.
	OpsListen string `env:"REDWING_OPS"`
	// Platform is the base URL of the platform service, with a trailing slash.
	Platform string `env:"REDWING_PLATFORM"`
	// FleetKey authenticates routers to each other; at least 16 bytes.
	FleetKey string `env:"REDWING_KEY"`
	// Seeds are peer addresses to join through, in addition to those of the VM
	// list.
	Seeds []string `env:"REDWING_SEEDS"`
	// Policy is "fleet", or "local" for the baseline in which routers don't
	// coordinate.
	Policy string `env:"REDWING_POLICY" envDefault:"fleet"`
	// Drain is how long a router stays reachable but not ready at shutdown, so
	// that the load balancer notices.
	Drain time.Duration `env:"REDWING_DRAIN" envDefault:"2s"`
	// Hold is how long after a start of the whole fleet calls with opaque
	// idempotency keys are answered with the outcome "unknown" instead of being
	// executed; 0 means the longest repeat window of any kind. A shorter time
	// is safe only if the fleet starts for the first time.
	Hold time.Duration `env:"REDWING_HOLD" envDefault:"0s"`
	// Cell is the number of upstreams per cell from which the number of cells
	// is computed. Hashing assigns the upstreams to cells, so one may have more.
	Cell int `env:"REDWING_CELL" envDefault:"4"`
	// PeerCert, PeerCertKey and PeerAuthority are PEM files for TLS between
	// routers. Either all or none must be set.
	PeerCert      string `env:"REDWING_PEER_CERT"`
	PeerCertKey   string `env:"REDWING_PEER_CERT_KEY"`
	PeerAuthority string `env:"REDWING_PEER_AUTHORITY"`
	// Cert and CertKey are PEM files for TLS with callers. Either both or none
	// must be set.
	Cert    string `env:"REDWING_CERT"`
	CertKey string `env:"REDWING_CERT_KEY"`
	// MaxConns and MaxRequests limit the concurrent connections and requests of
	// callers.
	MaxConns    int `env:"REDWING_MAX_CONNS" envDefault:"4096"`
	MaxRequests int `env:"REDWING_MAX_REQUESTS" envDefault:"8192"`
	// MemoryMB is the memory of the VM in units of 2^20 bytes, to which the router keeps
	// what callers make it hold; 0 sets no limit beside those of a single request.
	MemoryMB int `env:"REDWING_MEMORY_MB" envDefault:"0"`
	// BodyTimeout limits the time to receive a request body.
	BodyTimeout time.Duration `env:"REDWING_BODY_TIMEOUT" envDefault:"15s"`
}

const (
	minKeyBytes = 16
	// minMemoryMB leaves room for a few bodies beside the program itself.
	minMemoryMB = 64
)

// Load reads the settings from the environment.
func Load() (Settings, error) {
	s, err := env.ParseAs[Settings]()
	if err != nil {
		return s, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	return s, nil
}

// Flags adds a flag for each setting, with the current values as defaults.
func (s *Settings) Flags(f *pflag.FlagSet) {
	f.StringVar(&s.Name, "name", s.Name, "name of this router, as in its VM record")
	f.StringVar(&s.Zone, "zone", s.Zone, "availability zone")
	f.StringVar(&s.Region, "region", s.Region, "region of the zone")
	f.StringVar(&s.Listen, "listen", s.Listen, "address for callers")
	f.StringVar(&s.PeerListen, "peer", s.PeerListen, "address for other routers")
	f.StringVar(&s.PeerAdvertise, "advertise", s.PeerAdvertise, "peer address that other routers use, if it differs")
	f.StringVar(&s.OpsListen, "ops", s.OpsListen, "address for operators")
	f.StringVar(&s.Platform, "platform", s.Platform, "base URL of the platform service")
	f.StringVar(&s.FleetKey, "key", s.FleetKey, "key shared by all routers; prefer the environment")
	f.StringSliceVar(&s.Seeds, "seeds", s.Seeds, "peer addresses to join through")
	f.StringVar(&s.Policy, "policy", s.Policy, "fleet, or local for the baseline")
	f.DurationVar(&s.Drain, "drain", s.Drain, "time between not ready and closing connections at shutdown")
	f.DurationVar(&s.Hold, "hold", s.Hold, "time that idempotency keys are held when the whole fleet starts; 0 for the repeat time")
	f.IntVar(&s.Cell, "cell", s.Cell, "largest number of upstreams in a cell")
	f.StringVar(&s.PeerCert, "peer-cert", s.PeerCert, "PEM file with the certificate for other routers")
	f.StringVar(&s.PeerCertKey, "peer-cert-key", s.PeerCertKey, "PEM file with that certificate's key")
	f.StringVar(&s.PeerAuthority, "peer-authority", s.PeerAuthority, "PEM file with the certificate authority of all routers")
	f.StringVar(&s.Cert, "cert", s.Cert, "PEM file with the certificate for callers")
	f.StringVar(&s.CertKey, "cert-key", s.CertKey, "PEM file with the certificate's key")
	f.IntVar(&s.MaxConns, "max-conns", s.MaxConns, "largest number of callers' connections")
	f.IntVar(&s.MaxRequests, "max-requests", s.MaxRequests, "largest number of callers' concurrent requests")
	f.IntVar(&s.MemoryMB, "memory-mb", s.MemoryMB, "memory of the VM in MB, which bounds what callers make the router hold; 0 for no limit")
	f.DurationVar(&s.BodyTimeout, "body-timeout", s.BodyTimeout, "longest time to receive a request body")
}

// Check returns a fault that lists all invalid settings, or nil.
func (s *Settings) Check() error {
	var bad []string
	need := func(ok bool, what string) {
		if !ok {
			bad = append(bad, what)
		}
	}
	need(s.Name != "", "name is required")
	need(s.Zone != "", "zone is required")
	need(s.Region != "", "region is required")
	need(ipPort(s.Listen), "listen must be an IP address and a port")
	need(ipPort(s.PeerListen), "peer must be an IP address and a port")
	need(s.PeerAdvertise == "" || ipPort(s.PeerAdvertise), "advertise must be an IP address and a port")
	need(ipPort(s.OpsListen), "ops must be an IP address and a port")
	need(strings.HasPrefix(s.Platform, "http") && strings.HasSuffix(s.Platform, "/"), "platform must be an HTTP URL with a trailing slash")
	need(len(s.FleetKey) >= minKeyBytes, "key must have at least 16 bytes")
	need(s.Policy == "fleet" || s.Policy == "local", "policy must be fleet or local")
	need(s.Drain >= 0, "drain must not be negative")
	need(s.Hold >= 0, "hold must not be negative")
	need(s.Cell >= 1, "cell must be at least 1")
	need((s.PeerCert == "") == (s.PeerCertKey == "") && (s.PeerCert == "") == (s.PeerAuthority == ""),
		"peer-cert, peer-cert-key and peer-authority must be given together")
	need((s.Cert == "") == (s.CertKey == ""), "cert and cert-key must be given together")
	need(s.MaxConns >= 1, "max-conns must be at least 1")
	need(s.MaxRequests >= 1, "max-requests must be at least 1")
	need(s.MemoryMB == 0 || s.MemoryMB >= minMemoryMB, "memory-mb must be 0 or at least "+strconv.Itoa(minMemoryMB))
	need(s.BodyTimeout > 0, "body-timeout must be positive")
	for _, a := range s.Seeds {
		need(ipPort(a), "seed "+a+" must be an IP address and a port")
	}
	if len(bad) == 0 {
		return nil
	}
	return rwfault.New(rwcode.SettingsInvalid, strings.Join(bad, "; "))
}

// TLS returns the TLS configuration for callers, or nil if no certificate is
// set. It fails with SettingsInvalid if a file can't be loaded.
func (s *Settings) TLS() (*tls.Config, error) {
	if s.Cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.Cert, s.CertKey)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

func ipPort(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}

// PeerAddr returns the address that other routers use.
func (s *Settings) PeerAddr() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerListen
}
