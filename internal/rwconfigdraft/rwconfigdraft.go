// Package rwconfigdraft is a configuration as its author wrote it, with the entries
// that have no effect on routers. Tools check it before it is published.
package rwconfigdraft

import "redwingworks.example/internal/rwrouteconfig"

// Draft is a configuration in the order in which it was written. Its routes may have
// weights that aren't positive, which routers ignore.
type Draft struct {
	Version  int64
	Limits   rwrouteconfig.Limits
	Routes   []rwrouteconfig.Route
	Services []rwrouteconfig.Service
	Accounts []Account
}

// Account is a client account with its keys, which are secret and must not be printed.
type Account struct {
	rwrouteconfig.Account
	Keys []string
}

// Config returns the configuration that routers use.
func (d *Draft) Config() *rwrouteconfig.Config {
	var routes []rwrouteconfig.Route
	for _, r := range d.Routes {
		var split []rwrouteconfig.Weight
		for _, w := range r.Split {
			if w.Weight > 0 {
				split = append(split, w)
			}
		}
		r.Split = split
		routes = append(routes, r)
	}
	keys := map[string]rwrouteconfig.Account{}
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			// A request without a key must not count as the account's.
			if k != "" {
				keys[k] = a.Account
			}
		}
	}
	out := rwrouteconfig.New(d.Version, d.Limits, routes, d.Services, keys)
	if len(d.Accounts) > 0 {
		out = out.WithKeysRequired()
	}
	return out
}
