// Package rwrouteconfig is the published configuration, independent of the
// platform's format: routes, services, limits and client accounts.
package rwrouteconfig

import (
	"sort"
	"strings"
	"time"

	"redwingworks.example/internal/rwrendezvous"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind determines whether requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	Safe   Kind = iota // safe
	Unsafe             // unsafe
	Stream             // stream
)

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the complete response; zero means no bound.
	Timeout time.Duration
	// Target is the latency target for the response, or for the first event of
	// a stream.
	Target time.Duration
	// MaxEventGap is the target for the time between two events of a stream.
	MaxEventGap time.Duration
	// Urgency is the priority of the requests; 0 is the most urgent.
	Urgency int
	// Split is never empty and its weights are positive.
	Split []Weight
	// MaxAttempts is the number of upstreams that may run one request, at least
	// 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable is whether a broken stream may be resumed on another upstream.
	Resumable bool
}

// Weight is a service's share of a route's requests.
type Weight struct {
	Service string
	Weight  int
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Services returns the services of the route, starting with the one selected
// for the request id. All routers return the same order for an id.
func (r *Route) Services(id string) []string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	pick := int(rwrendezvous.Score(id, r.Name) % uint64(max(total, 1)))
	out := make([]string, 0, len(r.Split))
	for _, w := range r.Split {
		if pick >= 0 && pick < w.Weight {
			out = append([]string{w.Service}, out...)
		} else {
			out = append(out, w.Service)
		}
		pick -= w.Weight
	}
	return out
}

// Service is a pool of interchangeable upstreams.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdStart is how long an upstream stays cold after it starts.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold upstream
	// bears, or 0 if cold upstreams get as many as warm ones.
	ColdPerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacity is the number of tokens for running requests and cached prompt
	// parts.
	KVCapacity int
	// TokenBytes is the KV cache size of one token.
	TokenBytes int
	// LinkBitsPerSecond is the bandwidth between engines.
	LinkBitsPerSecond float64
}

// Limits bounds what callers send.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes are the largest body and head of a
	// request; IdleTimeout is how long an idle connection is kept. Zero means
	// that only the router's own bounds apply.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Urgency replaces that of the route unless it is negative.
	Urgency int
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version increases with each published change.
	Version  int64
	Limits   Limits
	services map[string]Service
	hosts    map[string][]Route
	keys     map[string]Account
	// keysRequired is whether there are accounts. It doesn't follow from the keys:
	// accounts of which the last key was withdrawn accept nobody.
	keysRequired bool
	// longestStream is 0 if a route with streams has no timeout.
	longestStream time.Duration
}

// New returns a configuration, which requires keys if it has any. The routes of a host
// are matched longest prefix first.
func New(version int64, limits Limits, routes []Route, services []Service, keys map[string]Account) *Config {
	c := &Config{Version: version, Limits: limits, services: map[string]Service{}, hosts: map[string][]Route{}, keys: keys, keysRequired: len(keys) > 0}
	for _, s := range services {
		c.services[s.Name] = s
	}
	bounded := true
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		if r.Kind == Stream {
			c.longestStream = max(c.longestStream, r.Timeout)
			bounded = bounded && r.Timeout > 0
		}
	}
	if !bounded {
		c.longestStream = 0
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	list := c.hosts[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}

// LongestStream returns the longest timeout of the routes with streams, or 0 if
// one of them has none.
func (c *Config) LongestStream() time.Duration { return c.longestStream }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Account returns the account that a key belongs to.
func (c *Config) Account(key string) (Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// WithKeysRequired returns the configuration with accounts, which may have no keys.
func (c *Config) WithKeysRequired() *Config {
	out := *c
	out.keysRequired = true
	return &out
}

// RequiresKeys reports whether there are accounts; without any, requests need no key.
// If no account has a key, no request on a route that isn't public is accepted.
func (c *Config) RequiresKeys() bool { return c.keysRequired }
