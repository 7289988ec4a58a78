// Package rwstore decides which configuration records are in force. A record
// is replaced only by one of a higher revision, whoever sends it.
package rwstore

import (
	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwvm"
)

// Store holds the records in force. It is not safe for concurrent use.
type Store struct {
	records map[key]rwrecord.Record
	view    *rwsnapshot.Snapshot
}

type key struct{ kind, name string }

// New returns an empty store.
func New() *Store {
	return &Store{records: map[key]rwrecord.Record{}, view: rwsnapshot.Empty()}
}

// Adopt takes in records and returns the ones that are now in force and a
// fault for each that was not taken.
func (s *Store) Adopt(items []rwrecord.Record) (adopted []rwrecord.Record, faults []error) {
	for _, r := range items {
		if err := s.adopt(r); err != nil {
			faults = append(faults, err)
			continue
		}
		adopted = append(adopted, r)
	}
	if len(adopted) > 0 {
		s.view = s.build()
	}
	return adopted, faults
}

func (s *Store) adopt(r rwrecord.Record) error {
	k := key{r.Kind, r.Name}
	if old, ok := s.records[k]; ok && r.Rev <= old.Rev {
		return rwfault.New(rwcode.RecordStale, r.Kind+" "+r.Name)
	}
	if !r.Gone {
		if err := check(r); err != nil {
			return err
		}
	}
	s.records[k] = r
	return nil
}

func check(r rwrecord.Record) error {
	var err error
	switch r.Kind {
	case "account":
		_, err = rwaccount.Decode(r)
	case "kind":
		_, err = rwkind.Decode(r)
	case "upstream":
		_, err = rwupstream.Decode(r)
	case "vm":
		_, err = rwvm.Decode(r)
	default:
		err = rwfault.New(rwcode.RecordSchema, "kind "+r.Kind)
	}
	return err
}

func (s *Store) build() *rwsnapshot.Snapshot {
	var accounts []rwaccount.Account
	var kinds []rwkind.Kind
	var upstreams []rwupstream.Upstream
	var vms []rwvm.VM
	rev, listRev := int64(0), int64(0)
	for _, r := range s.records {
		rev = max(rev, r.Rev)
		if r.Kind == "vm" {
			listRev = max(listRev, r.Rev)
		}
		if r.Gone {
			continue
		}
		switch r.Kind {
		case "account":
			accounts = appendValid(accounts, r, rwaccount.Decode)
		case "kind":
			kinds = appendValid(kinds, r, rwkind.Decode)
		case "upstream":
			upstreams = appendValid(upstreams, r, rwupstream.Decode)
		case "vm":
			vms = appendValid(vms, r, rwvm.Decode)
		}
	}
	return rwsnapshot.Empty().WithRev(rev).WithListRev(listRev).WithAccounts(accounts).
		WithKinds(kinds).WithUpstreams(upstreams).WithVMs(vms)
}

func appendValid[T any](list []T, r rwrecord.Record, decode func(rwrecord.Record) (T, error)) []T {
	v, err := decode(r)
	if err != nil {
		return list
	}
	return append(list, v)
}

// View returns the snapshot in force.
func (s *Store) View() *rwsnapshot.Snapshot { return s.view }

// Records returns all records with a revision above rev.
func (s *Store) Records(rev int64) []rwrecord.Record {
	var out []rwrecord.Record
	for _, r := range s.records {
		if r.Rev > rev {
			out = append(out, r)
		}
	}
	return out
}
