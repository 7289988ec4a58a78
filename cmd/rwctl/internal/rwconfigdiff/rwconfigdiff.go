// Package rwconfigdiff compares two configurations of the front router.
package rwconfigdiff

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"redwingworks.example/internal/rwconfigdraft"
	"redwingworks.example/internal/rwrouteconfig"
)

// Change is one difference between two configurations. It never holds a key.
type Change struct {
	// Place is the kind of entry and its quoted name, such as `route "r"`.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// String returns the change as a line of text.
func (c Change) String() string { return c.Place + ": " + c.Text }

// New returns what changes from one configuration to another, by version, route,
// service, account and limit. Entries are the same if their names are; of several
// with one name, the first is compared with the first, and so on.
func New(from, to *rwconfigdraft.Draft) []Change {
	var out []Change
	add := func(place, text string) { out = append(out, Change{Place: place, Text: text}) }
	if from.Version != to.Version {
		add("configuration", fmt.Sprintf("version %d -> %d", from.Version, to.Version))
	}
	compare(add, index("route", from.Routes, func(r rwrouteconfig.Route) string { return r.Name }),
		index("route", to.Routes, func(r rwrouteconfig.Route) string { return r.Name }),
		func(place string, f, t rwrouteconfig.Route) {
			compareFields(place, routeFields(f), routeFields(t), add)
		})
	compare(add, index("service", from.Services, func(s rwrouteconfig.Service) string { return s.Name }),
		index("service", to.Services, func(s rwrouteconfig.Service) string { return s.Name }),
		func(place string, f, t rwrouteconfig.Service) {
			compareFields(place, serviceFields(f), serviceFields(t), add)
		})
	compare(add, index("account", from.Accounts, func(a rwconfigdraft.Account) string { return a.Name }),
		index("account", to.Accounts, func(a rwconfigdraft.Account) string { return a.Name }),
		func(place string, f, t rwconfigdraft.Account) {
			compareFields(place, accountFields(f), accountFields(t), add)
			compareKeys(place, f.Keys, t.Keys, add)
		})
	before, after := limitFields(from.Limits), limitFields(to.Limits)
	for i, f := range before {
		if f.value != after[i].value {
			add("limit "+f.name, f.value+" -> "+after[i].value)
		}
	}
	return out
}

// field is a setting of an entry, as text.
type field struct{ name, value string }

// index returns entries by their place.
func index[T any](kind string, list []T, name func(T) string) map[string]T {
	out, count := map[string]T{}, map[string]int{}
	for _, e := range list {
		place := fmt.Sprintf("%s %q", kind, name(e))
		count[place]++
		if n := count[place]; n > 1 {
			place += fmt.Sprintf(" (%d)", n)
		}
		out[place] = e
	}
	return out
}

func compare[T any](add func(place, text string), from, to map[string]T, both func(place string, from, to T)) {
	places := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(places)
	for _, place := range slices.Compact(places) {
		f, had := from[place]
		t, has := to[place]
		switch {
		case !had:
			add(place, "added")
		case !has:
			add(place, "removed")
		default:
			both(place, f, t)
		}
	}
}

// compareFields compares lists that have the same names in the same order.
func compareFields(place string, from, to []field, add func(place, text string)) {
	for i, f := range from {
		if f.value != to[i].value {
			add(place, f.name+" "+f.value+" -> "+to[i].value)
		}
	}
}

func routeFields(r rwrouteconfig.Route) []field {
	split := ""
	for i, w := range r.Split {
		if i > 0 {
			split += ", "
		}
		split += fmt.Sprintf("%q %d", w.Service, w.Weight)
	}
	return []field{
		{"host", fmt.Sprintf("%q", r.Host)}, {"prefix", fmt.Sprintf("%q", r.Prefix)}, {"kind", r.Kind.String()},
		{"services", split}, {"timeout", r.Timeout.String()}, {"latency target", r.Target.String()},
		{"gap target", r.MaxEventGap.String()}, {"priority", fmt.Sprint(r.Urgency)}, {"attempts", fmt.Sprint(r.MaxAttempts)},
		{"public", fmt.Sprint(r.Public)}, {"resumable", fmt.Sprint(r.Resumable)},
	}
}

func serviceFields(s rwrouteconfig.Service) []field {
	var e rwrouteconfig.Engine
	if s.Engine != nil {
		e = *s.Engine
	}
	return []field{
		{"cold start", s.ColdStart.String()}, {"cold rate", fmt.Sprint(s.ColdPerSecond)}, {"engine data", fmt.Sprint(s.Engine != nil)},
		{"slots", fmt.Sprint(e.Slots)}, {"KV cache tokens", fmt.Sprint(e.KVCapacity)}, {"bytes of a token", fmt.Sprint(e.TokenBytes)},
		{"link bit/s", strconv.FormatFloat(e.LinkBitsPerSecond, 'f', -1, 64)},
	}
}

func accountFields(a rwconfigdraft.Account) []field {
	priority := "of the route"
	if a.Urgency >= 0 {
		priority = fmt.Sprint(a.Urgency)
	}
	return []field{{"priority", priority}}
}

// compareKeys tells how many keys an account gains and loses.
func compareKeys(place string, from, to []string, add func(place, text string)) {
	added, removed := missing(to, from), missing(from, to)
	if added+removed > 0 {
		add(place, fmt.Sprintf("keys %d -> %d (%d added, %d removed)", len(from), len(to), added, removed))
	}
}

// missing returns how many of the keys another list lacks.
func missing(keys, other []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(other, k) {
			n++
		}
	}
	return n
}

func limitFields(l rwrouteconfig.Limits) []field {
	return []field{
		{"body", fmt.Sprint(l.MaxBodyBytes)}, {"head", fmt.Sprint(l.MaxHeaderBytes)}, {"idle timeout", l.IdleTimeout.String()},
	}
}
