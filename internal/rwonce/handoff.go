package rwonce

import (
	"maps"
	"slices"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwhandoff"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwintentack"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwresult"
)

// heir reports whether this router is not the home of a key but has the
// handoffs of all routers of higher rank. Each of them gave up all keys before
// and said which of them it may have run.
func (m *Machine) heir(key string) bool {
	for i, n := range m.list.Candidates(key) {
		if n == m.self.Name {
			return i > 0
		}
		if !m.left(n) {
			return false
		}
	}
	return false
}

// resolved reports whether a trace is known to stand for nothing: this router
// only forwarded the key to its home, which has left since without having run
// it, or its handoff would have named the key. Without this, a call that a home
// in its shutdown sent back to its entry, now the heir, was unknown.
func (m *Machine) resolved(t *mark, key string) bool {
	only := t.trace.Inc == 0 && len(t.trace.OtherRouters) == 0 && t.trace.Result == nil
	return only && !t.handed && t.trace.Router == m.list.Home(key) && m.heir(key) && !m.config.Rules.TakeoverOnSuspicion
}

// left reports whether a router has handed its keys over to this one and did
// not start again since.
func (m *Machine) left(name string) bool {
	inc, ok := m.handed[name]
	return ok && inc >= m.incs[name] || m.config.Rules.TakeoverOnSuspicion
}

// successor is the router that this one, which leaves, passes a call on to, or
// "".
func (m *Machine) successor(key string) string {
	after := false
	for _, n := range m.list.Candidates(key) {
		if after && !m.left(n) {
			return n
		}
		after = after || n == m.self.Name
	}
	return ""
}

// Leave hands the keys over to the routers of the next ranks, with those that
// this router ran for others that had left before. The first call ends this router's authority for keys that it doesn't know; later calls
// return the same keys with the results that are known by then.
func (m *Machine) Leave(now time.Time) map[string]rwhandoff.Handoff {
	out := map[string]rwhandoff.Handoff{}
	homes, _, _ := m.gaps()
	able := !m.Behind() && m.list.Version.Rev > 0 && (m.released || len(homes) == 0)
	m.leaving = true
	if !able {
		return out
	}
	if m.offered == nil {
		m.offered = maps.Clone(m.incs)
	}
	for _, n := range m.list.Live {
		if n != m.self.Name && m.offered[n] > 0 {
			out[n] = rwhandoff.Handoff{Version: m.list.Version, Inc: m.offered[n]}
		}
	}
	bytes := map[string]int{}
	for _, t := range slices.Concat(m.keys(now), m.foreign(now), m.refusals(now)) {
		for _, to := range m.heirs(t.Key) {
			h, ok := out[to]
			if !ok {
				continue
			}
			t.Result = nil
			if e := m.table[t.Key]; e != nil && e.state == ended && !e.evicted {
				if bytes[to] += len(e.result.Body); bytes[to] <= maxResults {
					t.Result = &e.result
				}
			}
			h.Intents = append(h.Intents, t)
			out[to] = h
		}
	}
	return out
}

// heirs are the routers that may run a key after this one has left. All of
// them get its trace, since each acts on the handoffs that it has itself.
func (m *Machine) heirs(key string) []string {
	ranks := m.list.Candidates(key)
	return ranks[slices.Index(ranks, m.self.Name)+1:]
}

// refusals returns the keys that didn't run and have attempts that were told
// so.
func (m *Machine) refusals(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range m.order {
		if e := m.table[k]; e != nil && !e.ticket && e.state == free && len(e.refused) > 0 {
			t := m.trace(now, k, e)
			t.Refused = e.refused
			out = append(out, t)
		}
	}
	return out
}

// refuse takes over the refused attempts of a key.
func (m *Machine) refuse(now time.Time, t rwintent.Intent) {
	if m.table[t.Key] != nil || m.marks[t.Key] != nil {
		return
	}
	m.order = append(m.order, t.Key)
	m.table[t.Key] = &entry{
		digest: t.Digest, expires: now.Add(t.TTL), refused: t.Refused,
		result: rwresult.Fault(rwcode.KeyHeld, rwoutcome.NotRun, "an earlier home refused this attempt"),
	}
}

// foreign returns the keys that earlier incarnations of this router may have
// run, and those that are at home here and that others may have run. Without
// them a full message would let routers that lost these traces cover a home
// whose keys they don't know.
func (m *Machine) foreign(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range slices.Sorted(maps.Keys(m.marks)) {
		t := m.marks[k].trace
		t.TTL = m.marks[k].expires.Sub(now)
		if m.table[k] == nil && (t.MayHaveRun(m.self.Name) || m.list.Home(k) == m.self.Name) {
			out = append(out, t)
		}
	}
	return out
}

// HandleHandoff takes the keys of a home that leaves.
func (m *Machine) HandleHandoff(now time.Time, from rwidentity.Identity, h rwhandoff.Handoff) rwintentack.Ack {
	ok := m.greet(now, from) && h.Version == m.list.Version && !m.Behind() && !m.leaving && h.Inc == m.self.Inc
	m.meet(h.Version)
	for _, t := range h.Intents {
		if len(t.Refused) > 0 {
			m.refuse(now, t)
			continue
		}
		ok = m.remember(now, t) && ok
		if k := m.marks[t.Key]; k != nil {
			k.handed = true
		}
	}
	if ok && !h.Part {
		m.handed[from.Name] = from.Inc
	}
	return rwintentack.Ack{OK: ok, Seen: m.seen, Inc: m.self.Inc}
}
