package rwmember

import (
	"cmp"
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwprobe"
	"redwingworks.example/internal/rwprobecall"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwupdate"
)

// Tick advances the clock and returns the messages that are due. It should be
// called at least every 50 ms.
func (m *Members) Tick(now time.Time) []rwprobecall.ProbeCall {
	m.now = now
	out := m.expire(now)
	out = append(out, m.probeRound(now)...)
	out = append(out, m.verifySuspects(now)...)
	out = append(out, m.probeCandidates(now)...)
	return append(out, m.flushUrgent(now)...)
}

// Resume restarts all timers after the process was paused: the missing messages
// of the others are due to the pause, not to failures. The router announces
// itself with a higher count of refutations, since others may have declared it
// dead.
func (m *Members) Resume(now time.Time) []rwprobecall.ProbeCall {
	m.now = now
	m.calls = map[uint64]*call{}
	m.probes = map[string]*probe{}
	for _, x := range m.members {
		x.stateSince, x.nextVerify = now, now
	}
	m.nextJoin, m.nextFlush, m.joinUntil = now, now, now.Add(joinTime)
	m.refutations++
	m.announce()
	return m.Tick(now)
}

// Leave marks this router as leaving. Live then excludes it, so that it owns no
// cells while its region has another live router. It can't be undone for the
// lifetime of the process.
func (m *Members) Leave(now time.Time) []rwprobecall.ProbeCall {
	if !m.leaving {
		m.leaving = true
		m.version++
		m.announce()
	}
	m.nextFlush = now
	return m.flushUrgent(now)
}

// probeRound probes one member per interval. All routers with the same members
// and clock use the same pseudo-random offset in the sorted list, so that each
// member is probed exactly once per interval. Unlike independent random
// choices, this bounds the time to detect a failure. Where clocks or members
// differ, the choices are no worse than independent ones. Suspects are probed
// by verifySuspects.
func (m *Members) probeRound(now time.Time) []rwprobecall.ProbeCall {
	round := now.Add(-m.phase).UnixNano() / int64(probeInterval)
	if round == m.lastRound {
		return nil
	}
	m.lastRound = round
	names := []string{m.self.Name}
	for _, x := range m.inState(alive) {
		names = append(names, x.id.Name)
	}
	if len(names) == 1 {
		return nil
	}
	slices.Sort(names)
	at, _ := slices.BinarySearch(names, m.self.Name)
	shift := 1 + int(rwrendezvous.Score("round", time.Duration(round).String())%uint64(len(names)-1))
	out := m.startProbe(now, m.members[names[(at+shift)%len(names)]])
	if now.Sub(m.lastSuspicion) < postSuspicionTime {
		out = append(out, m.probeOldest(now)...)
	}
	return out
}

// probeOldest probes the member whose last message is the oldest. After many
// simultaneous failures, a few suspicions don't reach every router, and random
// probes alone would take many intervals to find the failed members.
func (m *Members) probeOldest(now time.Time) []rwprobecall.ProbeCall {
	var oldest *member
	for _, x := range m.inState(alive) {
		if m.probes[x.id.Name] == nil && (oldest == nil || x.lastMessage.Before(oldest.lastMessage)) {
			oldest = x
		}
	}
	if oldest == nil {
		return nil
	}
	return m.startProbe(now, oldest)
}

// startProbe starts a probe of a member unless one is running.
func (m *Members) startProbe(now time.Time, x *member) []rwprobecall.ProbeCall {
	if m.probes[x.id.Name] != nil {
		return nil
	}
	return []rwprobecall.ProbeCall{m.probeMember(now, x, m.gossipMessage(x.id.Name))}
}

func (m *Members) probeMember(now time.Time, x *member, msg rwprobe.Probe) rwprobecall.ProbeCall {
	p := &probe{target: x.id.Name, addr: x.id.Addr, isMember: true, deadline: now.Add(directTimeout)}
	m.probes[p.target] = p
	return m.ping(now, p, msg)
}

func (m *Members) ping(now time.Time, p *probe, msg rwprobe.Probe) rwprobecall.ProbeCall {
	m.nextCall++
	m.calls[m.nextCall] = &call{probe: p, direct: true, wantsMembers: msg.WantMembers, sent: now}
	return rwprobecall.ProbeCall{ID: m.nextCall, Addr: p.addr, Method: "ping", Probe: msg}
}

// startIndirectProbes asks other routers to ping the target.
func (m *Members) startIndirectProbes(now time.Time, p *probe) []rwprobecall.ProbeCall {
	p.indirectStarted = true
	p.deadline = now.Add(indirectTimeout)
	var out []rwprobecall.ProbeCall
	for _, x := range m.pickAlive(indirectProbes, p.target) {
		msg := m.messageAbout(p.target)
		msg.Target, msg.Addr = p.target, p.addr
		m.nextCall++
		m.calls[m.nextCall] = &call{probe: p, sent: now}
		p.pendingIndirect++
		out = append(out, rwprobecall.ProbeCall{ID: m.nextCall, Addr: x.id.Addr, Method: "probe", Probe: msg})
	}
	if p.pendingIndirect == 0 {
		m.failProbe(now, p)
	}
	return out
}

// pickAlive returns up to n random members that are neither dead nor suspect,
// using the seeded generator.
func (m *Members) pickAlive(n int, except string) []*member {
	list := slices.DeleteFunc(m.inState(alive), func(x *member) bool { return x.id.Name == except })
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// expire ends probes, suspicions, queued updates and calls whose time is over,
// and removes members that are long dead and not published.
func (m *Members) expire(now time.Time) []rwprobecall.ProbeCall {
	var out []rwprobecall.ProbeCall
	for _, name := range sortedKeys(m.probes) {
		p := m.probes[name]
		if now.Before(p.deadline) {
			continue
		}
		if p.isMember && !p.indirectStarted && !p.verifyOnly {
			out = append(out, m.handleMissedPing(now, p)...)
			continue
		}
		if p.verifyOnly {
			m.recordMissedPing(p.target)
		}
		m.failProbe(now, p)
	}
	for key, q := range m.queue {
		if now.Sub(q.since) >= updateLifetime {
			delete(m.queue, key)
		}
	}
	for id, c := range m.calls {
		if now.Sub(c.sent) > suspicionTime {
			delete(m.calls, id)
		}
	}
	for _, x := range m.inState(suspect) {
		if now.Sub(x.stateSince) >= suspicionTime {
			m.markDead(now, x)
		}
	}
	for _, x := range m.inState(dead) {
		if now.Sub(x.stateSince) >= deadRetention && !m.isPublished(x.id.Name) {
			delete(m.members, x.id.Name)
			delete(m.suspectOrDead, x.id.Name)
		}
	}
	return out
}

// inState returns the members in a state, sorted by name.
func (m *Members) inState(s state) []*member {
	from := m.suspectOrDead
	if s == alive {
		from = m.members
	}
	var list []*member
	for _, x := range from {
		if x.state == s {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.id.Name, b.id.Name) })
	return list
}

func (m *Members) handleMissedPing(now time.Time, p *probe) []rwprobecall.ProbeCall {
	m.recordMissedPing(p.target)
	return append(m.startIndirectProbes(now, p), m.probeAnother(now)...)
}

func (m *Members) recordMissedPing(name string) {
	if x := m.members[name]; x != nil {
		x.missedPings++
		m.unanswered[name] = x
	}
}

// probeAnother starts a probe of another member after one without an answer.
// When many members fail at once, as in a zone partition, this finds them much
// faster than one probe per interval. At 5% message loss it adds a tenth to the
// number of probes.
func (m *Members) probeAnother(now time.Time) []rwprobecall.ProbeCall {
	running := 0
	for _, p := range m.probes {
		if p.isMember && !p.verifyOnly {
			running++
		}
	}
	if running >= maxRunningProbes {
		return nil
	}
	for _, x := range m.pickAlive(len(m.members), "") {
		if m.probes[x.id.Name] == nil {
			return m.startProbe(now, x)
		}
	}
	return nil
}

// failProbe ends a probe without an answer. It suspects the member unless the
// probe was only a verification.
func (m *Members) failProbe(now time.Time, p *probe) {
	delete(m.probes, p.target)
	x := m.members[p.target]
	if p.isMember && !p.verifyOnly && x != nil && x.state == alive {
		m.markSuspect(now, x)
	}
}

func (m *Members) markSuspect(now time.Time, x *member) {
	x.state, x.stateSince = suspect, now
	x.nextVerify = now
	m.lastSuspicion = now
	m.suspectOrDead[x.id.Name] = x
	m.enqueue(m.updateFor(x))
}

// markDead declares a member dead. The queued suspicion is still gossiped, so
// that routers which missed it start their own timers.
func (m *Members) markDead(now time.Time, x *member) {
	wasLive := x.live()
	x.state, x.stateSince = dead, now
	if wasLive {
		m.version++
	}
	m.changes.Gone = append(m.changes.Gone, x.id)
}

// verifySuspects pings each suspect, so that it is notified of the suspicion
// and can refute it. These pings start no indirect probes and carry no other
// updates, since after a partition every router sends them to all members of
// the other side. Members that answer only indirect probes are pinged too, so
// that Reachable is correct within seconds.
func (m *Members) verifySuspects(now time.Time) []rwprobecall.ProbeCall {
	var out []rwprobecall.ProbeCall
	for _, x := range m.inState(suspect) {
		out = append(out, m.verifyOne(now, x, verifyInterval)...)
	}
	for _, name := range sortedKeys(m.unanswered) {
		if x := m.members[name]; x == m.unanswered[name] && x.state == alive {
			out = append(out, m.verifyOne(now, x, unansweredInterval)...)
		} else if x != m.unanswered[name] || x.state == dead {
			delete(m.unanswered, name)
		}
	}
	return out
}

func (m *Members) verifyOne(now time.Time, x *member, interval time.Duration) []rwprobecall.ProbeCall {
	if now.Before(x.nextVerify) || m.probes[x.id.Name] != nil {
		return nil
	}
	x.nextVerify = now.Add(interval)
	p := &probe{target: x.id.Name, addr: x.id.Addr, isMember: true, verifyOnly: true, deadline: now.Add(directTimeout)}
	m.probes[p.target] = p
	return []rwprobecall.ProbeCall{m.ping(now, p, m.messageAbout(p.target))}
}

// probeCandidates pings addresses that should belong to a router: published
// VMs, seeds and dead members.
func (m *Members) probeCandidates(now time.Time) []rwprobecall.ProbeCall {
	if now.Before(m.nextJoin) {
		return nil
	}
	if m.joinUntil.IsZero() {
		m.joinUntil = now.Add(joinTime)
	}
	joining := now.Before(m.joinUntil)
	n, wait := 1, candidateInterval
	if joining {
		wait = joinInterval
	}
	if m.hasNoLiveMember() {
		n, wait = joinProbes, joinInterval
	}
	m.nextJoin = now.Add(wait)
	var out []rwprobecall.ProbeCall
	for range n {
		addr := m.nextCandidate()
		if addr == "" && joining {
			return append(out, m.requestMembers(now)...)
		}
		if addr == "" || m.probes[addr] != nil {
			break
		}
		p := &probe{target: addr, addr: addr, deadline: now.Add(directTimeout)}
		m.probes[addr] = p
		msg := m.gossipMessage(m.nameAt(addr))
		msg.WantIdentity, msg.WantMembers = true, joining
		out = append(out, m.ping(now, p, msg))
	}
	return out
}

// requestMembers requests the member list of a random live member. The first list
// lacks the routers that join a moment later, and others that get those in a list too
// don't gossip them. A published VM list names them all.
func (m *Members) requestMembers(now time.Time) []rwprobecall.ProbeCall {
	if len(m.published) > 0 || now.Before(m.nextList) {
		return nil
	}
	for _, x := range m.pickAlive(len(m.members), "") {
		if m.probes[x.id.Name] == nil {
			m.nextList = now.Add(listInterval)
			msg := m.gossipMessage(x.id.Name)
			msg.WantMembers = true
			return []rwprobecall.ProbeCall{m.probeMember(now, x, msg)}
		}
	}
	return nil
}

func (m *Members) hasNoLiveMember() bool {
	for _, x := range m.members {
		if x.state != dead {
			return false
		}
	}
	return true
}

// nextCandidate iterates over the candidate addresses in a random order and
// reshuffles them after each pass.
func (m *Members) nextCandidate() string {
	wanted := m.candidateSet()
	for range 2 {
		for len(m.candidates) > 0 {
			addr := m.candidates[0]
			m.candidates = m.candidates[1:]
			if wanted[addr] {
				return addr
			}
		}
		m.candidates = sortedKeys(wanted)
		m.random.Shuffle(len(m.candidates), func(i, j int) {
			m.candidates[i], m.candidates[j] = m.candidates[j], m.candidates[i]
		})
	}
	return ""
}

func (m *Members) candidateSet() map[string]bool {
	set := map[string]bool{}
	for _, a := range m.seeds {
		set[a] = true
	}
	for _, v := range m.published {
		set[v.Addr] = true
	}
	for _, x := range m.members {
		if x.state == dead {
			set[x.id.Addr] = true
		}
	}
	for _, x := range m.members {
		if x.state != dead {
			delete(set, x.id.Addr)
		}
	}
	delete(set, m.self.Addr)
	return set
}

func (m *Members) nameAt(addr string) string {
	for _, name := range sortedKeys(m.members) {
		if m.members[name].id.Addr == addr {
			return name
		}
	}
	return ""
}

func (m *Members) isPublished(name string) bool {
	for _, v := range m.published {
		if v.Name == name {
			return true
		}
	}
	return false
}

// HandlePing handles a ping and returns the answer and further messages.
func (m *Members) HandlePing(now time.Time, from rwidentity.Identity, msg rwprobe.Probe) (rwprobe.Probe, []rwprobecall.ProbeCall) {
	if msg.Inc == from.Inc && msg.Name == from.Name {
		m.observeAlive(from, msg.Refutations, msg.Leaving)
		m.recordMessage(now, from.Name)
	}
	m.merge(now, msg.Updates)
	answer := m.gossipMessage(from.Name)
	if msg.WantMembers {
		answer.Updates = m.fullList()
	}
	if msg.WantIdentity {
		answer.Updates = append(answer.Updates, m.selfUpdate())
	}
	return answer, m.flushUrgent(now)
}

func (m *Members) recordMessage(now time.Time, name string) {
	if x := m.members[name]; x != nil {
		x.lastMessage = now
	}
}

// HandleIndirectProbe handles a request to probe another router and returns the
// ping to send to that router. IndirectProbeResult makes the answer to the
// requester.
func (m *Members) HandleIndirectProbe(now time.Time, from rwidentity.Identity, msg rwprobe.Probe) rwprobecall.ProbeCall {
	_, _ = m.HandlePing(now, from, msg)
	return rwprobecall.ProbeCall{Addr: msg.Addr, Method: "ping", Probe: m.messageAbout(msg.Target)}
}

// IndirectProbeResult handles the answer to the ping of an indirect probe, nil
// if there was none, and returns the answer to the router that requested it.
func (m *Members) IndirectProbeResult(now time.Time, target string, answer *rwprobe.Probe) rwprobe.Probe {
	if answer != nil && answer.Name == target {
		m.handleDirectAnswer(now, target, *answer)
		m.merge(now, answer.Updates)
	}
	out := m.messageAbout(target)
	if x := m.members[target]; x != nil && len(out.Updates) == 0 {
		// The requester gets a refutation directly with the answer.
		out.Updates = append(out.Updates, m.updateFor(x))
	}
	out.Acked = answer != nil && answer.Name == target
	return out
}

// HandleAnswer handles the answer to a call.
func (m *Members) HandleAnswer(now time.Time, id uint64, msg rwprobe.Probe) []rwprobecall.ProbeCall {
	c := m.calls[id]
	delete(m.calls, id)
	if c == nil {
		return nil
	}
	m.mergingFullList = c.wantsMembers
	m.merge(now, msg.Updates)
	m.mergingFullList = false
	if !c.direct {
		m.handleIndirectAnswer(now, c.probe, msg.Acked)
		return m.flushUrgent(now)
	}
	if !c.probe.isMember {
		// After a partition, other routers are probably reachable again too, so
		// the next tick tries another candidate.
		m.nextJoin = now
	}
	if c.probe.isMember && msg.Name == c.probe.target {
		m.handleDirectAnswer(now, msg.Name, msg)
	}
	if m.probes[c.probe.target] == c.probe && (!c.probe.isMember || msg.Name == c.probe.target) {
		delete(m.probes, c.probe.target)
	}
	return m.flushUrgent(now)
}

// handleDirectAnswer handles a member's answer to a direct ping. It restarts
// the suspicion timer of a suspect, which stays suspect until it refutes; its
// answers do so once it was notified of the suspicion. Pings sent by a suspect
// don't restart the timer, since a router that can send but not receive is
// unusable.
func (m *Members) handleDirectAnswer(now time.Time, name string, msg rwprobe.Probe) {
	x := m.members[name]
	if x == nil {
		return
	}
	x.missedPings = 0
	delete(m.unanswered, name)
	x.lastMessage = now
	id := x.id
	id.Inc = msg.Inc
	m.observeAlive(id, msg.Refutations, msg.Leaving)
	if x = m.members[name]; x.state == suspect && x.id.Inc == msg.Inc {
		x.stateSince = now
	}
}

// HandleCallFailure handles a call that failed without an answer, for example
// because the connection was refused.
func (m *Members) HandleCallFailure(now time.Time, id uint64) []rwprobecall.ProbeCall {
	c := m.calls[id]
	delete(m.calls, id)
	if c == nil || m.probes[c.probe.target] != c.probe {
		return nil
	}
	switch {
	case !c.probe.isMember:
		delete(m.probes, c.probe.target)
		return nil
	case c.probe.verifyOnly:
		m.recordMissedPing(c.probe.target)
		delete(m.probes, c.probe.target)
		return nil
	case c.direct && !c.probe.indirectStarted:
		return append(m.handleMissedPing(now, c.probe), m.flushUrgent(now)...)
	case !c.direct:
		m.handleIndirectAnswer(now, c.probe, false)
	}
	return m.flushUrgent(now)
}

// handleIndirectAnswer ends a probe when one of the other routers reached the
// target or when all of them failed.
func (m *Members) handleIndirectAnswer(now time.Time, p *probe, acked bool) {
	if m.probes[p.target] != p {
		return
	}
	p.pendingIndirect--
	switch {
	case acked:
		delete(m.probes, p.target)
	case p.pendingIndirect == 0:
		m.failProbe(now, p)
	}
}

// Reachable reports whether a member answers this router's direct pings. A
// member that answers only indirect probes is live but not reachable.
func (m *Members) Reachable(name string) bool {
	x := m.members[name]
	return name == m.self.Name || (x != nil && x.state != dead && x.missedPings < maxMissedPings)
}

// maxMissedPings is the number of consecutive missed direct pings from which a
// member is not reachable.
const maxMissedPings = 2

func (m *Members) header() rwprobe.Probe {
	return rwprobe.Probe{
		Name: m.self.Name, Inc: m.self.Inc, Refutations: m.refutations, Leaving: m.leaving,
		Rev: m.configRev.Rev, Era: m.configRev.Era, Digest: m.configDigest,
	}
}

// messageAbout returns a message with the state of one member if it is suspect
// or dead.
func (m *Members) messageAbout(name string) rwprobe.Probe {
	p := m.header()
	if x := m.members[name]; x != nil && x.state != alive {
		p.Updates = append(p.Updates, m.updateFor(x))
	}
	return p
}

// gossipMessage returns a message to a router with the router's own state if it
// is suspect or dead and with queued updates, at most maxUpdatesPerMessage in
// all.
func (m *Members) gossipMessage(to string) rwprobe.Probe {
	p := m.messageAbout(to)
	p.Updates = append(p.Updates, m.takeUpdates(maxUpdatesPerMessage-len(p.Updates), to, false)...)
	return p
}

// fullList returns updates about this router, all members that are not dead,
// including leaving ones, and all leaving upstreams, for a router that joins.
// Suspects are listed as alive.
func (m *Members) fullList() []rwupdate.Update {
	out := []rwupdate.Update{m.selfUpdate()}
	for _, name := range sortedKeys(m.members) {
		x := m.members[name]
		if x.state == dead {
			continue
		}
		u := m.updateFor(x)
		u.State = rwupdate.Alive
		out = append(out, u)
	}
	for _, name := range sortedKeys(m.upstreams) {
		out = append(out, upstreamUpdate(name, m.upstreams[name]))
	}
	return out
}
