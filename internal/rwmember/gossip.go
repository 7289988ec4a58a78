package rwmember

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwprobecall"
	"redwingworks.example/internal/rwupdate"
)

// AddLeavingUpstream records a leaving upstream and queues it for gossip. It
// reports false if this or a higher incarnation is already known to be leaving.
func (m *Members) AddLeavingUpstream(l rwleaving.Upstream) bool {
	if old, ok := m.upstreams[l.Name]; ok && old >= l.Inc {
		return false
	}
	m.upstreams[l.Name] = l.Inc
	m.enqueue(upstreamUpdate(l.Name, l.Inc))
	return true
}

func upstreamUpdate(name string, inc int64) rwupdate.Update {
	return rwupdate.Update{State: rwupdate.Upstream, Identity: rwidentity.Identity{Name: name, Inc: inc}}
}

func (m *Members) merge(now time.Time, updates []rwupdate.Update) {
	for _, u := range updates {
		m.mergeOne(now, u)
	}
}

func (m *Members) mergeOne(now time.Time, u rwupdate.Update) {
	if u.State == rwupdate.Upstream {
		l := rwleaving.Upstream{Name: u.Identity.Name, Inc: u.Identity.Inc}
		if m.AddLeavingUpstream(l) {
			m.changes.Leaving = append(m.changes.Leaving, l)
		}
		return
	}
	if u.Identity.Name == m.self.Name {
		m.mergeSelf(u)
		return
	}
	if u.State == rwupdate.Alive {
		m.observeAlive(u.Identity, u.Refutations, u.Leaving)
		return
	}
	m.applySuspicion(now, u)
}

// mergeSelf handles an update about this router itself: it refutes a
// suspicion and notices a higher incarnation of its own name.
func (m *Members) mergeSelf(u rwupdate.Update) {
	switch {
	case u.Identity.Inc > m.self.Inc:
		if !m.superseded {
			m.superseded = true
			m.version++
		}
	case u.Identity.Inc < m.self.Inc:
	case u.State != rwupdate.Alive && u.Refutations >= m.refutations:
		m.refutations = u.Refutations + 1
		m.announce()
	case u.Refutations > m.refutations:
		m.refutations = u.Refutations
	}
}

// Superseded reports whether a higher incarnation of this router's own name
// exists: another process has the same name, or the clock was set back before
// a restart. Live then excludes this router, so that it owns no cell while its
// region has another live router.
func (m *Members) Superseded() bool { return m.superseded }

func (m *Members) announce() { m.enqueue(m.selfUpdate()) }

func (m *Members) selfUpdate() rwupdate.Update {
	return rwupdate.Update{State: rwupdate.Alive, Identity: m.self, Refutations: m.refutations, Leaving: m.leaving}
}

// observeAlive handles evidence that an incarnation is alive and has refuted
// a number of suspicions.
func (m *Members) observeAlive(id rwidentity.Identity, refuted uint64, leaving bool) {
	if id.Name == m.self.Name {
		if id.Inc > m.self.Inc && !m.superseded {
			m.superseded = true
			m.version++
		}
		return
	}
	if id.Name == "" || id.Addr == "" {
		// Peers reject an update without them, and with it the whole message.
		return
	}
	x := m.members[id.Name]
	switch {
	case x == nil || id.Inc > x.id.Inc:
		m.replace(x, id, refuted, leaving)
	case id.Inc < x.id.Inc:
		return
	case refuted > x.refutations:
		m.applyRefutation(x, refuted, leaving)
	case leaving && !x.leaving && x.state != dead:
		m.setLeaving(x)
	}
}

func (m *Members) replace(old *member, id rwidentity.Identity, refuted uint64, leaving bool) {
	if old != nil && old.state != dead {
		m.changes.Gone = append(m.changes.Gone, old.id)
	}
	x := &member{id: id, refutations: refuted, leaving: leaving}
	m.members[id.Name] = x
	delete(m.suspectOrDead, id.Name)
	delete(m.probes, id.Name)
	m.version++
	m.enqueue(m.updateFor(x))
}

func (m *Members) applyRefutation(x *member, refuted uint64, leaving bool) {
	wasLive := x.live()
	x.refutations = refuted
	x.state = alive
	delete(m.suspectOrDead, x.id.Name)
	x.leaving = x.leaving || leaving
	if wasLive != x.live() {
		m.version++
	}
	m.enqueue(m.updateFor(x))
}

func (m *Members) setLeaving(x *member) {
	x.leaving = true
	m.version++
	m.enqueue(m.updateFor(x))
}

// applySuspicion handles the report of another router that a member is suspect
// or dead. A report on an unknown incarnation is ignored, since it has no
// address.
func (m *Members) applySuspicion(now time.Time, u rwupdate.Update) {
	x := m.members[u.Identity.Name]
	if x == nil || x.id.Inc != u.Identity.Inc || u.Refutations < x.refutations || x.state == dead {
		return
	}
	if u.Leaving && !x.leaving {
		m.setLeaving(x)
	}
	if x.state == alive || u.Refutations > x.refutations {
		x.refutations = u.Refutations
		m.markSuspect(now, x)
	}
}

func (m *Members) updateFor(x *member) rwupdate.Update {
	names := map[state]string{alive: rwupdate.Alive, suspect: rwupdate.Suspect, dead: rwupdate.Dead}
	return rwupdate.Update{State: names[x.state], Identity: x.id, Refutations: x.refutations, Leaving: x.leaving}
}

// enqueue queues an update for gossip and replaces an older one about the same
// member or upstream.
func (m *Members) enqueue(u rwupdate.Update) {
	if m.mergingFullList && u.Identity.Name != m.self.Name {
		return
	}
	key := "m/" + u.Identity.Name
	if u.State == rwupdate.Upstream {
		key = "u/" + u.Identity.Name
	}
	m.nextSeq++
	m.queue[key] = &queuedUpdate{update: u, seq: m.nextSeq, since: m.now, urgent: true}
}

// takeUpdates returns up to n queued updates, least transmitted first and newest
// first among those. Updates about the receiver are left out; gossipMessage
// adds the receiver's state if it is not alive.
func (m *Members) takeUpdates(n int, to string, urgent bool) []rwupdate.Update {
	var keys []string
	for k, q := range m.queue {
		if k != "m/"+to && (q.urgent || !urgent) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		x, y := m.queue[a], m.queue[b]
		return cmp.Or(cmp.Compare(x.transmissions, y.transmissions), cmp.Compare(y.seq, x.seq))
	})
	limit := retransmitFactor * bits.Len(uint(len(m.members)+1))
	var out []rwupdate.Update
	for _, k := range keys[:min(n, len(keys))] {
		q := m.queue[k]
		out = append(out, q.update)
		if q.transmissions++; q.transmissions >= limit {
			delete(m.queue, k)
		}
	}
	return out
}

// flushUrgent sends urgent updates to a few routers without waiting for the
// next probe.
func (m *Members) flushUrgent(now time.Time) []rwprobecall.ProbeCall {
	if now.Before(m.nextFlush) {
		return nil
	}
	msg := m.header()
	msg.Updates = m.takeUpdates(maxUpdatesPerMessage, "", true)
	if len(msg.Updates) == 0 {
		return nil
	}
	m.nextFlush = now.Add(flushInterval)
	for _, q := range m.queue {
		q.urgent = q.urgent && !slices.Contains(msg.Updates, q.update)
	}
	var out []rwprobecall.ProbeCall
	for _, x := range m.pickAlive(fanout, "") {
		out = append(out, rwprobecall.ProbeCall{Addr: x.id.Addr, Method: "ping", Probe: msg})
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
