// Package rwsnapshot defines an immutable snapshot of the active configuration.
package rwsnapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwvm"
)

// Snapshot is an immutable set of decoded records. It is safe for concurrent
// use.
type Snapshot struct {
	rev       int64
	listRev   int64
	accounts  map[string]rwaccount.Account
	kinds     map[string]rwkind.Kind
	upstreams map[string]rwupstream.Upstream
	vms       map[string]rwvm.VM
	byKey     map[string]string
	// leaving holds the highest incarnation of each upstream that is known to
	// be leaving, regardless of its record.
	leaving map[string]int64
}

// Empty returns a snapshot with no records and revision 0.
func Empty() *Snapshot { return &Snapshot{} }

// Rev returns the highest revision that was seen, including invalid records.
func (s *Snapshot) Rev() int64 { return s.rev }

// WithRev returns a copy with at least this revision.
func (s *Snapshot) WithRev(rev int64) *Snapshot {
	c := *s
	c.rev = max(c.rev, rev)
	return &c
}

// VMListRev returns the highest revision of any valid VM record, including
// deletions.
func (s *Snapshot) VMListRev() int64 { return s.listRev }

// WithVMListRev returns a copy with at least this revision of the VM list.
func (s *Snapshot) WithVMListRev(rev int64) *Snapshot {
	c := *s
	c.listRev = max(c.listRev, rev)
	return &c
}

func byName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}

// WithAccounts returns a copy with the given accounts.
func (s *Snapshot) WithAccounts(list []rwaccount.Account) *Snapshot {
	c := *s
	c.accounts = byName(list, func(a rwaccount.Account) string { return a.Name })
	c.byKey = map[string]string{}
	for _, a := range list {
		for _, k := range a.Keys {
			c.byKey[k] = a.Name
		}
	}
	return &c
}

// WithKinds returns a copy with the given kinds.
func (s *Snapshot) WithKinds(list []rwkind.Kind) *Snapshot {
	c := *s
	c.kinds = byName(list, func(k rwkind.Kind) string { return k.Name })
	return &c
}

// WithUpstreams returns a copy with the given upstreams.
func (s *Snapshot) WithUpstreams(list []rwupstream.Upstream) *Snapshot {
	c := *s
	c.upstreams = byName(list, func(u rwupstream.Upstream) string { return u.Name })
	return &c
}

// WithVMs returns a copy with the given VMs.
func (s *Snapshot) WithVMs(list []rwvm.VM) *Snapshot {
	c := *s
	c.vms = byName(list, func(m rwvm.VM) string { return m.Name })
	return &c
}

// WithLeaving returns a copy with the given leaving upstreams: the highest
// leaving incarnation by name.
func (s *Snapshot) WithLeaving(leaving map[string]int64) *Snapshot {
	c := *s
	c.leaving = maps.Clone(leaving)
	return &c
}

// Leaving reports whether an incarnation of an upstream is known to be leaving:
// this one or a higher one was reported as leaving.
func (s *Snapshot) Leaving(upstream string, inc int64) bool {
	leavingInc, ok := s.leaving[upstream]
	return ok && inc <= leavingInc
}

// Authenticate returns the account that has a caller key.
func (s *Snapshot) Authenticate(key string) (rwaccount.Account, bool) {
	sum := sha256.Sum256([]byte(key))
	a, ok := s.accounts[s.byKey[hex.EncodeToString(sum[:])]]
	return a, ok
}

// Kind returns the kind with a name.
func (s *Snapshot) Kind(name string) (rwkind.Kind, bool) {
	k, ok := s.kinds[name]
	return k, ok
}

// Account returns the account with a name.
func (s *Snapshot) Account(name string) (rwaccount.Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Upstream returns the upstream with a name. In a snapshot of rwstore its field
// Leaving is also set if only a peer or the upstream itself reported that it is
// leaving.
func (s *Snapshot) Upstream(name string) (rwupstream.Upstream, bool) {
	u, ok := s.upstreams[name]
	return u, ok
}

// VM returns the VM with a name.
func (s *Snapshot) VM(name string) (rwvm.VM, bool) {
	m, ok := s.vms[name]
	return m, ok
}

// Accounts returns all accounts, sorted by name.
func (s *Snapshot) Accounts() []rwaccount.Account {
	return slices.SortedFunc(maps.Values(s.accounts), func(a, b rwaccount.Account) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// Kinds returns all kinds, sorted by name.
func (s *Snapshot) Kinds() []rwkind.Kind {
	return slices.SortedFunc(maps.Values(s.kinds), func(a, b rwkind.Kind) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// Upstreams returns all upstreams, sorted by name.
func (s *Snapshot) Upstreams() []rwupstream.Upstream {
	return slices.SortedFunc(maps.Values(s.upstreams), func(a, b rwupstream.Upstream) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// VMs returns all VMs, sorted by name.
func (s *Snapshot) VMs() []rwvm.VM {
	return slices.SortedFunc(maps.Values(s.vms), func(a, b rwvm.VM) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// Serves reports whether the pool has an upstream of the type: a model engine or
// a plain service.
func (s *Snapshot) Serves(pool string, engine bool) bool {
	for _, u := range s.upstreams {
		if u.Engine == engine && slices.Contains(u.Pools, pool) {
			return true
		}
	}
	return false
}

// PoolUpstreams returns the upstreams of a pool that are not leaving, sorted by
// name.
func (s *Snapshot) PoolUpstreams(pool string) []rwupstream.Upstream {
	var out []rwupstream.Upstream
	for _, u := range s.Upstreams() {
		if !u.Leaving && !s.Leaving(u.Name, u.Inc) && slices.Contains(u.Pools, pool) {
			out = append(out, u)
		}
	}
	return out
}
