// Package rwstore decides which configuration records are active. A record is
// replaced only by one of a higher revision, regardless of the sender. The
// state depends only on the set of applied records and leaving upstreams, not
// on their order, so that all routers that saw the same set agree.
package rwstore

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/internal/rwvm"
)

// Buckets is the number of buckets into which the records are hashed. The
// repair of one missing record among 4,000 transfers about 60 records.
const Buckets = 64

// Store holds the active records. It is not safe for concurrent use.
type Store struct {
	entries map[key]entry
	// leaving holds the highest leaving incarnation by upstream. Entries are
	// never removed or lowered.
	leaving       map[string]int64
	rev           int64
	bucketDigests [Buckets]uint64
	snapshot      *rwsnapshot.Snapshot
	// conflicts are the conflicts between records of the current snapshot.
	conflicts []error
}

type key struct{ kind, name string }

// entry is the state of one record.
type entry struct {
	// valid is the valid record of the highest revision, if hasValid.
	valid    rwrecord.Record
	hasValid bool
	// value is the decoded value of valid, or nil for a deletion. It is kept
	// because decoding 4,000 records for each change takes 25 ms.
	value any
	// invalid is the invalid record of the highest revision, if hasInvalid.
	// Its revision is above that of valid; older ones are dropped.
	invalid    rwrecord.Record
	hasInvalid bool
}

func (e entry) rev() int64 {
	if e.hasInvalid {
		return e.invalid.Rev
	}
	return e.valid.Rev
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries:  map[key]entry{},
		leaving:  map[string]int64{},
		snapshot: rwsnapshot.Empty(),
	}
}

// Apply applies records and returns those that were new. These include invalid
// ones, which are kept but not active: routers of another version may
// understand them, and their revisions count. It also returns a fault for each
// record that is invalid (RecordSchema or RecordInvalid) or ignored because it
// is older or has no positive revision (RecordStale), and for each new conflict
// (RecordInvalid). A record that is already known is neither new nor a fault.
func (s *Store) Apply(items []rwrecord.Record) (applied []rwrecord.Record, faults []error) {
	changed := false
	for _, r := range items {
		changed = s.recordLeavingState(r) || changed
		fresh, err := s.applyRecord(r)
		if err != nil {
			faults = append(faults, err)
		}
		if fresh {
			applied = append(applied, r)
		}
	}
	if changed || len(applied) > 0 {
		faults = append(faults, s.rebuild()...)
	}
	return applied, faults
}

// recordLeavingState records the leaving state of a valid record, even of a
// stale one: an incarnation that is leaving never becomes live again.
func (s *Store) recordLeavingState(r rwrecord.Record) bool {
	if r.Kind != "upstream" || r.Deleted {
		return false
	}
	u, err := rwupstream.Decode(r)
	if err != nil || !u.Leaving {
		return false
	}
	return s.recordLeaving(rwleaving.Upstream{Name: u.Name, Inc: u.Inc})
}

func (s *Store) applyRecord(r rwrecord.Record) (bool, error) {
	k := key{r.Kind, r.Name}
	e := s.entries[k]
	if (e.hasValid && r.Rev == e.valid.Rev) || (e.hasInvalid && r.Rev == e.invalid.Rev) {
		return false, nil
	}
	if r.Rev <= 0 || (e.hasValid && r.Rev < e.valid.Rev) {
		return false, rwfault.New(rwcode.RecordStale, r.Kind+" "+r.Name)
	}
	value, err := decode(r)
	if err != nil && e.hasInvalid && r.Rev < e.invalid.Rev {
		return false, rwfault.New(rwcode.RecordStale, r.Kind+" "+r.Name)
	}
	s.put(k, e, r, value, err == nil)
	return true, err
}

func (s *Store) put(k key, e entry, r rwrecord.Record, value any, valid bool) {
	before := e.rev()
	if valid {
		e.valid, e.hasValid, e.value = r, true, value
		if e.hasInvalid && e.invalid.Rev < r.Rev {
			e.invalid, e.hasInvalid = rwrecord.Record{}, false
		}
	} else {
		e.invalid, e.hasInvalid = r, true
	}
	s.entries[k] = e
	s.rev = max(s.rev, r.Rev)
	b := bucketOf(k)
	s.bucketDigests[b] ^= digest(k, before) ^ digest(k, e.rev())
}

// decode returns the decoded value of a valid record, or nil for a deletion.
func decode(r rwrecord.Record) (any, error) {
	if r.Name == "" {
		return nil, rwfault.New(rwcode.RecordInvalid, r.Kind+" has no name")
	}
	f, known := decoders[r.Kind]
	switch {
	case !known:
		return nil, rwfault.New(rwcode.RecordSchema, "kind "+r.Kind)
	case r.Deleted:
		return nil, nil
	default:
		return f(r)
	}
}

var decoders = map[string]func(rwrecord.Record) (any, error){
	"account":  func(r rwrecord.Record) (any, error) { return rwaccount.Decode(r) },
	"kind":     func(r rwrecord.Record) (any, error) { return rwkind.Decode(r) },
	"upstream": func(r rwrecord.Record) (any, error) { return rwupstream.Decode(r) },
	"vm":       func(r rwrecord.Record) (any, error) { return rwvm.Decode(r) },
}

// MarkUpstreamLeaving records that an incarnation of an upstream is leaving, as
// a peer or the upstream itself reported. It reports whether that was new.
func (s *Store) MarkUpstreamLeaving(l rwleaving.Upstream) bool {
	if !s.recordLeaving(l) {
		return false
	}
	s.rebuild()
	return true
}

func (s *Store) recordLeaving(l rwleaving.Upstream) bool {
	if old, ok := s.leaving[l.Name]; ok && old >= l.Inc {
		return false
	}
	s.leaving[l.Name] = l.Inc
	return true
}

// Leaving returns the leaving upstreams, sorted by name.
func (s *Store) Leaving() []rwleaving.Upstream {
	var out []rwleaving.Upstream
	for _, name := range slices.Sorted(maps.Keys(s.leaving)) {
		out = append(out, rwleaving.Upstream{Name: name, Inc: s.leaving[name]})
	}
	return out
}

// rebuild makes the snapshot and returns the new conflicts.
func (s *Store) rebuild() []error {
	b := builder{keys: map[string]string{}, addrs: map[string]string{}, types: map[string]rwupstream.Upstream{}}
	for _, k := range s.keysByRevision() {
		b.add(s.entries[k].value, func(u rwupstream.Upstream) bool {
			leavingInc, ok := s.leaving[u.Name]
			return u.Leaving || (ok && u.Inc <= leavingInc)
		})
	}
	known := map[string]bool{}
	for _, f := range s.conflicts {
		known[f.Error()] = true
	}
	s.conflicts = b.faults
	s.snapshot = rwsnapshot.Empty().WithRev(s.rev).WithVMListRev(s.vmListRev()).WithAccounts(b.accounts).
		WithKinds(b.kinds).WithUpstreams(b.upstreams).WithVMs(b.vms).WithLeaving(s.leaving)
	return slices.DeleteFunc(slices.Clone(b.faults), func(f error) bool { return known[f.Error()] })
}

// vmListRev returns the highest revision of any active VM record, including
// deletions.
func (s *Store) vmListRev() int64 {
	rev := int64(0)
	for k, e := range s.entries {
		if k.kind == "vm" && e.hasValid {
			rev = max(rev, e.valid.Rev)
		}
	}
	return rev
}

// keysByRevision returns the keys of the active records, sorted by revision, so
// that the earlier one of two conflicting records wins at every router.
func (s *Store) keysByRevision() []key {
	type ranked struct {
		key
		rev int64
	}
	var list []ranked
	for k, e := range s.entries {
		if e.hasValid && !e.valid.Deleted {
			list = append(list, ranked{k, e.valid.Rev})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rev, b.rev), cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	keys := make([]key, len(list))
	for i, r := range list {
		keys[i] = r.key
	}
	return keys
}

// Snapshot returns the current snapshot. Its revision is the highest that was
// seen, including invalid records.
func (s *Store) Snapshot() *rwsnapshot.Snapshot { return s.snapshot }

// Conflicts returns a fault for each upstream and each caller key of an account
// that is excluded from the snapshot because its record conflicts with one of a
// lower revision.
func (s *Store) Conflicts() []error { return slices.Clone(s.conflicts) }

// InvalidRecords returns the number of records whose latest revision is invalid
// and not applied.
func (s *Store) InvalidRecords() int {
	n := 0
	for _, e := range s.entries {
		if e.hasInvalid {
			n++
		}
	}
	return n
}

// Empty reports whether the store has no valid record. A deletion counts as
// one.
func (s *Store) Empty() bool {
	for _, e := range s.entries {
		if e.hasValid {
			return false
		}
	}
	return true
}

// RecordsAfter returns all records with a revision above rev, including invalid
// ones, sorted by revision.
func (s *Store) RecordsAfter(rev int64) []rwrecord.Record {
	return s.collect(func(_ key, r rwrecord.Record) bool { return r.Rev > rev })
}

// DifferingRecords returns the records of the buckets whose digests differ from
// another store's. Digests of a wrong number count as different in all buckets.
func (s *Store) DifferingRecords(sums []uint64) []rwrecord.Record {
	return s.collect(func(k key, _ rwrecord.Record) bool {
		b := bucketOf(k)
		return len(sums) != Buckets || sums[b] != s.bucketDigests[b]
	})
}

func (s *Store) collect(want func(key, rwrecord.Record) bool) []rwrecord.Record {
	var out []rwrecord.Record
	for k, e := range s.entries {
		if e.hasValid && want(k, e.valid) {
			out = append(out, e.valid)
		}
		if e.hasInvalid && want(k, e.invalid) {
			out = append(out, e.invalid)
		}
	}
	slices.SortFunc(out, func(a, b rwrecord.Record) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// BucketDigests returns for each bucket a digest of the kind, name and highest
// seen revision of its records. Invalid records are included, so that routers of
// different versions agree and don't pull them again.
func (s *Store) BucketDigests() []uint64 { return slices.Clone(s.bucketDigests[:]) }

// Digest returns one digest of all records.
func (s *Store) Digest() uint64 {
	sum := uint64(0)
	for _, v := range s.bucketDigests {
		sum ^= v
	}
	return sum
}

func bucketOf(k key) int { return int(digest(k, -1) % Buckets) }

// digest hashes a key and a revision. It returns 0 for revision 0, which stands
// for no record.
func digest(k key, rev int64) uint64 {
	if rev == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, s := range []string{k.kind, k.name, strconv.FormatInt(rev, 10)} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	// Digests are sent as JSON numbers; 53 bits survive any decoder.
	return h.Sum64() >> 11
}

// builder makes a snapshot from valid records in the order of their revisions
// and excludes what conflicts with an earlier record.
type builder struct {
	accounts  []rwaccount.Account
	kinds     []rwkind.Kind
	upstreams []rwupstream.Upstream
	vms       []rwvm.VM
	faults    []error

	keys  map[string]string
	addrs map[string]string
	types map[string]rwupstream.Upstream
}

func (b *builder) add(value any, leaving func(rwupstream.Upstream) bool) {
	switch v := value.(type) {
	case rwaccount.Account:
		b.addAccount(v)
	case rwkind.Kind:
		b.kinds = append(b.kinds, v)
	case rwupstream.Upstream:
		b.addUpstream(v, leaving(v))
	case rwvm.VM:
		b.vms = append(b.vms, v)
	}
}

// addAccount adds an account without the caller keys that already belong to
// another account.
func (b *builder) addAccount(a rwaccount.Account) {
	keys := slices.Clone(a.Keys)
	a.Keys = slices.DeleteFunc(keys, func(k string) bool {
		owner, taken := b.keys[k]
		if taken && owner != a.Name {
			b.addConflict("account " + a.Name + ": a caller key already belongs to account " + owner)
			return true
		}
		b.keys[k] = a.Name
		return false
	})
	b.accounts = append(b.accounts, a)
}

// addUpstream excludes an upstream whose address belongs to another one that
// isn't leaving, since its window would be used twice, and one whose type
// differs from the rest of its pool.
func (b *builder) addUpstream(u rwupstream.Upstream, leaving bool) {
	if leaving {
		u.Leaving = true
		b.upstreams = append(b.upstreams, u)
		return
	}
	if other, taken := b.addrs[u.Addr]; taken {
		b.addConflict("upstream " + u.Name + ": address is already used by " + other)
		return
	}
	for _, pool := range u.Pools {
		if other, ok := b.types[pool]; ok && other.Engine != u.Engine {
			b.addConflict("upstream " + u.Name + ": type differs from that of " + other.Name + " in pool " + pool)
			return
		}
	}
	b.addrs[u.Addr] = u.Name
	for _, pool := range u.Pools {
		b.types[pool] = u
	}
	b.upstreams = append(b.upstreams, u)
}

func (b *builder) addConflict(detail string) {
	b.faults = append(b.faults, rwfault.New(rwcode.RecordInvalid, detail))
}
