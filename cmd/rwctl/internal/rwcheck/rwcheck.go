// Package rwcheck checks record files before they are published: each record
// by itself, as a router does, and all records against each other.
package rwcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"redwingworks.example/cmd/rwctl/internal/rwfinding"
	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwvm"
)

// Check collects records and what is wrong with them.
type Check struct {
	findings []rwfinding.Finding
	sources  map[id]source
	order    []id
	files    int
	records  int
}

type id struct{ kind, name string }

func (i id) String() string { return i.kind + " " + i.name }

type source struct {
	file   string
	record rwrecord.Record
}

// published is the name of the file for records that are in force already.
const published = "(published)"

// New returns a check without records.
func New() *Check { return &Check{sources: map[id]source{}} }

// Published adds the records that the platform has now. Records of files
// replace them. It must be called before File.
func (c *Check) Published(items []rwrecord.Record) {
	for _, r := range items {
		k := id{r.Kind, r.Name}
		c.sources[k] = source{published, r}
		c.order = append(c.order, k)
	}
}

// File adds the records of a file: one record, a list of records, or the form
// of the platform's answer with "items".
func (c *Check) File(name string, data []byte) {
	c.files++
	items, err := parse(data)
	if err != nil {
		c.fault(name, "", err.Error())
		return
	}
	for i, r := range items {
		c.records++
		c.add(name, i, r)
	}
}

func parse(data []byte) ([]rwrecord.Record, error) {
	trimmed := bytes.TrimSpace(data)
	if len(trimmed) > 0 && trimmed[0] == '[' {
		var list []rwrecord.Record
		return list, json.Unmarshal(trimmed, &list)
	}
	var v struct {
		rwrecord.Record
		Items []rwrecord.Record `json:"items"`
	}
	if err := json.Unmarshal(trimmed, &v); err != nil {
		return nil, err
	}
	if v.Items != nil {
		return v.Items, nil
	}
	return []rwrecord.Record{v.Record}, nil
}

func (c *Check) add(file string, i int, r rwrecord.Record) {
	k := id{r.Kind, r.Name}
	if r.Kind == "" || r.Name == "" {
		c.fault(file, "record "+strconv.Itoa(i+1), "kind and name are required")
		return
	}
	old, ok := c.sources[k]
	switch {
	case ok && old.file != published:
		c.fault(file, k.String(), "is given twice, first in "+old.file)
	case ok && r.Rev != 0 && r.Rev <= old.record.Rev:
		c.fault(file, k.String(), "revision "+strconv.FormatInt(r.Rev, 10)+" is not above the published "+strconv.FormatInt(old.record.Rev, 10))
	}
	if !ok {
		c.order = append(c.order, k)
	}
	c.sources[k] = source{file, r}
}

func (c *Check) fault(file, record, text string) {
	c.findings = append(c.findings, rwfinding.Finding{File: file, Record: record, Text: text})
}

func (c *Check) warn(k id, text string) {
	c.findings = append(c.findings, rwfinding.Finding{
		File: c.sources[k].file, Record: k.String(), Text: text, Warning: true,
	})
}

func (c *Check) contradiction(k id, text string) { c.fault(c.sources[k].file, k.String(), text) }

// Files is how many files were checked.
func (c *Check) Files() int { return c.files }

// Records is how many records the files have.
func (c *Check) Records() int { return c.records }

// set holds the records that are valid by themselves.
type set struct {
	accounts  []rwaccount.Account
	kinds     []rwkind.Kind
	upstreams []rwupstream.Upstream
	vms       []rwvm.VM
}

// Findings returns everything that is wrong, in the order of the files; what
// concerns several records comes last.
func (c *Check) Findings() []rwfinding.Finding {
	var s set
	slices.SortStableFunc(c.order, func(a, b id) int {
		return cmp.Compare(c.sources[a].file, c.sources[b].file)
	})
	for _, k := range c.order {
		c.decode(k, &s)
	}
	c.keys(&s)
	c.pools(&s)
	c.addresses(&s)
	c.zones(&s)
	return c.findings
}

// fields are the fields of a value by the kind of the record.
var fields = map[string]string{
	"account":  " share weight keys ",
	"kind":     " urgency class pool idempotent repeat ",
	"upstream": " pool pools zone addr type window fence state inc ",
	"vm":       " addr http zone region state ",
}

func (c *Check) decode(k id, s *set) {
	src := c.sources[k]
	r := src.record
	if r.Deleted {
		return
	}
	var err error
	switch r.Kind {
	case "account":
		s.accounts, err = decode(s.accounts, r, rwaccount.Decode)
	case "kind":
		s.kinds, err = decode(s.kinds, r, rwkind.Decode)
	case "upstream":
		s.upstreams, err = decode(s.upstreams, r, rwupstream.Decode)
	case "vm":
		s.vms, err = decode(s.vms, r, rwvm.Decode)
	default:
		c.contradiction(k, "unknown kind of record")
		return
	}
	if err != nil {
		c.fault(src.file, "", err.Error())
		return
	}
	var value map[string]json.RawMessage
	if json.Unmarshal(r.Value, &value) != nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(value)) {
		if !strings.Contains(fields[r.Kind], " "+name+" ") {
			c.warn(k, "unknown field "+name)
		}
	}
}

func decode[T any](list []T, r rwrecord.Record, read func(rwrecord.Record) (T, error)) ([]T, error) {
	v, err := read(r)
	if err != nil {
		return list, err
	}
	return append(list, v), nil
}

// keys finds caller keys of two accounts: requests would be charged to either.
func (c *Check) keys(s *set) {
	owner := map[string]string{}
	for _, a := range s.accounts {
		if len(a.Keys) == 0 {
			c.warn(id{"account", a.Name}, "has no key, so nobody can use it")
		}
		for _, k := range a.Keys {
			if other, ok := owner[k]; ok {
				c.contradiction(id{"account", a.Name}, "has a key of account "+other+": "+k)
				continue
			}
			owner[k] = a.Name
		}
	}
}

// server is what is known of a pool.
type server struct {
	engine, service, live bool
}

func (c *Check) pools(s *set) {
	pools := map[string]server{}
	for _, u := range s.upstreams {
		for _, name := range u.Pools {
			p := pools[name]
			p.engine = p.engine || u.Engine
			p.service = p.service || !u.Engine
			p.live = p.live || !u.Leaving
			pools[name] = p
		}
	}
	used := map[string]bool{}
	for _, k := range s.kinds {
		p, ok := pools[k.Pool]
		used[k.Pool] = true
		at := id{"kind", k.Name}
		switch {
		case !ok:
			c.contradiction(at, "no upstream serves its pool "+k.Pool)
		case !p.live:
			c.warn(at, "all upstreams of its pool "+k.Pool+" are leaving")
		case p.engine && !k.Idempotent:
			c.warn(at, "is not idempotent, but engines serve its pool "+k.Pool+": idempotency keys work with plain services only")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if pools[name].engine && pools[name].service {
			c.fault("", "pool "+name, "is served by engines and by plain services")
		}
		if !used[name] {
			c.findings = append(c.findings, rwfinding.Finding{Record: "pool " + name, Text: "no kind uses it", Warning: true})
		}
	}
}

// addresses finds addresses with two owners: work would reach the wrong one.
func (c *Check) addresses(s *set) {
	owner := map[string]id{}
	take := func(k id, addr string) {
		if other, ok := owner[addr]; ok {
			c.contradiction(k, "has the address "+addr+" of "+other.String())
			return
		}
		owner[addr] = k
	}
	for _, u := range s.upstreams {
		take(id{"upstream", u.Name}, u.Addr)
	}
	for _, m := range s.vms {
		take(id{"vm", m.Name}, m.Addr)
		take(id{"vm", m.Name}, m.HTTP)
	}
}

func (c *Check) zones(s *set) {
	region := map[string]string{}
	for _, m := range s.vms {
		if other, ok := region[m.Zone]; ok && other != m.Region {
			c.contradiction(id{"vm", m.Name}, "puts the zone "+m.Zone+" into the region "+m.Region+", another VM into "+other)
			continue
		}
		region[m.Zone] = m.Region
	}
	for _, u := range s.upstreams {
		if _, ok := region[u.Zone]; !ok && len(s.vms) > 0 {
			c.warn(id{"upstream", u.Name}, "no VM is in its zone "+u.Zone)
		}
	}
}
