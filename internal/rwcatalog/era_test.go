package rwcatalog

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	modelStep = 100 * time.Millisecond
	// rewriteTime is the time within which all that live have written again after a
	// return of the store, and modelTTL the time after which the others lapse.
	rewriteTime = 1200 * time.Millisecond
	modelTTL    = 3600 * time.Millisecond
)

var seeds = flag.Uint64("seeds", 300, "number of histories")

// modelDecode reads "config VERSION" and "BORN STATE".
func modelDecode(it rwitem.Item) (Decoded, error) {
	var n int64
	if _, err := fmt.Sscanf(string(it.Value), "config %d", &n); err == nil {
		return Decoded{Config: rwrouteconfig.New(n, rwrouteconfig.Limits{}, nil, nil, nil)}, nil
	}
	var state string
	_, err := fmt.Sscanf(string(it.Value), "%d %s", &n, &state)
	return Decoded{Instance: &rwinstance.Instance{ID: it.Key, StartMillis: n, Leaving: state == "leaving"}}, err
}

// modelStore is a store that comes back from older copies.
type modelStore struct {
	era, rev int64
	items    map[string]rwitem.Item
}

func (s *modelStore) put(key, value string) {
	s.rev++
	s.items[key] = rwitem.Item{Key: key, Value: []byte(value), Rev: s.rev}
}

func (s *modelStore) remove(key string) {
	s.rev++
	delete(s.items, key)
}

func (s *modelStore) copy() modelStore { return modelStore{rev: s.rev, items: maps.Clone(s.items)} }

func (s *modelStore) list() (rwrevision.Revision, []rwitem.Item, map[string]bool) {
	var out []rwitem.Item
	keys := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		it := s.items[key]
		it.Era = s.era
		out = append(out, it)
		keys[key] = true
	}
	return rwrevision.Revision{Era: s.era, Rev: s.rev}, out, keys
}

// modelServer is an upstream. It lives until its state is empty.
type modelServer struct {
	born  int64
	state string
}

// incarnation is an upstream between two starts.
type incarnation struct {
	id   string
	born int64
}

// modelRouter is a catalog and what it must not forget.
type modelRouter struct {
	*Catalog
	version int64
	left    map[incarnation]bool
	// usable holds the incarnations that got work at the last step.
	usable map[incarnation]bool
	// missingSince holds since when entries are missing.
	missingSince map[string]time.Time
	cut          bool
}

func newModelRouter() *modelRouter {
	r := &modelRouter{Catalog: New(modelDecode), left: map[incarnation]bool{}, missingSince: map[string]time.Time{}}
	r.EntryTTL = modelTTL
	return r
}

// model is routers in front of servers whose store returns from copies.
type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	store   modelStore
	copies  []modelStore
	version int64
	servers map[string]*modelServer
	// due holds what is written again after a return, and when entries lapse.
	due     map[string]time.Time
	routers []*modelRouter
}

func (m *model) chance(p float64) bool { return m.random.Float64() < p }

// write writes the entry of a server as it is.
func (m *model) write(id string) {
	if s := m.servers[id]; s.state != "" {
		m.store.put(id, fmt.Sprintf("%d %s", s.born, s.state))
	} else if _, ok := m.store.items[id]; ok {
		m.store.remove(id)
	}
}

func (m *model) change() {
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		switch {
		case s.state == "" && m.chance(0.05):
			s.born, s.state = s.born+1, "ready"
		case s.state == "ready" && m.chance(0.02):
			s.state = "leaving"
		case s.state == "leaving" && m.chance(0.05), s.state == "ready" && m.chance(0.01):
			s.state = ""
		default:
			continue
		}
		m.write(id)
	}
	if m.chance(0.1) {
		m.version++
		m.store.put("p", fmt.Sprintf("config %d", m.version))
	}
}

// comeBack makes the store return from a copy.
func (m *model) comeBack() {
	c := m.copies[m.random.IntN(len(m.copies))]
	m.store = modelStore{era: m.store.era + 1, rev: c.rev, items: maps.Clone(c.items)}
	m.copies = []modelStore{m.store.copy()}
	m.due = map[string]time.Time{"p": m.now.Add(time.Duration(m.random.Int64N(int64(rewriteTime))))}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		d := time.Duration(m.random.Int64N(int64(rewriteTime)))
		if s.state == "" {
			d = modelTTL
		}
		m.due[id] = m.now.Add(d)
	}
}

func (m *model) writeAgain() {
	for _, key := range slices.Sorted(maps.Keys(m.due)) {
		if m.now.Before(m.due[key]) {
			continue
		}
		delete(m.due, key)
		if key == "p" {
			m.store.put("p", fmt.Sprintf("config %d", m.version))
		} else {
			m.write(key)
		}
	}
}

// read lets a router list the store, or ask another one.
func (m *model) read(r *modelRouter, list bool) {
	if r.cut {
		return
	}
	if list {
		asOf, items, keys := m.store.list()
		r.Apply(m.now, items)
		r.ApplyListing(m.now, asOf, keys, func(string) bool { return true })
		r.Advance(m.now, asOf)
		return
	}
	other := m.routers[m.random.IntN(len(m.routers))]
	if other.cut || other == r {
		return
	}
	after := r.Rev()
	if m.chance(0.2) {
		after = rwrevision.Revision{}
	}
	if items, rev := other.Since(after), other.Rev(); rev.After(after) {
		r.Apply(m.now, items)
		r.Advance(m.now, rev)
	}
}

// check fails if a router has forgotten what it knew.
func (m *model) check(r *modelRouter) {
	m.t.Helper()
	if c := r.Config(); c != nil {
		require.GreaterOrEqual(m.t, c.Version, r.version, "seed %d: an older configuration is active", m.seed)
		r.version = c.Version
	}
	usable := map[incarnation]bool{}
	for _, in := range r.Instances() {
		k := incarnation{in.ID, in.StartMillis}
		if in.Leaving {
			r.left[k] = true
		} else {
			usable[k] = true
		}
		require.False(m.t, r.left[k] && !in.Leaving, "seed %d: %v gets work and was leaving", m.seed, k)
	}
	for id, e := range r.items {
		if _, known := r.missingSince[id]; !e.item.Deleted {
			delete(r.missingSince, id)
		} else if !known {
			r.missingSince[id] = m.now
		}
	}
	for k := range r.usable {
		s := m.servers[k.id]
		lives := s.state == "ready" && s.born == k.born
		missing, ok := r.missingSince[k.id]
		lapsed := ok && m.now.Sub(missing) >= lapseGrace
		require.False(m.t, lives && !lapsed && !usable[k] && m.now.Sub(r.returnedAt) < lapseGrace, "seed %d: %v is forgotten and lives", m.seed, k)
	}
	r.usable = usable
}

func (m *model) step(calm bool) {
	m.now = m.now.Add(modelStep)
	m.writeAgain()
	if !calm {
		m.change()
		if m.chance(0.1) {
			m.copies = append(m.copies, m.store.copy())
		}
		if m.chance(0.02) {
			m.comeBack()
		}
	}
	for i, r := range m.routers {
		switch {
		case !calm && m.chance(0.005):
			m.routers[i] = newModelRouter()
			continue
		case calm:
			r.cut = false
		case m.chance(0.03):
			r.cut = !r.cut
		}
		m.read(r, calm || m.chance(0.3))
		r.Tick(m.now)
		m.check(r)
	}
}

// Guards against routers that go back to what an older copy of the store holds,
// forget what lives, or end with different views: routers read the store and each
// other, restart and are cut off while it returns from copies, twice in a short time
// too.
func TestReturnsOfTheStore(t *testing.T) {
	const steps = 400
	for seed := range *seeds {
		m := &model{
			t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), version: 1,
			store: modelStore{items: map[string]rwitem.Item{}}, servers: map[string]*modelServer{},
		}
		m.store.put("p", "config 1")
		for i := range 5 {
			id := fmt.Sprintf("s%d", i)
			m.servers[id] = &modelServer{1, "ready"}
			m.write(id)
		}
		m.copies = append(m.copies, m.store.copy())
		for range 4 {
			m.routers = append(m.routers, newModelRouter())
		}
		for range steps {
			m.step(false)
		}
		for range int((modelTTL + lapseGrace + time.Second) / modelStep) {
			m.step(true)
		}
		var want []string
		for id, s := range m.servers {
			if s.state != "" {
				want = append(want, strings.TrimSpace(fmt.Sprintf("%s %d %s", id, s.born, s.state)))
			}
		}
		for _, r := range m.routers {
			var got []string
			for _, in := range r.Instances() {
				state := "ready"
				if in.Leaving {
					state = "leaving"
				}
				got = append(got, fmt.Sprintf("%s %d %s", in.ID, in.StartMillis, state))
			}
			require.ElementsMatch(t, want, got, "seed %d", seed)
			require.Equal(t, m.version, r.Config().Version, "seed %d", seed)
		}
	}
}
