// Package rwonce decides which router runs a non-idempotent call, so that the
// call runs at most once. It is a deterministic state machine; section 3.4 of
// docs/design.md gives the rules and their reasons.
package rwonce

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingworks.example/internal/rwack"
	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwhandoff"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwlist"
	"redwingworks.example/internal/rwnote"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpost"
	"redwingworks.example/internal/rwquery"
	"redwingworks.example/internal/rwrank"
	"redwingworks.example/internal/rwreply"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwtrace"
	"redwingworks.example/internal/rwverdict"
)

// PageSize is the largest number of traces in one message. A trace takes up to
// 200 bytes, so a page with results stays below the size limit of a message.
const PageSize = 2000

const (
	// clockSkew bounds the difference between the clocks of callers and
	// routers.
	clockSkew = 5 * time.Second
	// maxPause is the longest time between two ticks of a process that was
	// not paused.
	maxPause = time.Second
	// firstStart is the age up to which all routers count as just started.
	firstStart = 30 * time.Second
	// slack is added to the time that keys are kept, since a trace is older
	// than the end of its call, and a call may wait and run this long.
	slack = 3 * time.Minute
	// askPause is the time between two messages to a router that has not
	// answered.
	askPause = 300 * time.Millisecond
	// askAgain is the time between two queries to a router that has answered
	// and lacked memory.
	askAgain = 10 * time.Second
	// expireInterval bounds the cost of a walk over all keys.
	expireInterval = time.Second
	// heldRetry is the time after which a caller may repeat a held key.
	heldRetry = time.Second
	// maxResults bounds the bytes of answers in one message.
	maxResults = 512 << 10
	// maxRefused bounds the refused attempts that are remembered for a key.
	maxRefused = 16
	// maxRevs bounds the list revisions that are remembered.
	maxRevs = 64
)

// Rules switches single rules off, so that tests can show that each of them is
// needed. The zero value has all rules.
type Rules struct {
	// NoTrace runs calls that no other router remembers.
	NoTrace bool
	// NoCoverage relies on answers of routers that lost traces.
	NoCoverage bool
	// NoPromise lets routers act on older lists than the ones they know.
	NoPromise bool
	// NoHold runs keys at once after a loss of memory.
	NoHold bool
	// NoMemory forgets the outcomes of the own calls.
	NoMemory bool
	// NoPast ignores VMs that are no longer published.
	NoPast bool
	// NoJoin lets routers that may have forgotten a promise be witnesses.
	NoJoin bool
	// Suspect lets the next router run keys without a handoff.
	Suspect bool
}

// Config holds the limits of a machine.
type Config struct {
	// Hold replaces the time that keys are held when the whole fleet starts;
	// 0 means the repeat time.
	Hold time.Duration
	// Stop is the time after which a VM that is no longer published has
	// stopped for certain; 0 means ten minutes.
	Stop time.Duration
	// MaxKeys and MaxBytes bound the memory for outcomes; 0 means a default.
	MaxKeys  int
	MaxBytes int
	Rules    Rules
}

const (
	defaultStop  = 10 * time.Minute
	defaultKeys  = 200_000
	defaultBytes = 32 << 20
	// youth is how long a home counts as having just started. It has the
	// answers of the others long before, if they can be had at all.
	youth = 5 * time.Second
)

type state int

const (
	free state = iota
	running
	ended
)

// entry is a key that this incarnation may run.
type entry struct {
	state  state
	digest string
	ticket bool
	// version is the list by which the call began. A witness that has
	// promised to act on no older list must not accept the trace, even if
	// this router has a newer list by then.
	version rwlist.Version
	expires time.Time
	result  rwresult.Result
	// evicted is whether the answer was dropped to bound memory.
	evicted bool
	// attempt is the identifier of the attempt in progress. Those in refused
	// were told that they didn't run; a late copy of them must not run.
	attempt string
	refused []string
}

// mark is a key that another incarnation may have run.
type mark struct {
	trace   rwtrace.Trace
	expires time.Time
	// routes counts the calls of this router's own callers that rely on it.
	routes int
	// handed is whether a handoff had the key: the sender may have run it.
	handed bool
}

type past struct {
	rev   int64
	until time.Time
}

type peer struct {
	// covered is whether reply has Covers.
	covered bool
	reply   *rwreply.Reply
	// first is the time of the first accepted answer for this list.
	first time.Time
	// starting is whether the peer and this router had just started then.
	starting bool
	asked    time.Time
	told     time.Time
}

type heard struct {
	inc int64
	at  time.Time
}

type told struct{ inc, rev int64 }

// Machine is the part of one router incarnation. It is not safe for concurrent
// use.
type Machine struct {
	self   rwidentity.Identity
	config Config
	start  time.Time
	tick   time.Time
	// expired is when old keys were last dropped.
	expired time.Time
	repeat  time.Duration

	list rwlist.List
	// seen is the highest version that any message named. The machine acts
	// on no older one.
	seen rwlist.Version
	// revs are the list revisions that this router or others had, own those
	// that this router acted on.
	revs map[int64]bool
	own  map[int64]bool

	incs map[string]int64
	// met is when this router first heard of each present incarnation.
	met   map[string]time.Time
	peers map[string]*peer
	heard map[string]heard
	past  map[string]past
	// around is the result of others for the present list and past, or nil.
	around []string
	// covers are the homes whose traces this router has without a gap.
	covers map[string]int64
	told   map[string]told

	// full is whether this router knows every key that it may have run in
	// any incarnation within the repeat time.
	full bool
	// steady is whether this router knew every key whose home it was, of all
	// routers, and was live in every list since.
	steady bool
	// joined is whether this router has learnt the lists of the others
	// since its start. Until then it may have forgotten a promise.
	joined bool
	// released is whether the time to hold keys has passed for this list.
	released bool

	table map[string]*entry
	order []string
	bytes int
	marks map[string]*mark
	// handed are the homes that handed their keys to this router, with the
	// incarnation that did.
	handed  map[string]int64
	leaving bool
	// offered are the incarnations that the keys were handed to.
	offered map[string]int64
}

// New returns a machine that knows no list yet.
func New(self rwidentity.Identity, c Config, now time.Time) *Machine {
	if c.Stop == 0 {
		c.Stop = defaultStop
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = defaultKeys
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultBytes
	}
	return &Machine{
		self: self, config: c, start: now, tick: now,
		revs: map[int64]bool{}, own: map[int64]bool{},
		incs: map[string]int64{}, met: map[string]time.Time{}, peers: map[string]*peer{}, heard: map[string]heard{},
		past: map[string]past{}, covers: map[string]int64{}, told: map[string]told{},
		table: map[string]*entry{}, marks: map[string]*mark{}, handed: map[string]int64{},
	}
}

// SetList takes a published list into use, with the longest repeat time of
// any kind. An older list is ignored.
func (m *Machine) SetList(now time.Time, l rwlist.List, repeat time.Duration) {
	m.repeat = max(m.repeat, repeat)
	if l.Version == m.list.Version || l.Version.Rev < m.list.Version.Rev {
		return
	}
	for _, n := range m.list.All {
		if !slices.Contains(l.All, n) {
			m.past[n] = past{rev: l.Version.Rev, until: now.Add(m.forget())}
		}
	}
	for _, n := range l.All {
		delete(m.past, n)
	}
	m.list, m.around = l, nil
	if l.Version.Rev >= m.seen.Rev {
		m.seen = l.Version
	}
	m.revs[l.Version.Rev], m.own[l.Version.Rev] = true, true
	m.peers = map[string]*peer{}
	m.released = false
	m.steady = m.steady && m.live()
	clear(m.handed)
	m.evaluate(now)
}

// Tick reports that the process runs. Calls aren't sent after a pause.
func (m *Machine) Tick(now time.Time) {
	if m.paused(now) {
		m.wake()
	}
	m.tick = now
	if now.Sub(m.expired) >= expireInterval {
		m.expired = now
		m.expire(now)
	}
	m.evaluate(now)
}

// paused reports whether the process stood still. The monotonic clock does so
// too while a VM is suspended, hence the wall clock.
func (m *Machine) paused(now time.Time) bool {
	return now.Sub(m.tick) > maxPause || now.Round(0).Sub(m.tick.Round(0)) > maxPause
}

// wake asks all others again after a pause, before this router acts on what it
// knew, since others may have taken its keys over meanwhile.
func (m *Machine) wake() {
	m.peers = map[string]*peer{}
	m.released, m.steady = false, false
}

func (m *Machine) expire(now time.Time) {
	for k, t := range m.marks {
		if now.After(t.expires) {
			delete(m.marks, k)
		}
	}
	for k, e := range m.table {
		if e.state != running && now.After(e.expires) {
			m.bytes -= len(e.result.Body)
			delete(m.table, k)
		}
	}
	m.order = slices.DeleteFunc(m.order, func(k string) bool { return m.table[k] == nil })
	for n, p := range m.past {
		if now.After(p.until) {
			delete(m.past, n)
			m.around = nil
		}
	}
}

// forget is how long a VM that is no longer published matters: until its
// traces have expired and it runs no more keys by an old list.
func (m *Machine) forget() time.Duration { return max(m.repeat, m.config.Stop) }

// Behind reports whether another router has a newer list.
func (m *Machine) Behind() bool { return m.seen != m.list.Version }

// Full reports whether fresh keys whose home is this router run.
func (m *Machine) Full() bool { return m.full && !m.Behind() }

// Version is the version of the list in use.
func (m *Machine) Version() rwlist.Version { return m.list.Version }

// others are the routers that may have run keys or hold traces.
// The result must not be changed.
func (m *Machine) others() []string {
	if m.around == nil {
		m.around = m.listOthers()
	}
	return m.around
}

func (m *Machine) listOthers() []string {
	set := map[string]bool{}
	for _, n := range m.list.All {
		set[n] = true
	}
	for n := range m.past {
		set[n] = !m.config.Rules.NoPast || set[n]
	}
	delete(set, m.self.Name)
	maps.DeleteFunc(set, func(_ string, in bool) bool { return !in })
	out := slices.AppendSeq(make([]string, 0, len(set)), maps.Keys(set))
	slices.Sort(out)
	return out
}

func (m *Machine) replied(name string) bool {
	p := m.peers[name]
	return p != nil && p.reply != nil
}

// fullRev is the list revision of the newest full message of a home. Routers
// that were no longer published then hold no trace that others don't have.
func (m *Machine) fullRev(home string) int64 {
	rev := m.covers[home]
	for _, p := range m.peers {
		if p.reply != nil {
			rev = max(rev, p.reply.Covers[home])
		}
	}
	return rev
}

// traced reports whether every router that may hold traces of a home has
// answered and has lost none of them.
func (m *Machine) traced(home string, others []string) bool {
	rev := int64(0)
	if len(m.past) > 0 {
		rev = m.fullRev(home)
	}
	count := 0
	for _, n := range slices.Concat(others, []string{m.self.Name}) {
		if n == home {
			continue
		}
		if p, gone := m.past[n]; gone && rev >= p.rev {
			continue
		}
		if !m.covered(n, home) {
			return false
		}
		count++
	}
	return count > 0
}

func (m *Machine) covered(by, home string) bool {
	if by == m.self.Name {
		_, ok := m.covers[home]
		return ok || m.tick.Sub(m.start) >= m.repeat || m.config.Rules.NoCoverage
	}
	if !m.replied(by) {
		return false
	}
	r := m.peers[by].reply
	_, ok := r.Covers[home]
	return ok || r.Age >= m.repeat || m.config.Rules.NoCoverage
}

// known reports whether this router knows every key that a home may have run.
func (m *Machine) known(home string, others []string) bool {
	if home == m.self.Name {
		return m.full || m.traced(home, others)
	}
	if m.replied(home) && m.peers[home].reply.Full {
		return true
	}
	return m.traced(home, others)
}

// stopped reports whether a home can run no key by an older list any more,
// and since when its unknown keys can't have run.
func (m *Machine) stopped(home string, others []string) (time.Time, bool) {
	if m.config.Rules.NoPromise {
		return m.start, true
	}
	if m.replied(home) {
		return m.heard[home].at, true
	}
	since := m.start
	for _, n := range others {
		if n == home {
			continue
		}
		if !m.replied(n) && (home != m.self.Name || slices.Contains(m.list.All, n)) {
			return since, false
		}
		if p := m.peers[n]; p != nil && home != m.self.Name && p.first.After(since) {
			since = p.first
		}
	}
	return since, true
}

// gaps returns the homes of which keys may be unknown. The time is the latest
// at which such a key can have run; it is valid only if ok.
func (m *Machine) gaps() (homes []string, since time.Time, ok bool) {
	ok = true
	// The list of the others is worked out once: for each of 380 homes again,
	// a tick took 147 ms.
	others := m.others()
	for _, h := range slices.Concat(others, []string{m.self.Name}) {
		if m.known(h, others) {
			continue
		}
		homes = append(homes, h)
		at, stopped := m.stopped(h, others)
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
	// A router that misses the answer of one other still learns of any list
	// that is in force, since a home takes over only with the promises of
	// all others but one.
	missing := 0
	for _, n := range m.list.All {
		if n != m.self.Name && !m.replied(n) {
			missing++
		}
	}
	m.joined = m.joined || missing <= 1 && missing < max(len(m.list.All)-1, 1)
	if missing > 1 && !m.config.Rules.NoHold && !m.config.Rules.NoPromise {
		// Each home that has not answered is then neither traced by all
		// others nor known to have stopped. Without this, the answers after
		// a change of a list of 380 took 1.5 s of processor time.
		return
	}
	homes, since, ok := m.gaps()
	if len(homes) == 0 || m.config.Rules.NoHold {
		m.full, m.steady = true, m.steady || m.live()
		return
	}
	if ok && !now.Before(since.Add(m.hold())) {
		m.full, m.released, m.steady = true, true, m.steady || m.live()
	}
}

func (m *Machine) live() bool { return slices.Contains(m.list.Live, m.self.Name) }

func (m *Machine) hold() time.Duration {
	if m.config.Hold == 0 {
		return m.repeat
	}
	for _, n := range m.list.All {
		if n != m.self.Name && (!m.replied(n) || !m.peers[n].starting) {
			return m.repeat
		}
	}
	return min(m.config.Hold, m.repeat)
}

// may reports whether this router may run a key that it doesn't know. A router
// that leaves begins no key, but it may still run those that it had begun: its
// handoffs name them.
func (m *Machine) may(now time.Time, c rwcall.Call) bool {
	if m.list.Version.Rev == 0 || m.Behind() {
		return false
	}
	home := m.list.Home(c.Key)
	if home != m.self.Name {
		return m.heir(c.Key)
	}
	homes, since, ok := m.gaps()
	if len(homes) == 0 || m.released || m.config.Rules.NoHold {
		return true
	}
	if ok && !c.Birth.IsZero() && !c.Birth.Before(since.Add(clockSkew)) && !c.Birth.After(now.Add(clockSkew)) {
		return true
	}
	return m.kept(c.Key, homes)
}

// heir reports whether this router is not the home of a key but has the
// handoffs of all routers of higher rank. Each of them gave up all keys before
// and said which of them it may have run.
func (m *Machine) heir(key string) bool {
	for i, n := range m.list.Ranks(key) {
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
	only := t.trace.Inc == 0 && len(t.trace.Also) == 0 && t.trace.Result == nil
	return only && !t.handed && t.trace.By == m.list.Home(key) && m.heir(key) && !m.config.Rules.Suspect
}

// left reports whether a router has handed its keys over to this one and did
// not start again since.
func (m *Machine) left(name string) bool {
	inc, ok := m.handed[name]
	return ok && inc >= m.incs[name] || m.config.Rules.Suspect
}

// successor is the router that this one, which leaves, passes a call on to, or
// "".
func (m *Machine) successor(key string) string {
	after := false
	for _, n := range m.list.Ranks(key) {
		if after && !m.left(n) {
			return n
		}
		after = after || n == m.self.Name
	}
	return ""
}

// kept reports whether this router was the home of a key in all lists since
// it knew all of its keys, so that the unknown keys of the other homes don't
// matter.
func (m *Machine) kept(key string, homes []string) bool {
	if !m.steady || m.hidden() {
		return false
	}
	return rwrank.Top(key, append(homes, m.self.Name)) == m.self.Name
}

// hidden reports whether there was a list since this router's first one that
// it doesn't know. It may have been no home in it.
func (m *Machine) hidden() bool {
	first := slices.Min(slices.Collect(maps.Keys(m.own)))
	for r := range m.revs {
		if r > first && r < m.list.Version.Rev && !m.own[r] {
			return true
		}
	}
	return false
}

// Route decides where a call goes that a caller sent to this router. If it is
// forwarded, this router remembers the key first, unless the home may have
// just started: it would collect the trace and, as it can't tell that the call
// never reached an earlier home, answer unknown. Such a home finds a witness
// itself.
func (m *Machine) Route(now time.Time, c rwcall.Call) rwverdict.Verdict {
	if m.list.Version.Rev == 0 || m.Behind() {
		return unknown("the VM list is behind")
	}
	home := m.list.Home(c.Key)
	if home == "" {
		return unknown("no VM is published")
	}
	if home == m.self.Name || m.heir(c.Key) {
		return rwverdict.Verdict{Step: rwverdict.Run}
	}
	if now.Sub(m.met[home]) < youth {
		return rwverdict.Verdict{Step: rwverdict.Forward, To: home, Young: true}
	}
	known := m.marks[c.Key] != nil
	if !m.remember(now, rwtrace.Trace{Key: c.Key, Digest: c.Digest, By: home, Left: c.Repeat + slack}) {
		return unknown("too many keys")
	}
	if t := m.marks[c.Key]; t != nil {
		t.routes++
	}
	return rwverdict.Verdict{Step: rwverdict.Forward, To: home, Fresh: !known, Holds: m.joined && !m.leaving}
}

// Home is the published router that may run a key, or "".
func (m *Machine) Home(key string) string { return m.list.Home(key) }

// Forget drops the trace that Route made for a call which the home has refused
// without running it, unless another call relies on the trace. Otherwise a
// home that has just started would collect it and could never run the key.
func (m *Machine) Forget(key string) {
	if t := m.marks[key]; t != nil && t.routes == 1 && len(t.trace.Also) == 0 {
		delete(m.marks, key)
	}
}

// Ranks are the routers that may run a key: its home, and those that may hold
// it when the ones before have left.
func (m *Machine) Ranks(key string) []string { return m.list.Ranks(key) }

func unknown(detail string) rwverdict.Verdict {
	return rwverdict.Verdict{Result: rwresult.Unknown(detail)}
}

// Begin decides about a call at the router that may run it. After the step
// Run the key is in progress until Finish.
func (m *Machine) Begin(now time.Time, c rwcall.Call) rwverdict.Verdict {
	m.meet(c.Version)
	if e := m.table[c.Key]; e != nil && e.state != free && !m.config.Rules.NoMemory {
		return e.verdict(c)
	}
	if c.Ticket {
		return m.ticket(now, c)
	}
	if t := m.marks[c.Key]; t != nil {
		if !m.resolved(t, c.Key) {
			return t.verdict(c)
		}
		delete(m.marks, c.Key)
	}
	if m.leaving && (m.list.Home(c.Key) == m.self.Name || m.heir(c.Key)) {
		return rwverdict.Verdict{Step: rwverdict.Forward, To: m.successor(c.Key)}
	}
	if m.leaving || !m.may(now, c) {
		return m.held(c)
	}
	return m.reserve(now, c)
}

// held is the answer for a key that this router may not run. As the home it
// may run the key later, so a repeat makes sense.
func (m *Machine) held(c rwcall.Call) rwverdict.Verdict {
	if m.list.Home(c.Key) != m.self.Name {
		return unknown("this router is not the home of the key")
	}
	r := rwresult.Fault(rwcode.KeyHeld, rwoutcome.Unknown, "an earlier attempt may have run")
	r.Retry = heldRetry
	return rwverdict.Verdict{Result: r}
}

// ticket decides about a ticket of this incarnation. A ticket expires, since
// its outcome is not kept for ever.
func (m *Machine) ticket(now time.Time, c rwcall.Call) rwverdict.Verdict {
	if now.Sub(c.Birth) > c.Repeat {
		return unknown("the ticket has expired")
	}
	return m.reserve(now, c)
}

func (e *entry) verdict(c rwcall.Call) rwverdict.Verdict {
	if e.digest != c.Digest {
		return other()
	}
	if e.state == running {
		return rwverdict.Verdict{Step: rwverdict.Wait}
	}
	if e.evicted {
		return unknown("the answer is no longer kept")
	}
	return rwverdict.Verdict{Result: e.result}
}

func (t *mark) verdict(c rwcall.Call) rwverdict.Verdict {
	if t.trace.Digest != "" && t.trace.Digest != c.Digest {
		return other()
	}
	if t.trace.Result != nil {
		return rwverdict.Verdict{Result: *t.trace.Result}
	}
	return unknown("an earlier attempt may have run")
}

func other() rwverdict.Verdict {
	return rwverdict.Verdict{Result: rwresult.Fault(rwcode.BadRequest, rwoutcome.NotRun, "the key belongs to another call")}
}

func (m *Machine) reserve(now time.Time, c rwcall.Call) rwverdict.Verdict {
	e := m.table[c.Key]
	var refused []string
	if e != nil {
		refused = e.refused
	}
	if slices.Contains(refused, c.ID) {
		return rwverdict.Verdict{Result: e.result}
	}
	if e == nil && len(m.table) >= m.config.MaxKeys {
		return rwverdict.Verdict{Result: rwresult.Fault(rwcode.QueueFull, rwoutcome.Unknown, "too many keys")}
	}
	if e == nil {
		m.order = append(m.order, c.Key)
	}
	m.table[c.Key] = &entry{
		state: running, digest: c.Digest, ticket: c.Ticket,
		expires: now.Add(c.Repeat + slack), attempt: c.ID, refused: refused,
		version: m.list.Version,
	}
	v := rwverdict.Verdict{Step: rwverdict.Run}
	// The trace of an earlier incarnation of the sender is lost.
	holder := c.Holds && c.Inc >= m.incs[c.From] && c.Version == m.list.Version && c.From != m.self.Name && slices.Contains(m.list.All, c.From)
	if c.Ticket || holder || len(m.list.All) == 1 || m.config.Rules.NoTrace {
		return v
	}
	v.Witnesses = m.witnesses(c.Key)
	if len(v.Witnesses) == 0 {
		m.Abandon(c.Key)
		return unknown("no other router can remember the key")
	}
	return v
}

// witnesses are the routers that may remember a key, best first. VMs that are
// leaving come last, since their memory ends soon.
func (m *Machine) witnesses(key string) []string {
	home := m.list.Home(key)
	var live, rest []string
	for _, n := range rwrank.Order(key, m.list.All) {
		switch {
		case n == m.self.Name || n == home:
		case slices.Contains(m.list.Live, n):
			live = append(live, n)
		default:
			rest = append(rest, n)
		}
	}
	return append(live, rest...)
}

// Commit is the last check before a call is sent to an upstream. It returns
// rwcode.None if the call may be sent; otherwise it must not be.
func (m *Machine) Commit(now time.Time, c rwcall.Call) rwcode.Code {
	e := m.table[c.Key]
	if e == nil || e.state != running {
		return rwcode.KeyHeld
	}
	if m.paused(now) {
		return rwcode.Paused
	}
	if !c.Ticket && !m.may(now, c) {
		return rwcode.KeyHeld
	}
	return rwcode.None
}

// Abandon ends a call that was not sent and whose caller gets no answer that
// says so, because no other router has confirmed this router's authority.
func (m *Machine) Abandon(key string) {
	if e := m.table[key]; e != nil {
		e.state, e.result = free, rwresult.Unknown("no other router remembers the key")
	}
}

// Finish records the end of a call. A result that says not_run makes the key
// free for another attempt.
func (m *Machine) Finish(now time.Time, key string, r rwresult.Result) {
	e := m.table[key]
	if e == nil {
		return
	}
	if r.Outcome == rwoutcome.NotRun {
		e.state, e.result = free, r
		e.refused = append(e.refused, e.attempt)
		if len(e.refused) > maxRefused {
			e.refused = e.refused[1:]
		}
		return
	}
	e.state, e.result = ended, r
	m.bytes += len(r.Body)
	e.expires = later(e.expires, now.Add(m.repeat))
	for _, k := range m.order {
		if m.bytes <= m.config.MaxBytes {
			return
		}
		m.evict(k)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) evict(key string) {
	e := m.table[key]
	if e == nil || e.state != ended || len(e.result.Body) == 0 {
		return
	}
	m.bytes -= len(e.result.Body)
	e.result.Body, e.evicted = nil, true
}

// remember keeps a trace and reports whether there was room for it.
func (m *Machine) remember(now time.Time, t rwtrace.Trace) bool {
	if t.By == m.self.Name && t.Inc == m.self.Inc && len(t.Also) == 0 {
		return true
	}
	if e := m.table[t.Key]; e != nil && e.state == free {
		// Another router may have run the key since this one didn't.
		delete(m.table, t.Key)
	}
	until := now.Add(t.Left)
	old := m.marks[t.Key]
	if old == nil {
		if len(m.marks) >= m.config.MaxKeys {
			return false
		}
		m.marks[t.Key] = &mark{trace: t, expires: until}
		return true
	}
	old.expires = later(old.expires, until)
	if t.Result != nil {
		old.trace.Result = t.Result
	}
	for _, n := range append(slices.Clone(t.Also), t.By) {
		if n != "" && !old.trace.May(n) {
			old.trace.Also = append(slices.Clone(old.trace.Also), n)
		}
	}
	return true
}

// meet takes note of the version of another router.
func (m *Machine) meet(v rwlist.Version) {
	if v.Rev == 0 {
		return
	}
	if len(m.revs) < maxRevs {
		m.revs[v.Rev] = true
	}
	if v.Rev > m.seen.Rev && !m.config.Rules.NoPromise {
		m.seen = v
	}
}

// greet takes note of another router's incarnation and reports whether it is
// the newest one known.
func (m *Machine) greet(now time.Time, from rwidentity.Identity) bool {
	if from.Inc < m.incs[from.Name] {
		return false
	}
	if from.Inc > m.incs[from.Name] {
		m.met[from.Name] = now
	}
	m.incs[from.Name] = from.Inc
	if m.handed[from.Name] > 0 && m.handed[from.Name] < from.Inc {
		delete(m.handed, from.Name)
	}
	if _, ok := m.past[from.Name]; !ok && m.list.Version.Rev > 0 && !slices.Contains(m.list.All, from.Name) {
		m.past[from.Name] = past{rev: m.list.Version.Rev, until: now.Add(m.forget())}
		m.around = nil
	}
	return true
}

// accepts reports whether this router has promised nothing against acting on
// a version.
func (m *Machine) accepts(v rwlist.Version) bool {
	return m.config.Rules.NoPromise || v.Rev > m.seen.Rev || v == m.seen
}

// Due returns the messages that are to be sent now.
func (m *Machine) Due(now time.Time) []rwpost.Post {
	if m.list.Version.Rev == 0 || m.Behind() {
		return nil
	}
	var out []rwpost.Post
	homes, _, _ := m.gaps()
	for _, n := range m.others() {
		p := m.peer(n)
		_, published := slices.BinarySearch(m.list.All, n)
		if m.asks(now, p, published, len(homes) > 0) {
			p.asked = now
			out = append(out, rwpost.Post{To: n, Query: &rwquery.Query{Version: m.list.Version, Covers: p.reply != nil}})
		}
		if published && m.full && m.told[n] != (told{m.incs[n], m.list.Version.Rev}) && now.Sub(p.told) >= askPause {
			p.told = now
			out = append(out, rwpost.Post{To: n, Note: &rwnote.Note{Version: m.list.Version, Full: true, Traces: append(m.keys(now), m.foreign(now)...)}})
		}
	}
	return out
}

func (m *Machine) asks(now time.Time, p *peer, published, gaps bool) bool {
	if p.reply == nil {
		return (published || gaps) && now.Sub(p.asked) >= askPause
	}
	pause := askAgain
	if !p.covered {
		pause = askPause
	}
	return gaps && now.Sub(p.asked) >= pause
}

func (m *Machine) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{}
		m.peers[name] = p
	}
	return p
}

// keys returns the keys that this incarnation may have run, without tickets,
// which nobody else ever runs.
func (m *Machine) keys(now time.Time) []rwtrace.Trace {
	var out []rwtrace.Trace
	for _, k := range m.order {
		e := m.table[k]
		if e == nil || e.ticket || e.state == free {
			continue
		}
		out = append(out, m.trace(now, k, e))
	}
	return out
}

func (m *Machine) trace(now time.Time, key string, e *entry) rwtrace.Trace {
	return rwtrace.Trace{
		Key: key, Digest: e.digest, By: m.self.Name, Inc: m.self.Inc,
		Left: max(e.expires.Sub(now), slack),
	}
}

// Trace is the note that asks a witness to remember a key.
func (m *Machine) Trace(now time.Time, key string) rwnote.Note {
	e := m.table[key]
	if e == nil {
		return rwnote.Note{}
	}
	return rwnote.Note{Version: e.version, Traces: []rwtrace.Trace{m.trace(now, key, e)}}
}

// Note answers a note of another router.
func (m *Machine) Note(now time.Time, from rwidentity.Identity, n rwnote.Note) rwack.Ack {
	ok := m.greet(now, from) && m.accepts(n.Version) && (n.Full || n.Part || m.joined || m.config.Rules.NoJoin)
	m.meet(n.Version)
	for _, t := range n.Traces {
		ok = m.remember(now, t) && ok
	}
	if ok && n.Full {
		m.covers[from.Name] = max(m.covers[from.Name], n.Version.Rev)
		if p := m.peers[from.Name]; p != nil && p.reply != nil && !p.reply.Full {
			p.asked = time.Time{}
		}
	}
	return rwack.Ack{OK: ok, Seen: m.seen, Inc: m.self.Inc}
}

// Noted takes the answer to a full note or to a trace and reports whether the
// other router remembers it and acts on no newer list.
func (m *Machine) Noted(now time.Time, from string, n rwnote.Note, a rwack.Ack) bool {
	m.greet(now, rwidentity.Identity{Name: from, Inc: a.Inc})
	m.meet(a.Seen)
	if a.OK && n.Full {
		m.told[from] = told{a.Inc, n.Version.Rev}
	}
	return a.OK
}

// Query answers a query of another router. From then on this router acts on
// no older list.
func (m *Machine) Query(now time.Time, from rwidentity.Identity, q rwquery.Query) rwreply.Reply {
	if !m.greet(now, from) || !m.accepts(q.Version) {
		return rwreply.Reply{Seen: m.seen, Inc: m.self.Inc}
	}
	m.meet(q.Version)
	r := rwreply.Reply{
		OK: true, Seen: m.seen, Inc: m.self.Inc, Age: now.Sub(m.start), Full: m.full,
		Past: map[string]rwreply.Past{}, Revs: slices.Sorted(maps.Keys(m.revs)),
	}
	if q.Covers {
		r.Covers = maps.Clone(m.covers)
	}
	for n, p := range m.past {
		r.Past[n] = rwreply.Past{Rev: p.rev, Left: p.until.Sub(now)}
	}
	if q.Version != m.list.Version {
		// The asker may not know VMs that only this router's list has.
		for _, n := range m.list.All {
			r.Past[n] = rwreply.Past{Rev: q.Version.Rev, Left: m.forget()}
		}
	}
	r.Traces, r.More = m.page(now, from.Name, q)
	if m.full && !r.More {
		m.told[from.Name] = told{from.Inc, q.Version.Rev}
	}
	return r
}

// page returns the next traces for another router and whether there are more.
func (m *Machine) page(now time.Time, to string, q rwquery.Query) ([]rwtrace.Trace, bool) {
	list := m.keys(now)
	bytes := 0
	for _, k := range slices.Sorted(maps.Keys(m.marks)) {
		t := m.marks[k].trace
		t.Left = m.marks[k].expires.Sub(now)
		// A router has to learn of all keys that its earlier incarnations may
		// have run, also of those that are at home elsewhere.
		if m.homed(to, q.Version, k) || t.May(to) || t.May(m.self.Name) || m.list.Home(k) == m.self.Name {
			list = append(list, t)
		}
	}
	list = slices.DeleteFunc(list, func(t rwtrace.Trace) bool { return t.Key <= q.After })
	slices.SortStableFunc(list, func(a, b rwtrace.Trace) int { return cmp.Compare(a.Key, b.Key) })
	// A key of the table may have a trace too; both must be on one page.
	more := len(list) > PageSize
	if more {
		end := PageSize
		for end > 1 && list[end-1].Key == list[end].Key {
			end--
		}
		list = list[:end]
	}
	for i, t := range list {
		e := m.table[t.Key]
		if e == nil || e.state != ended || e.evicted || !m.homed(to, q.Version, t.Key) {
			continue
		}
		if bytes += len(e.result.Body); bytes <= maxResults {
			list[i].Result = &e.result
		}
	}
	return list, more
}

// homed reports whether a router may be the home of a key in a version.
func (m *Machine) homed(name string, v rwlist.Version, key string) bool {
	return v != m.list.Version || m.list.Home(key) == name
}

// Replied takes the answer to a query.
func (m *Machine) Replied(now time.Time, from string, q rwquery.Query, r rwreply.Reply) {
	current := m.greet(now, rwidentity.Identity{Name: from, Inc: r.Inc})
	m.meet(r.Seen)
	for _, rev := range r.Revs {
		if len(m.revs) < maxRevs {
			m.revs[rev] = true
		}
	}
	kept := true
	for _, t := range r.Traces {
		kept = m.remember(now, t) && kept
	}
	if !r.OK || !kept || !current || r.More || q.Version != m.list.Version {
		return
	}
	if r.Full {
		m.covers[from] = max(m.covers[from], q.Version.Rev)
	}
	if m.heard[from].inc != r.Inc {
		m.heard[from] = heard{inc: r.Inc, at: now}
	}
	m.inherit(now, r.Past)
	p := m.peer(from)
	p.covered = q.Covers
	if p.reply == nil {
		p.first = now
		p.starting = r.Age <= firstStart && now.Sub(m.start) <= firstStart
	}
	r.Traces = nil
	p.reply = &r
	m.evaluate(now)
}

func (m *Machine) inherit(now time.Time, list map[string]rwreply.Past) {
	for n, p := range list {
		if n == m.self.Name || slices.Contains(m.list.All, n) {
			continue
		}
		old := m.past[n]
		m.past[n] = past{rev: max(old.rev, p.Rev), until: later(old.until, now.Add(p.Left))}
		m.around = nil
	}
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
			h.Traces = append(h.Traces, t)
			out[to] = h
		}
	}
	return out
}

// heirs are the routers that may run a key after this one has left. All of
// them get its trace, since each acts on the handoffs that it has itself.
func (m *Machine) heirs(key string) []string {
	ranks := m.list.Ranks(key)
	return ranks[slices.Index(ranks, m.self.Name)+1:]
}

// refusals returns the keys that didn't run and have attempts that were told
// so.
func (m *Machine) refusals(now time.Time) []rwtrace.Trace {
	var out []rwtrace.Trace
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
func (m *Machine) refuse(now time.Time, t rwtrace.Trace) {
	if m.table[t.Key] != nil || m.marks[t.Key] != nil {
		return
	}
	m.order = append(m.order, t.Key)
	m.table[t.Key] = &entry{
		digest: t.Digest, expires: now.Add(t.Left), refused: t.Refused,
		result: rwresult.Fault(rwcode.KeyHeld, rwoutcome.NotRun, "an earlier home refused this attempt"),
	}
}

// foreign returns the keys that earlier incarnations of this router may have
// run, and those that are at home here and that others may have run. Without
// them a full message would let routers that lost these traces cover a home
// whose keys they don't know.
func (m *Machine) foreign(now time.Time) []rwtrace.Trace {
	var out []rwtrace.Trace
	for _, k := range slices.Sorted(maps.Keys(m.marks)) {
		t := m.marks[k].trace
		t.Left = m.marks[k].expires.Sub(now)
		if m.table[k] == nil && (t.May(m.self.Name) || m.list.Home(k) == m.self.Name) {
			out = append(out, t)
		}
	}
	return out
}

// Handed takes the keys of a home that leaves.
func (m *Machine) Handed(now time.Time, from rwidentity.Identity, h rwhandoff.Handoff) rwack.Ack {
	ok := m.greet(now, from) && h.Version == m.list.Version && !m.Behind() && !m.leaving && h.Inc == m.self.Inc
	m.meet(h.Version)
	for _, t := range h.Traces {
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
	return rwack.Ack{OK: ok, Seen: m.seen, Inc: m.self.Inc}
}
