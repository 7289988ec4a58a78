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

// inherited reports whether this router is not the home of a key but has the
// handoffs of all routers of higher rank. Each of them begins no new opaque
// keys any more, and its handoff contains the keys that it may have executed.
func (m *Machine) inherited(key string) bool {
	for i, n := range m.list.Candidates(key) {
		if n == m.self.Name {
			return i > 0
		}
		if !m.handedOver(n) {
			return false
		}
	}
	return false
}

// isObsolete reports whether a stored intent is known to have had no effect:
// this router only forwarded the key to its home, and the home has left without
// executing it, or its handoff would contain the key. Without this check, a
// call that a home sent back to its entry router during shutdown got the
// outcome unknown if the entry router had inherited the key.
func (m *Machine) isObsolete(t *storedIntent, key string) bool {
	onlyForwarded := t.intent.Inc == 0 && len(t.intent.OtherRouters) == 0 && t.intent.Result == nil
	return onlyForwarded && !t.fromHandoff && t.intent.Router == m.list.Home(key) && m.inherited(key) && !m.config.Rules.TakeoverOnSuspicion
}

// handedOver reports whether a router has handed its keys over to this one and
// has not restarted since.
func (m *Machine) handedOver(name string) bool {
	inc, ok := m.handoffs[name]
	return ok && inc >= m.incarnations[name] || m.config.Rules.TakeoverOnSuspicion
}

// successor returns the router to which this leaving router forwards a call, or
// "".
func (m *Machine) successor(key string) string {
	after := false
	for _, n := range m.list.Candidates(key) {
		if after && !m.handedOver(n) {
			return n
		}
		after = after || n == m.self.Name
	}
	return ""
}

// Leave returns handoffs of all keys to the routers of the next ranks,
// including the keys that this router executed for routers that left earlier.
// After the first call this router begins no new opaque keys. Later calls
// return the same keys with the results that have become known. Leave returns
// no handoffs if this router is behind, or if it may not know all executed keys
// and the hold has not ended.
func (m *Machine) Leave(now time.Time) map[string]rwhandoff.Handoff {
	out := map[string]rwhandoff.Handoff{}
	homes, _, _ := m.unknownHomes()
	complete := !m.Behind() && m.list.Version.Rev > 0 && (m.holdEnded || len(homes) == 0)
	m.leaving = true
	if !complete {
		return out
	}
	if m.handoffTargets == nil {
		m.handoffTargets = maps.Clone(m.incarnations)
	}
	for _, n := range m.list.Live {
		if n != m.self.Name && m.handoffTargets[n] > 0 {
			out[n] = rwhandoff.Handoff{Version: m.list.Version, Inc: m.handoffTargets[n]}
		}
	}
	bytes := map[string]int{}
	for _, t := range slices.Concat(m.ownIntents(now), m.otherIntents(now), m.refusedAttempts(now)) {
		for _, to := range m.successors(t.Key) {
			h, ok := out[to]
			if !ok {
				continue
			}
			t.Result = nil
			if e := m.executions[t.Key]; e != nil && e.state == ended && !e.evicted {
				if bytes[to] += len(e.result.Body); bytes[to] <= maxResultBytes {
					t.Result = &e.result
				}
			}
			h.Intents = append(h.Intents, t)
			out[to] = h
		}
	}
	return out
}

// Close makes this router begin no key any more, tickets included. Keys in
// progress go on, and known results are still returned. Leave must be called
// before.
func (m *Machine) Close() { m.closed = true }

// Closed reports whether Close was called.
func (m *Machine) Closed() bool { return m.closed }

// successors returns the routers that may execute a key after this one has
// left. All of them get its intent, since each router acts only on the handoffs
// that it received itself.
func (m *Machine) successors(key string) []string {
	candidates := m.list.Candidates(key)
	return candidates[slices.Index(candidates, m.self.Name)+1:]
}

// refusedAttempts returns the keys that were not executed and have attempts
// which got the outcome not_run.
func (m *Machine) refusedAttempts(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range m.keyOrder {
		if e := m.executions[k]; e != nil && !e.ticket && e.state == free && len(e.refused) > 0 {
			t := m.ownIntent(now, k, e)
			t.Refused = e.refused
			out = append(out, t)
		}
	}
	return out
}

// addRefused stores the refused attempts of a key that was handed over.
func (m *Machine) addRefused(now time.Time, t rwintent.Intent) {
	if m.executions[t.Key] != nil || m.intents[t.Key] != nil {
		return
	}
	m.keyOrder = append(m.keyOrder, t.Key)
	m.executions[t.Key] = &execution{
		digest: t.Digest, expires: now.Add(t.TTL), refused: t.Refused,
		result: rwresult.Fault(rwcode.KeyHeld, rwoutcome.NotRun, "an earlier home refused this attempt"),
	}
}

// otherIntents returns the keys that earlier incarnations of this router may
// have executed, and those whose home is this router and that other routers may
// have executed. Without them, a complete sync would make routers that have
// lost these records cover a home whose keys they don't know.
func (m *Machine) otherIntents(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range slices.Sorted(maps.Keys(m.intents)) {
		t := m.intents[k].intent
		t.TTL = m.intents[k].expires.Sub(now)
		if m.executions[k] == nil && (t.MayHaveRun(m.self.Name) || m.list.Home(k) == m.self.Name) {
			out = append(out, t)
		}
	}
	return out
}

// HandleHandoff takes over the keys of a leaving home.
func (m *Machine) HandleHandoff(now time.Time, from rwidentity.Identity, h rwhandoff.Handoff) rwintentack.Ack {
	ok := m.observeIncarnation(now, from) && h.Version == m.list.Version && !m.Behind() && !m.leaving && h.Inc == m.self.Inc
	m.observeVersion(h.Version)
	for _, t := range h.Intents {
		if len(t.Refused) > 0 {
			m.addRefused(now, t)
			continue
		}
		ok = m.storeIntent(now, t) && ok
		if k := m.intents[t.Key]; k != nil {
			k.fromHandoff = true
		}
	}
	if ok && !h.Part {
		m.handoffs[from.Name] = from.Inc
	}
	return rwintentack.Ack{OK: ok, Seen: m.newest, Inc: m.self.Inc}
}
