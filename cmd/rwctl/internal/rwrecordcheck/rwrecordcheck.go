// Package rwrecordcheck checks record files before they are published: each
// record by itself, as a router does, and all records against each other.
package rwrecordcheck

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

// Checker collects records and the findings about them.
type Checker struct {
	findings []rwfinding.Finding
	sources  map[recordID]source
	ids      []recordID
	files    int
	records  int
}

type recordID struct{ kind, name string }

func (i recordID) String() string { return i.kind + " " + i.name }

type source struct {
	file   string
	record rwrecord.Record
}

// published stands for the file name of records that the platform already has.
const published = "(published)"

// New returns a Checker without records.
func New() *Checker { return &Checker{sources: map[recordID]source{}} }

// AddPublished adds the records that the platform has now. Records of files
// replace them. It must be called before AddFile.
func (c *Checker) AddPublished(items []rwrecord.Record) {
	for _, r := range items {
		k := recordID{r.Kind, r.Name}
		c.sources[k] = source{published, r}
		c.ids = append(c.ids, k)
	}
}

// AddFile adds the records of a file: one record, a list of records, or an object
// with "items" like the platform's response.
func (c *Checker) AddFile(name string, data []byte) {
	c.files++
	items, err := parse(data)
	if err != nil {
		c.addFault(name, "", err.Error())
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

func (c *Checker) add(file string, i int, r rwrecord.Record) {
	k := recordID{r.Kind, r.Name}
	if r.Kind == "" || r.Name == "" {
		c.addFault(file, "record "+strconv.Itoa(i+1), "kind and name are required")
		return
	}
	old, ok := c.sources[k]
	switch {
	case ok && old.file != published:
		c.addFault(file, k.String(), "is given twice, first in "+old.file)
	case ok && r.Rev != 0 && r.Rev <= old.record.Rev:
		c.addFault(file, k.String(), "revision "+strconv.FormatInt(r.Rev, 10)+" is not above the published "+strconv.FormatInt(old.record.Rev, 10))
	}
	if !ok {
		c.ids = append(c.ids, k)
	}
	c.sources[k] = source{file, r}
}

func (c *Checker) addFault(file, record, text string) {
	c.findings = append(c.findings, rwfinding.Finding{File: file, Record: record, Text: text})
}

func (c *Checker) addWarning(k recordID, text string) {
	c.findings = append(c.findings, rwfinding.Finding{
		File: c.sources[k].file, Record: k.String(), Text: text, Warning: true,
	})
}

func (c *Checker) addConflict(k recordID, text string) {
	c.addFault(c.sources[k].file, k.String(), text)
}

// Files returns the number of files that were added.
func (c *Checker) Files() int { return c.files }

// Records returns the number of records in these files.
func (c *Checker) Records() int { return c.records }

// validRecords holds the decoded records that are valid by themselves.
type validRecords struct {
	accounts  []rwaccount.Account
	kinds     []rwkind.Kind
	upstreams []rwupstream.Upstream
	vms       []rwvm.VM
}

// Findings completes the check and returns all findings: first those of reading
// the files, then those of single records by file name, then those that concern
// several records. It must be called once, after the last file.
func (c *Checker) Findings() []rwfinding.Finding {
	var s validRecords
	slices.SortStableFunc(c.ids, func(a, b recordID) int {
		return cmp.Compare(c.sources[a].file, c.sources[b].file)
	})
	for _, k := range c.ids {
		c.decode(k, &s)
	}
	c.checkKeys(&s)
	c.checkPools(&s)
	c.checkAddresses(&s)
	c.checkZones(&s)
	return c.findings
}

// knownFields lists the fields of a value by the kind of the record; each name is
// surrounded by spaces.
var knownFields = map[string]string{
	"account":  " share weight keys ",
	"kind":     " urgency class pool idempotent repeat ",
	"upstream": " pool pools zone addr type window fence state inc ",
	"vm":       " addr http zone region state ",
}

func (c *Checker) decode(k recordID, s *validRecords) {
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
		c.addConflict(k, "unknown kind of record")
		return
	}
	if err != nil {
		c.addFault(src.file, "", err.Error())
		return
	}
	var value map[string]json.RawMessage
	if json.Unmarshal(r.Value, &value) != nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(value)) {
		if !strings.Contains(knownFields[r.Kind], " "+name+" ") {
			c.addWarning(k, "unknown field "+name)
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

// checkKeys finds caller keys of two accounts: requests with such a key could be
// charged to either account.
func (c *Checker) checkKeys(s *validRecords) {
	owner := map[string]string{}
	for _, a := range s.accounts {
		if len(a.Keys) == 0 {
			c.addWarning(recordID{"account", a.Name}, "has no key, so nobody can use it")
		}
		for _, k := range a.Keys {
			if other, ok := owner[k]; ok {
				c.addConflict(recordID{"account", a.Name}, "has a key of account "+other+": "+k)
				continue
			}
			owner[k] = a.Name
		}
	}
}

// poolServers records whether engines and plain services serve a pool, and whether
// any of them is not leaving.
type poolServers struct {
	engine, service, live bool
}

func (c *Checker) checkPools(s *validRecords) {
	pools := map[string]poolServers{}
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
		at := recordID{"kind", k.Name}
		switch {
		case !ok:
			c.addConflict(at, "no upstream serves its pool "+k.Pool)
		case !p.live:
			c.addWarning(at, "all upstreams of its pool "+k.Pool+" are leaving")
		case p.engine && !k.Idempotent:
			c.addWarning(at, "is not idempotent, but engines serve its pool "+k.Pool+": idempotency keys work with plain services only")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if pools[name].engine && pools[name].service {
			c.addFault("", "pool "+name, "is served by engines and by plain services")
		}
		if !used[name] {
			c.findings = append(c.findings, rwfinding.Finding{Record: "pool " + name, Text: "no kind uses it", Warning: true})
		}
	}
}

// checkAddresses finds addresses that are given twice: requests would reach the
// wrong process.
func (c *Checker) checkAddresses(s *validRecords) {
	owner := map[string]recordID{}
	claim := func(k recordID, addr string) {
		if other, ok := owner[addr]; ok {
			c.addConflict(k, "has the address "+addr+" of "+other.String())
			return
		}
		owner[addr] = k
	}
	for _, u := range s.upstreams {
		claim(recordID{"upstream", u.Name}, u.Addr)
	}
	for _, m := range s.vms {
		claim(recordID{"vm", m.Name}, m.Addr)
		claim(recordID{"vm", m.Name}, m.HTTP)
	}
}

func (c *Checker) checkZones(s *validRecords) {
	region := map[string]string{}
	for _, m := range s.vms {
		if other, ok := region[m.Zone]; ok && other != m.Region {
			c.addConflict(recordID{"vm", m.Name}, "puts the zone "+m.Zone+" into the region "+m.Region+", another VM into "+other)
			continue
		}
		region[m.Zone] = m.Region
	}
	for _, u := range s.upstreams {
		if _, ok := region[u.Zone]; !ok && len(s.vms) > 0 {
			c.addWarning(recordID{"upstream", u.Name}, "no VM is in its zone "+u.Zone)
		}
	}
}
