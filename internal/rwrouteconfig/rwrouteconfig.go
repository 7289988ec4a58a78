// Package rwrouteconfig is the published configuration in the product's own terms:
// routes, services, limits and client accounts.
package rwrouteconfig

import (
	"sort"
	"strings"
	"time"

	"redwingworks.example/internal/rwrendezvous"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	Safe   Kind = iota // safe
	Unsafe             // unsafe
	Stream             // stream
)

// Route sends requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the final answer; zero means no bound.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream,
	// within which the answer is on time.
	Target time.Duration
	// MaxEventGap is the longest pause between events of an answer on time.
	MaxEventGap time.Duration
	// Urgency orders work; 0 is the most urgent.
	Urgency int
	// Split is never empty and its weights are positive.
	Split []Weight
	// MaxAttempts is the number of upstreams that one request may reach, at
	// least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable is whether a stream may go on at another upstream.
	Resumable bool
}

// Weight is a service's part of a route's requests.
type Weight struct {
	Service string
	Weight  int
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Services returns the services of the route, the one that serves the request
// with the identifier first. Equal identifiers give equal orders on every
// router.
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

// Service is a pool of upstreams that run the same requests.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// KVCapacity holds running requests and cached prompt parts, in tokens.
	KVCapacity int
	// TokenBytes is the size of one token of KV cache.
	TokenBytes int
	// LinkBitsPerSecond is the bandwidth between engines in bits a second.
	LinkBitsPerSecond float64
}

// Limits bound what callers send.
type Limits struct {
	// MaxBodyBytes and HeaderBytes are the largest body and head of a request,
	// IdleTimeout is how long a connection is kept without one. Zero means
	// that this router's own bounds apply alone.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Urgency replaces that of the route if it is not negative.
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
}

// New returns a plan. Routes of a host are matched longest prefix first.
func New(version int64, limits Limits, routes []Route, services []Service, keys map[string]Account) *Config {
	c := &Config{Version: version, Limits: limits, services: map[string]Service{}, hosts: map[string][]Route{}, keys: keys}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
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

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Account returns the account that holds a key.
func (c *Config) Account(key string) (Account, bool) {
	a, ok := c.keys[key]
	return a, ok
}

// RequiresKeys reports whether any account holds a key; without accounts, requests
// need none.
func (c *Config) RequiresKeys() bool { return len(c.keys) > 0 }
