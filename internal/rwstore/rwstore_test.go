package rwstore_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwstore"
)

// TestMain fixes the seed of the property tests, so that all runs are the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func record(kind, name string, rev int64, schema int, value any) rwrecord.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return rwrecord.Record{Kind: kind, Name: name, Rev: rev, Schema: schema, Value: data}
}

func account(name string, rev int64, share int, keys ...string) rwrecord.Record {
	return record("account", name, rev, 1, map[string]any{"share": share, "keys": keys})
}

func upstream(name string, rev int64, state string, inc int64) rwrecord.Record {
	return record("upstream", name, rev, 1, map[string]any{
		"pool": "drafter", "zone": "za", "addr": "10.0.0.1:" + fmt.Sprint(len(name)), "type": "engine", "window": 4, "state": state, "inc": inc,
	})
}

func deletion(kind, name string, rev int64) rwrecord.Record {
	return rwrecord.Record{Kind: kind, Name: name, Rev: rev, Schema: 1, Deleted: true}
}

func hash(c string) string { return strings.Repeat(c, 64) }

func codes(faults []error) []rwcode.Code {
	var out []rwcode.Code
	for _, f := range faults {
		out = append(out, rwfault.From(f).Code)
	}
	return out
}

// Guards against a record that is replaced by an older or an invalid one, and
// against a deletion that is undone by an older record. Each step applies one
// record.
func TestApply(t *testing.T) {
	type step struct {
		r rwrecord.Record
		// isNew reports whether Apply reports the record as new.
		isNew bool
		codes []rwcode.Code
		// share is the account's active share afterwards, 0 for none.
		share   int
		rev     int64
		invalid int
	}
	future := func(rev int64) rwrecord.Record { return record("account", "a", rev, 3, map[string]any{"portion": 1}) }
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"higher replaces, lower and equal don't", []step{
			{account("a", 5, 2), true, nil, 2, 5, 0},
			{account("a", 4, 1), false, []rwcode.Code{rwcode.RecordStale}, 2, 5, 0},
			{account("a", 5, 2), false, nil, 2, 5, 0},
			{account("a", 6, 3), true, nil, 3, 6, 0},
		}},
		{"an unknown schema is not applied until a valid record comes", []step{
			{account("a", 5, 2), true, nil, 2, 5, 0},
			{future(7), true, []rwcode.Code{rwcode.RecordSchema}, 2, 7, 1},
			{future(7), false, nil, 2, 7, 1},
			{future(6), false, []rwcode.Code{rwcode.RecordStale}, 2, 7, 1},
			{account("a", 8, 3), true, nil, 3, 8, 0},
			{future(7), false, []rwcode.Code{rwcode.RecordStale}, 3, 8, 0},
		}},
		{"an invalid value is not applied", []step{
			{account("a", 5, 2), true, nil, 2, 5, 0},
			{account("a", 6, 0), true, []rwcode.Code{rwcode.RecordInvalid}, 2, 6, 1},
			{account("a", 9, -1), true, []rwcode.Code{rwcode.RecordInvalid}, 2, 9, 1},
			{account("a", 7, 4), true, nil, 4, 9, 1},
		}},
		{"only an invalid record", []step{
			{future(7), true, []rwcode.Code{rwcode.RecordSchema}, 0, 7, 1},
			{account("a", 6, 2), true, nil, 2, 7, 1},
		}},
		{"a deletion lasts", []step{
			{account("a", 5, 2), true, nil, 2, 5, 0},
			{deletion("account", "a", 6), true, nil, 0, 6, 0},
			{account("a", 5, 2), false, []rwcode.Code{rwcode.RecordStale}, 0, 6, 0},
			{future(7), true, []rwcode.Code{rwcode.RecordSchema}, 0, 7, 1},
			{account("a", 8, 1), true, nil, 1, 8, 0},
		}},
		{"both schemas side by side", []step{
			{record("account", "a", 1, 2, map[string]any{"weight": 2000, "keys": []any{map[string]any{"hash": hash("a")}}}), true, nil, 2, 1, 0},
			{account("a", 2, 3), true, nil, 3, 2, 0},
			{record("account", "a", 3, 2, map[string]any{"weight": 1000}), true, nil, 1, 3, 0},
		}},
		{"no revision", []step{
			{account("a", 0, 2), false, []rwcode.Code{rwcode.RecordStale}, 0, 0, 0},
		}},
		{"an unknown kind of record", []step{
			{record("quota", "a", 4, 1, 1), true, []rwcode.Code{rwcode.RecordSchema}, 0, 4, 1},
			{record("quota", "a", 4, 1, 1), false, nil, 0, 4, 1},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := rwstore.New()
			for i, st := range c.steps {
				added, faults := s.Apply([]rwrecord.Record{st.r})
				require.Equal(t, st.isNew, len(added) == 1, "step %d", i)
				require.Equal(t, st.codes, codes(faults), "step %d", i)
				a, ok := s.Snapshot().Account("a")
				require.Equal(t, st.share > 0, ok, "step %d", i)
				require.Equal(t, st.share*1000, a.Weight, "step %d", i)
				require.Equal(t, st.rev, s.Snapshot().Rev(), "step %d", i)
				require.Equal(t, st.invalid, s.InvalidRecords(), "step %d", i)
			}
		})
	}
}

// Guards against a leaving upstream that becomes live again by a stale record, a
// later record of the same incarnation or a deletion, and against a lost report
// of a peer. Only a new incarnation may be live.
func TestLeavingIsRemembered(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(*rwstore.Store)
		lists bool
	}{
		{"live", func(s *rwstore.Store) { s.Apply([]rwrecord.Record{upstream("e", 1, "live", 3)}) }, true},
		{"leaving", func(s *rwstore.Store) { s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3)}) }, false},
		{"live again under the same incarnation", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3)})
			s.Apply([]rwrecord.Record{upstream("e", 2, "live", 3)})
		}, false},
		{"a lower incarnation", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3)})
			s.Apply([]rwrecord.Record{upstream("e", 2, "live", 2)})
		}, false},
		{"a new incarnation", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3)})
			s.Apply([]rwrecord.Record{upstream("e", 2, "live", 4)})
		}, true},
		{"the leaving record comes late", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 2, "live", 3)})
			s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3)})
		}, false},
		{"a peer knows", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 1, "live", 3)})
			s.MarkUpstreamLeaving(rwleaving.Upstream{Name: "e", Inc: 3})
		}, false},
		{"a peer knew first", func(s *rwstore.Store) {
			s.MarkUpstreamLeaving(rwleaving.Upstream{Name: "e", Inc: 3})
			s.Apply([]rwrecord.Record{upstream("e", 1, "live", 3)})
		}, false},
		{"a peer knows of an earlier incarnation", func(s *rwstore.Store) {
			s.MarkUpstreamLeaving(rwleaving.Upstream{Name: "e", Inc: 4})
			s.MarkUpstreamLeaving(rwleaving.Upstream{Name: "e", Inc: 2})
			s.Apply([]rwrecord.Record{upstream("e", 1, "live", 5)})
		}, true},
		{"deleted and published again", func(s *rwstore.Store) {
			s.Apply([]rwrecord.Record{upstream("e", 1, "leaving", 3), deletion("upstream", "e", 2), upstream("e", 3, "live", 3)})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := rwstore.New()
			c.do(s)
			require.Equal(t, c.lists, len(s.Snapshot().PoolUpstreams("drafter")) == 1)
			u, ok := s.Snapshot().Upstream("e")
			require.True(t, ok)
			require.Equal(t, c.lists, !u.Leaving)
			require.Equal(t, c.lists, !s.Snapshot().Leaving("e", u.Inc))
		})
	}
}

// Guards against two accounts that share a caller key, against upstreams whose
// window is used twice, and against a result that depends on the order of
// arrival: the record of the lower revision must win.
func TestConflicts(t *testing.T) {
	service := record("upstream", "service", 8, 1, map[string]any{
		"pool": "drafter", "zone": "za", "addr": "10.0.0.9:9", "type": "service", "window": 1, "state": "live", "inc": 1,
	})
	records := []rwrecord.Record{
		account("first", 3, 1, hash("a"), hash("b")),
		account("second", 4, 1, hash("b"), hash("c")),
		upstream("one", 5, "live", 1),
		upstream("two", 6, "live", 1), // the same address
		service,
	}
	for seed := range uint64(20) {
		s := rwstore.New()
		list := slices.Clone(records)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, r := range list {
			s.Apply([]rwrecord.Record{r})
		}
		require.Len(t, s.Conflicts(), 3)
		first, _ := s.Snapshot().Account("first")
		second, _ := s.Snapshot().Account("second")
		require.Equal(t, []string{hash("a"), hash("b")}, first.Keys)
		require.Equal(t, []string{hash("c")}, second.Keys)
		require.Len(t, s.Snapshot().PoolUpstreams("drafter"), 1)
		require.Equal(t, "one", s.Snapshot().PoolUpstreams("drafter")[0].Name)

		_, faults := s.Apply([]rwrecord.Record{account("first", 9, 1, hash("a")), upstream("one", 10, "leaving", 1)})
		second, _ = s.Snapshot().Account("second")
		require.Equal(t, []string{hash("b"), hash("c")}, second.Keys, "the key is free again")
		require.Equal(t, "two", s.Snapshot().PoolUpstreams("drafter")[0].Name)
		require.Len(t, faults, 1, "only the new conflict with upstream two must be reported")
		_, faults = s.Apply([]rwrecord.Record{account("third", 11, 1)})
		require.Empty(t, faults, "a known conflict must not be reported again")
	}
}

// Guards against equal stores with different digests, which would repair each
// other endlessly, and against different stores with equal digests, which would
// never be repaired.
func TestDigests(t *testing.T) {
	a, b := rwstore.New(), rwstore.New()
	require.Equal(t, a.Digest(), b.Digest())
	var records []rwrecord.Record
	for i := range int64(500) {
		records = append(records, account(fmt.Sprint("a", i%300), i+1, 1))
	}
	records = append(records, record("account", "a1", 600, 3, 1))
	a.Apply(records)
	slices.Reverse(records)
	b.Apply(records)
	require.Equal(t, a.BucketDigests(), b.BucketDigests())
	require.Equal(t, a.Digest(), b.Digest())
	require.Empty(t, a.DifferingRecords(b.BucketDigests()))

	b.Apply([]rwrecord.Record{account("a2", 700, 1)})
	require.NotEqual(t, a.Digest(), b.Digest())
	repair := b.DifferingRecords(a.BucketDigests())
	require.Less(t, len(repair), 30, "a repair must not send everything")
	a.Apply(repair)
	require.Equal(t, a.Digest(), b.Digest())
	require.Len(t, a.DifferingRecords(nil), len(a.RecordsAfter(0)), "digests of a wrong number must count as different")
}

// drawHistory returns a random history of published records: rising revisions,
// both schemas, unknown ones, invalid values, deletions and leaving upstreams.
func drawHistory(t *rapid.T) []rwrecord.Record {
	var history []rwrecord.Record
	n := rapid.IntRange(1, 25).Draw(t, "records")
	for i := range n {
		rev := int64(i + 1)
		name := rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "name")
		switch rapid.IntRange(0, 6).Draw(t, "form") {
		case 0:
			history = append(history, account(name, rev, int(rev), hash(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))))
		case 1:
			history = append(history, record("account", name, rev, 2, map[string]any{"weight": 1000 * rev}))
		case 2:
			history = append(history, record("account", name, rev, 3, 1))
		case 3:
			history = append(history, account(name, rev, 0))
		case 4:
			history = append(history, deletion("account", name, rev))
		default:
			history = append(history, upstream(name, rev, rapid.SampledFrom([]string{"live", "leaving"}).Draw(t, "state"), rapid.Int64Range(1, 3).Draw(t, "inc")))
		}
	}
	return history
}

// replica returns what a stale platform replica serves: the newest record of
// each name up to a revision.
func replica(history []rwrecord.Record, rev int64) []rwrecord.Record {
	newest := map[string]rwrecord.Record{}
	var names []string
	for _, r := range history {
		if r.Rev > rev {
			break
		}
		k := r.Kind + r.Name
		if _, ok := newest[k]; !ok {
			names = append(names, k)
		}
		newest[k] = r
	}
	var out []rwrecord.Record
	for _, k := range names {
		out = append(out, newest[k])
	}
	return out
}

// Guards against a configuration that reverts, a leaving upstream that becomes
// live again, and routers that disagree after they have exchanged all records,
// under random stale replicas, lost and repeated pushes, restarts and rejoins.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		last := history[len(history)-1].Rev
		stores := make([]*rwstore.Store, 5)
		monitors := make([]*monitor, len(stores))
		for i := range stores {
			stores[i], monitors[i] = rwstore.New(), newMonitor()
		}
		pick := func(what string) int { return rapid.IntRange(0, len(stores)-1).Draw(t, what) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, j := pick("router"), pick("peer")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				stores[i].Apply(replica(history, rapid.Int64Range(0, last).Draw(t, "replica")))
			case 1:
				r := history[rapid.IntRange(0, len(history)-1).Draw(t, "record")]
				stores[i].Apply([]rwrecord.Record{r})
			case 2:
				exchange(stores[i], stores[j])
			case 3:
				stores[i].Apply(stores[j].RecordsAfter(stores[i].Snapshot().Rev()))
			case 4:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					stores[i], monitors[i] = rwstore.New(), newMonitor()
				}
			}
			for k := range stores {
				monitors[k].check(t, stores[k])
			}
		}
		for range 2 {
			for i := range stores {
				exchange(stores[i], stores[(i+1)%len(stores)])
				exchange(stores[(i+1)%len(stores)], stores[i])
			}
		}
		for i, s := range stores {
			require.Equal(t, stores[0].Digest(), s.Digest())
			require.Equal(t, stores[0].RecordsAfter(0), s.RecordsAfter(0))
			require.Equal(t, stores[0].Snapshot(), s.Snapshot(), "router %d", i)
			monitors[i].check(t, s)
		}
	})
}

// exchange pulls all records and the leaving set from another store.
func exchange(to, from *rwstore.Store) {
	to.Apply(from.RecordsAfter(0))
	for _, l := range from.Leaving() {
		to.MarkUpstreamLeaving(l)
	}
}

// monitor checks that the active revisions of a router never decrease.
type monitor struct {
	revs  map[string]int64
	left  map[string]int64
	total int64
}

func newMonitor() *monitor { return &monitor{revs: map[string]int64{}, left: map[string]int64{}} }

func (w *monitor) check(t *rapid.T, s *rwstore.Store) {
	require.GreaterOrEqual(t, s.Snapshot().Rev(), w.total)
	w.total = s.Snapshot().Rev()
	for _, a := range s.Snapshot().Accounts() {
		// The weight of a valid account record is its revision.
		require.GreaterOrEqual(t, int64(a.Weight/1000), w.revs[a.Name], "account %s reverted", a.Name)
		w.revs[a.Name] = int64(a.Weight / 1000)
	}
	for _, u := range s.Snapshot().PoolUpstreams("drafter") {
		require.Greater(t, u.Inc, w.left[u.Name], "upstream %s became live again", u.Name)
	}
	for _, l := range s.Leaving() {
		require.GreaterOrEqual(t, l.Inc, w.left[l.Name])
		w.left[l.Name] = l.Inc
	}
}
