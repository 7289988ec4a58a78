// Package rwonce decides which router runs a non-idempotent call, so that the
// call runs at most once. It is a deterministic state machine; section 3.4 of
// docs/design.md gives the rules and their reasons.
package rwonce

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwintentreply"
	"redwingworks.example/internal/rwintentsync"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwvmlist"
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
	// NoWitness runs calls that no other router remembers.
	NoWitness bool
	// NoCoverage relies on answers of routers that lost traces.
	NoCoverage bool
	// NoPromise lets routers act on older lists than the ones they know.
	NoPromise bool
	// NoHold runs keys at once after a loss of memory.
	NoHold bool
	// NoOutcomes forgets the outcomes of the own calls.
	NoOutcomes bool
	// NoDeparted ignores VMs that are no longer published.
	NoDeparted bool
	// NoJoin lets routers that may have forgotten a promise be witnesses.
	NoJoin bool
	// TakeoverOnSuspicion lets the next router run keys without a handoff.
	TakeoverOnSuspicion bool
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
	version rwvmlist.Version
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
	trace   rwintent.Intent
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
	reply   *rwintentreply.Reply
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

	list rwvmlist.List
	// seen is the highest version that any message named. The machine acts
	// on no older one.
	seen rwvmlist.Version
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
func (m *Machine) SetList(now time.Time, l rwvmlist.List, repeat time.Duration) {
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

// Recovered reports whether fresh keys whose home is this router run.
func (m *Machine) Recovered() bool { return m.full && !m.Behind() }

// Version is the version of the list in use.
func (m *Machine) Version() rwvmlist.Version { return m.list.Version }

// remember keeps a trace and reports whether there was room for it.
func (m *Machine) remember(now time.Time, t rwintent.Intent) bool {
	if t.Router == m.self.Name && t.Inc == m.self.Inc && len(t.OtherRouters) == 0 {
		return true
	}
	if e := m.table[t.Key]; e != nil && e.state == free {
		// Another router may have run the key since this one didn't.
		delete(m.table, t.Key)
	}
	until := now.Add(t.TTL)
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
	for _, n := range append(slices.Clone(t.OtherRouters), t.Router) {
		if n != "" && !old.trace.MayHaveRun(n) {
			old.trace.OtherRouters = append(slices.Clone(old.trace.OtherRouters), n)
		}
	}
	return true
}

// meet takes note of the version of another router.
func (m *Machine) meet(v rwvmlist.Version) {
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
func (m *Machine) accepts(v rwvmlist.Version) bool {
	return m.config.Rules.NoPromise || v.Rev > m.seen.Rev || v == m.seen
}

// keys returns the keys that this incarnation may have run, without tickets,
// which nobody else ever runs.
func (m *Machine) keys(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range m.order {
		e := m.table[k]
		if e == nil || e.ticket || e.state == free {
			continue
		}
		out = append(out, m.trace(now, k, e))
	}
	return out
}

func (m *Machine) trace(now time.Time, key string, e *entry) rwintent.Intent {
	return rwintent.Intent{
		Key: key, Digest: e.digest, Router: m.self.Name, Inc: m.self.Inc,
		TTL: max(e.expires.Sub(now), slack),
	}
}

// IntentSync is the note that asks a witness to remember a key.
func (m *Machine) IntentSync(now time.Time, key string) rwintentsync.Sync {
	e := m.table[key]
	if e == nil {
		return rwintentsync.Sync{}
	}
	return rwintentsync.Sync{Version: e.version, Intents: []rwintent.Intent{m.trace(now, key, e)}}
}
