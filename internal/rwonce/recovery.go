package rwonce

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwintentack"
	"redwingworks.example/internal/rwintentmessage"
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentreply"
	"redwingworks.example/internal/rwintentsync"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwvmlist"
)

// others returns the routers that may have executed keys or may store intents.
// The result must not be modified.
func (m *Machine) others() []string {
	if m.otherRouters == nil {
		m.otherRouters = m.computeOthers()
	}
	return m.otherRouters
}

func (m *Machine) computeOthers() []string {
	set := map[string]bool{}
	for _, n := range m.list.All {
		set[n] = true
	}
	for n := range m.departed {
		set[n] = !m.config.Rules.NoDeparted || set[n]
	}
	delete(set, m.self.Name)
	maps.DeleteFunc(set, func(_ string, in bool) bool { return !in })
	out := slices.AppendSeq(make([]string, 0, len(set)), maps.Keys(set))
	slices.Sort(out)
	return out
}

func (m *Machine) hasReplied(name string) bool {
	p := m.peers[name]
	return p != nil && p.reply != nil
}

// completeSyncRev returns the list revision of the newest complete sync of a
// home. Routers that had departed by then store no intent of the home that the
// others don't have.
func (m *Machine) completeSyncRev(home string) int64 {
	rev := m.covers[home]
	for _, p := range m.peers {
		if p.reply != nil {
			rev = max(rev, p.reply.Covers[home])
		}
	}
	return rev
}

// intentsCovered reports whether every router that may store intents of a home
// has answered and has lost none of them.
func (m *Machine) intentsCovered(home string, others []string) bool {
	rev := int64(0)
	if len(m.departed) > 0 {
		rev = m.completeSyncRev(home)
	}
	count := 0
	for _, n := range slices.Concat(others, []string{m.self.Name}) {
		if n == home {
			continue
		}
		if p, gone := m.departed[n]; gone && rev >= p.rev {
			continue
		}
		if !m.coversHome(n, home) {
			return false
		}
		count++
	}
	return count > 0
}

func (m *Machine) coversHome(by, home string) bool {
	if by == m.self.Name {
		_, ok := m.covers[home]
		return ok || m.lastTick.Sub(m.start) >= m.repeatWindow || m.config.Rules.NoCoverage
	}
	if !m.hasReplied(by) {
		return false
	}
	r := m.peers[by].reply
	_, ok := r.Covers[home]
	return ok || r.Age >= m.repeatWindow || m.config.Rules.NoCoverage
}

// keysKnown reports whether this router knows every key that a home may have
// executed.
func (m *Machine) keysKnown(home string, others []string) bool {
	if home == m.self.Name {
		return m.recovered || m.intentsCovered(home, others)
	}
	if m.hasReplied(home) && m.peers[home].reply.Recovered {
		return true
	}
	return m.intentsCovered(home, others)
}

// stoppedSince returns a time after which a home can't have executed any key
// unknown to this router. It returns false if the home may still execute keys
// by an older list.
func (m *Machine) stoppedSince(home string, others []string) (time.Time, bool) {
	if m.config.Rules.NoPromise {
		return m.start, true
	}
	if m.hasReplied(home) {
		return m.firstReplies[home].at, true
	}
	since := m.start
	for _, n := range others {
		if n == home {
			continue
		}
		if !m.hasReplied(n) && (home != m.self.Name || slices.Contains(m.list.All, n)) {
			return since, false
		}
		if p := m.peers[n]; p != nil && home != m.self.Name && p.acceptedAt.After(since) {
			since = p.acceptedAt
		}
	}
	return since, true
}

// unknownHomes returns the homes that may have executed keys unknown to this
// router. The time is the latest at which they can have executed such a key; it
// is valid only if ok.
func (m *Machine) unknownHomes() (homes []string, since time.Time, ok bool) {
	ok = true
	// The other routers are listed once. Listing them again for each of 380
	// homes made a tick take 147 ms.
	others := m.others()
	for _, h := range slices.Concat(others, []string{m.self.Name}) {
		if m.keysKnown(h, others) {
			continue
		}
		homes = append(homes, h)
		at, stopped := m.stoppedSince(h, others)
		ok = ok && stopped
		if at.After(since) {
			since = at
		}
	}
	return homes, since, ok
}

func (m *Machine) evaluate(now time.Time) {
	if m.list.Version.Rev == 0 || m.Behind() {
		return
	}
	// A router that lacks the answer of one other router still knows every
	// active list, since a home takes over only with the promises of all other
	// routers but one.
	missing := 0
	for _, n := range m.list.All {
		if n != m.self.Name && !m.hasReplied(n) {
			missing++
		}
	}
	m.joined = m.joined || missing <= 1 && missing < max(len(m.list.All)-1, 1)
	if missing > 1 && !m.config.Rules.NoHold && !m.config.Rules.NoPromise {
		// Each home that has not answered is then neither covered by all other
		// routers nor known to have stopped. Without this shortcut, processing
		// the answers after a change of a list of 380 took 1.5 s of CPU time.
		return
	}
	homes, since, ok := m.unknownHomes()
	if len(homes) == 0 || m.config.Rules.NoHold {
		m.recovered, m.uninterrupted = true, m.uninterrupted || m.isLive()
		return
	}
	if ok && !now.Before(since.Add(m.holdTime())) {
		m.recovered, m.holdEnded, m.uninterrupted = true, true, m.uninterrupted || m.isLive()
	}
}

func (m *Machine) isLive() bool { return slices.Contains(m.list.Live, m.self.Name) }

func (m *Machine) holdTime() time.Duration {
	if m.config.Hold == 0 {
		return m.repeatWindow
	}
	for _, n := range m.list.All {
		if n != m.self.Name && (!m.hasReplied(n) || !m.peers[n].starting) {
			return m.repeatWindow
		}
	}
	return min(m.config.Hold, m.repeatWindow)
}

// alwaysHome reports whether this router has ranked above the given homes for a
// key, and was live, in all lists since it knew all its keys. The unknown keys of
// these homes can't include this key then. Other routers may have been the home
// of the key in between, but their keys are known.
func (m *Machine) alwaysHome(key string, homes []string) bool {
	if !m.uninterrupted || m.skippedList() {
		return false
	}
	return rwrendezvous.Top(key, append(homes, m.self.Name)) == m.self.Name
}

// skippedList reports whether there was a list after this router's first one
// that it never acted on. It may not have been the home in that list.
func (m *Machine) skippedList() bool {
	first := slices.Min(slices.Collect(maps.Keys(m.ownRevs)))
	for r := range m.knownRevs {
		if r > first && r < m.list.Version.Rev && !m.ownRevs[r] {
			return true
		}
	}
	return false
}

// PendingMessages returns the messages to send now.
func (m *Machine) PendingMessages(now time.Time) []rwintentmessage.Message {
	if m.list.Version.Rev == 0 || m.Behind() {
		return nil
	}
	var out []rwintentmessage.Message
	homes, _, _ := m.unknownHomes()
	for _, n := range m.others() {
		p := m.peer(n)
		_, published := slices.BinarySearch(m.list.All, n)
		if m.queryDue(now, p, published, len(homes) > 0) {
			p.lastQuery = now
			out = append(out, rwintentmessage.Message{To: n, Query: &rwintentquery.Query{Version: m.list.Version, WantCovers: p.reply != nil}})
		}
		if published && m.recovered && m.synced[n] != (syncedTo{m.incarnations[n], m.list.Version.Rev}) && now.Sub(p.lastSync) >= resendInterval {
			p.lastSync = now
			out = append(out, rwintentmessage.Message{To: n, Sync: &rwintentsync.Sync{Version: m.list.Version, Complete: true, Intents: append(m.ownIntents(now), m.otherIntents(now)...)}})
		}
	}
	return out
}

func (m *Machine) queryDue(now time.Time, p *peer, published, gaps bool) bool {
	if p.reply == nil {
		return (published || gaps) && now.Sub(p.lastQuery) >= resendInterval
	}
	interval := requeryInterval
	if !p.hasCovers {
		interval = resendInterval
	}
	return gaps && now.Sub(p.lastQuery) >= interval
}

func (m *Machine) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{}
		m.peers[name] = p
	}
	return p
}

// HandleSync stores the intents of another router.
func (m *Machine) HandleSync(now time.Time, from rwidentity.Identity, msg rwintentsync.Sync) rwintentack.Ack {
	ok := m.observeIncarnation(now, from) && m.acceptsVersion(msg.Version) && (msg.Complete || msg.Part || m.joined || m.config.Rules.NoJoin)
	m.observeVersion(msg.Version)
	for _, t := range msg.Intents {
		ok = m.storeIntent(now, t) && ok
	}
	if ok && msg.Complete {
		m.covers[from.Name] = max(m.covers[from.Name], msg.Version.Rev)
		if p := m.peers[from.Name]; p != nil && p.reply != nil && !p.reply.Recovered {
			p.lastQuery = time.Time{}
		}
	}
	return rwintentack.Ack{OK: ok, Seen: m.newest, Inc: m.self.Inc}
}

// HandleSyncAck handles the answer to a sync and reports whether the other
// router has stored the intents and acts on no newer list.
func (m *Machine) HandleSyncAck(now time.Time, from string, msg rwintentsync.Sync, a rwintentack.Ack) bool {
	m.observeIncarnation(now, rwidentity.Identity{Name: from, Inc: a.Inc})
	m.observeVersion(a.Seen)
	if a.OK && msg.Complete {
		m.synced[from] = syncedTo{a.Inc, msg.Version.Rev}
	}
	return a.OK
}

// HandleQuery answers a query of another router. From then on this router acts
// on no older list.
func (m *Machine) HandleQuery(now time.Time, from rwidentity.Identity, q rwintentquery.Query) rwintentreply.Reply {
	if !m.observeIncarnation(now, from) || !m.acceptsVersion(q.Version) {
		return rwintentreply.Reply{Seen: m.newest, Inc: m.self.Inc}
	}
	m.observeVersion(q.Version)
	r := rwintentreply.Reply{
		OK: true, Seen: m.newest, Inc: m.self.Inc, Age: now.Sub(m.start), Recovered: m.recovered,
		Departed: map[string]rwintentreply.DepartedVM{}, Revs: slices.Sorted(maps.Keys(m.knownRevs)),
	}
	if q.WantCovers {
		r.Covers = maps.Clone(m.covers)
	}
	for n, p := range m.departed {
		r.Departed[n] = rwintentreply.DepartedVM{Rev: p.rev, TTL: p.until.Sub(now)}
	}
	if q.Version != m.list.Version {
		// The sender may not know VMs that are only in this router's list.
		for _, n := range m.list.All {
			r.Departed[n] = rwintentreply.DepartedVM{Rev: q.Version.Rev, TTL: m.departedTTL()}
		}
	}
	r.Intents, r.More = m.intentPage(now, from.Name, q)
	if m.recovered && !r.More {
		m.synced[from.Name] = syncedTo{from.Inc, q.Version.Rev}
	}
	return r
}

// intentPage returns the next page of intents for another router and whether
// more pages follow.
func (m *Machine) intentPage(now time.Time, to string, q rwintentquery.Query) ([]rwintent.Intent, bool) {
	list := m.ownIntents(now)
	bytes := 0
	for _, k := range slices.Sorted(maps.Keys(m.intents)) {
		t := m.intents[k].intent
		t.TTL = m.intents[k].expires.Sub(now)
		// A router must get all keys that its earlier incarnations may have
		// executed, including those whose home is another router.
		if m.mayBeHome(to, q.Version, k) || t.MayHaveRun(to) || t.MayHaveRun(m.self.Name) || m.list.Home(k) == m.self.Name {
			list = append(list, t)
		}
	}
	list = slices.DeleteFunc(list, func(t rwintent.Intent) bool { return t.Key <= q.After })
	slices.SortStableFunc(list, func(a, b rwintent.Intent) int { return cmp.Compare(a.Key, b.Key) })
	// The same key may be in executions and in intents; both must be on the
	// same page.
	more := len(list) > PageSize
	if more {
		end := PageSize
		for end > 1 && list[end-1].Key == list[end].Key {
			end--
		}
		list = list[:end]
	}
	for i, t := range list {
		e := m.executions[t.Key]
		if e == nil || e.state != ended || e.evicted || !m.mayBeHome(to, q.Version, t.Key) {
			continue
		}
		if bytes += len(e.result.Body); bytes <= maxResultBytes {
			list[i].Result = &e.result
		}
	}
	return list, more
}

// mayBeHome reports whether a router may be the home of a key in a list
// version.
func (m *Machine) mayBeHome(name string, v rwvmlist.Version, key string) bool {
	return v != m.list.Version || m.list.Home(key) == name
}

// HandleReply handles the answer to a query.
func (m *Machine) HandleReply(now time.Time, from string, q rwintentquery.Query, r rwintentreply.Reply) {
	current := m.observeIncarnation(now, rwidentity.Identity{Name: from, Inc: r.Inc})
	m.observeVersion(r.Seen)
	for _, rev := range r.Revs {
		if len(m.knownRevs) < maxRevs {
			m.knownRevs[rev] = true
		}
	}
	stored := true
	for _, t := range r.Intents {
		stored = m.storeIntent(now, t) && stored
	}
	if !r.OK || !stored || !current || r.More || q.Version != m.list.Version {
		return
	}
	if r.Recovered {
		m.covers[from] = max(m.covers[from], q.Version.Rev)
	}
	if m.firstReplies[from].inc != r.Inc {
		m.firstReplies[from] = firstReply{inc: r.Inc, at: now}
	}
	m.addDeparted(now, r.Departed)
	p := m.peer(from)
	p.hasCovers = q.WantCovers
	if p.reply == nil {
		p.acceptedAt = now
		p.starting = r.Age <= fleetStartAge && now.Sub(m.start) <= fleetStartAge
	}
	r.Intents = nil
	p.reply = &r
	m.evaluate(now)
}

func (m *Machine) addDeparted(now time.Time, list map[string]rwintentreply.DepartedVM) {
	for n, p := range list {
		if n == m.self.Name || slices.Contains(m.list.All, n) {
			continue
		}
		old := m.departed[n]
		m.departed[n] = departedVM{rev: max(old.rev, p.Rev), until: later(old.until, now.Add(p.TTL))}
		m.otherRouters = nil
	}
}
