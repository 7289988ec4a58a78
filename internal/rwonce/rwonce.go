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
	// fleetStartAge is the age up to which all routers count as just started.
	fleetStartAge = 30 * time.Second
	// expiryMargin is added to the time that keys are kept, since a trace is older
	// than the end of its call, and a call may wait and run this long.
	expiryMargin = 3 * time.Minute
	// resendInterval is the time between two messages to a router that has not
	// answered.
	resendInterval = 300 * time.Millisecond
	// requeryInterval is the time between two queries to a router that has answered
	// and lacked memory.
	requeryInterval = 10 * time.Second
	// expireInterval bounds the cost of a walk over all keys.
	expireInterval = time.Second
	// heldRetryAfter is the time after which a caller may repeat a held key.
	heldRetryAfter = time.Second
	// maxResultBytes bounds the bytes of answers in one message.
	maxResultBytes = 512 << 10
	// maxRefusedAttempts bounds the refused attempts that are remembered for a key.
	maxRefusedAttempts = 16
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
	defaultStopTime = 10 * time.Minute
	defaultMaxKeys  = 200_000
	defaultMaxBytes = 32 << 20
	// homeRecoveryTime is how long a home counts as having just started. It has the
	// answers of the others long before, if they can be had at all.
	homeRecoveryTime = 5 * time.Second
)

type state int

const (
	free state = iota
	running
	ended
)

// execution is a key that this incarnation may run.
type execution struct {
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

// storedIntent is a key that another incarnation may have run.
type storedIntent struct {
	intent  rwintent.Intent
	expires time.Time
	// forwards counts the calls of this router's own callers that rely on it.
	forwards int
	// fromHandoff is whether a handoff had the key: the sender may have run it.
	fromHandoff bool
}

type departedVM struct {
	rev   int64
	until time.Time
}

type peer struct {
	// hasCovers is whether reply has Covers.
	hasCovers bool
	reply     *rwintentreply.Reply
	// acceptedAt is the time of the first accepted answer for this list.
	acceptedAt time.Time
	// starting is whether the peer and this router had just started then.
	starting  bool
	lastQuery time.Time
	lastSync  time.Time
}

type firstReply struct {
	inc int64
	at  time.Time
}

type syncedTo struct{ inc, rev int64 }

// Machine is the part of one router incarnation. It is not safe for concurrent
// use.
type Machine struct {
	self     rwidentity.Identity
	config   Config
	start    time.Time
	lastTick time.Time
	// lastExpiry is when old keys were last dropped.
	lastExpiry   time.Time
	repeatWindow time.Duration

	list rwvmlist.List
	// newest is the highest version that any message named. The machine acts
	// on no older one.
	newest rwvmlist.Version
	// knownRevs are the list revisions that this router or others had, own those
	// that this router acted on.
	knownRevs map[int64]bool
	ownRevs   map[int64]bool

	incarnations map[string]int64
	// firstSeen is when this router first heard of each present incarnation.
	firstSeen    map[string]time.Time
	peers        map[string]*peer
	firstReplies map[string]firstReply
	departed     map[string]departedVM
	// otherRouters is the result of others for the present list and past, or nil.
	otherRouters []string
	// covers are the homes whose traces this router has without a gap.
	covers map[string]int64
	synced map[string]syncedTo

	// recovered is whether this router knows every key that it may have run in
	// any incarnation within the repeat time.
	recovered bool
	// uninterrupted is whether this router knew every key whose home it was, of all
	// routers, and was live in every list since.
	uninterrupted bool
	// joined is whether this router has learnt the lists of the others
	// since its start. Until then it may have forgotten a promise.
	joined bool
	// holdEnded is whether the time to hold keys has passed for this list.
	holdEnded bool

	executions  map[string]*execution
	keyOrder    []string
	resultBytes int
	intents     map[string]*storedIntent
	// handoffs are the homes that handed their keys to this router, with the
	// incarnation that did.
	handoffs map[string]int64
	leaving  bool
	// handoffTargets are the incarnations that the keys were handed to.
	handoffTargets map[string]int64
}

// New returns a machine that knows no list yet.
func New(self rwidentity.Identity, c Config, now time.Time) *Machine {
	if c.Stop == 0 {
		c.Stop = defaultStopTime
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	return &Machine{
		self: self, config: c, start: now, lastTick: now,
		knownRevs: map[int64]bool{}, ownRevs: map[int64]bool{},
		incarnations: map[string]int64{}, firstSeen: map[string]time.Time{}, peers: map[string]*peer{}, firstReplies: map[string]firstReply{},
		departed: map[string]departedVM{}, covers: map[string]int64{}, synced: map[string]syncedTo{},
		executions: map[string]*execution{}, intents: map[string]*storedIntent{}, handoffs: map[string]int64{},
	}
}

// SetList takes a published list into use, with the longest repeat time of
// any kind. An older list is ignored.
func (m *Machine) SetList(now time.Time, l rwvmlist.List, repeat time.Duration) {
	m.repeatWindow = max(m.repeatWindow, repeat)
	if l.Version == m.list.Version || l.Version.Rev < m.list.Version.Rev {
		return
	}
	for _, n := range m.list.All {
		if !slices.Contains(l.All, n) {
			m.departed[n] = departedVM{rev: l.Version.Rev, until: now.Add(m.departedTTL())}
		}
	}
	for _, n := range l.All {
		delete(m.departed, n)
	}
	m.list, m.otherRouters = l, nil
	if l.Version.Rev >= m.newest.Rev {
		m.newest = l.Version
	}
	m.knownRevs[l.Version.Rev], m.ownRevs[l.Version.Rev] = true, true
	m.peers = map[string]*peer{}
	m.holdEnded = false
	m.uninterrupted = m.uninterrupted && m.isLive()
	clear(m.handoffs)
	m.evaluate(now)
}

// Tick reports that the process runs. Calls aren't sent after a pause.
func (m *Machine) Tick(now time.Time) {
	if m.paused(now) {
		m.resetAfterPause()
	}
	m.lastTick = now
	if now.Sub(m.lastExpiry) >= expireInterval {
		m.lastExpiry = now
		m.expire(now)
	}
	m.evaluate(now)
}

// paused reports whether the process stood still. The monotonic clock does so
// too while a VM is suspended, hence the wall clock.
func (m *Machine) paused(now time.Time) bool {
	return now.Sub(m.lastTick) > maxPause || now.Round(0).Sub(m.lastTick.Round(0)) > maxPause
}

// resetAfterPause asks all others again after a pause, before this router acts on what it
// knew, since others may have taken its keys over meanwhile.
func (m *Machine) resetAfterPause() {
	m.peers = map[string]*peer{}
	m.holdEnded, m.uninterrupted = false, false
}

func (m *Machine) expire(now time.Time) {
	for k, t := range m.intents {
		if now.After(t.expires) {
			delete(m.intents, k)
		}
	}
	for k, e := range m.executions {
		if e.state != running && now.After(e.expires) {
			m.resultBytes -= len(e.result.Body)
			delete(m.executions, k)
		}
	}
	m.keyOrder = slices.DeleteFunc(m.keyOrder, func(k string) bool { return m.executions[k] == nil })
	for n, p := range m.departed {
		if now.After(p.until) {
			delete(m.departed, n)
			m.otherRouters = nil
		}
	}
}

// departedTTL is how long a VM that is no longer published matters: until its
// traces have expired and it runs no more keys by an old list.
func (m *Machine) departedTTL() time.Duration { return max(m.repeatWindow, m.config.Stop) }

// Behind reports whether another router has a newer list.
func (m *Machine) Behind() bool { return m.newest != m.list.Version }

// Recovered reports whether fresh keys whose home is this router run.
func (m *Machine) Recovered() bool { return m.recovered && !m.Behind() }

// Version is the version of the list in use.
func (m *Machine) Version() rwvmlist.Version { return m.list.Version }

// storeIntent keeps a trace and reports whether there was room for it.
func (m *Machine) storeIntent(now time.Time, t rwintent.Intent) bool {
	if t.Router == m.self.Name && t.Inc == m.self.Inc && len(t.OtherRouters) == 0 {
		return true
	}
	if e := m.executions[t.Key]; e != nil && e.state == free {
		// Another router may have run the key since this one didn't.
		delete(m.executions, t.Key)
	}
	until := now.Add(t.TTL)
	old := m.intents[t.Key]
	if old == nil {
		if len(m.intents) >= m.config.MaxKeys {
			return false
		}
		m.intents[t.Key] = &storedIntent{intent: t, expires: until}
		return true
	}
	old.expires = later(old.expires, until)
	if t.Result != nil {
		old.intent.Result = t.Result
	}
	for _, n := range append(slices.Clone(t.OtherRouters), t.Router) {
		if n != "" && !old.intent.MayHaveRun(n) {
			old.intent.OtherRouters = append(slices.Clone(old.intent.OtherRouters), n)
		}
	}
	return true
}

// observeVersion takes note of the version of another router.
func (m *Machine) observeVersion(v rwvmlist.Version) {
	if v.Rev == 0 {
		return
	}
	if len(m.knownRevs) < maxRevs {
		m.knownRevs[v.Rev] = true
	}
	if v.Rev > m.newest.Rev && !m.config.Rules.NoPromise {
		m.newest = v
	}
}

// observeIncarnation takes note of another router's incarnation and reports whether it is
// the newest one known.
func (m *Machine) observeIncarnation(now time.Time, from rwidentity.Identity) bool {
	if from.Inc < m.incarnations[from.Name] {
		return false
	}
	if from.Inc > m.incarnations[from.Name] {
		m.firstSeen[from.Name] = now
	}
	m.incarnations[from.Name] = from.Inc
	if m.handoffs[from.Name] > 0 && m.handoffs[from.Name] < from.Inc {
		delete(m.handoffs, from.Name)
	}
	if _, ok := m.departed[from.Name]; !ok && m.list.Version.Rev > 0 && !slices.Contains(m.list.All, from.Name) {
		m.departed[from.Name] = departedVM{rev: m.list.Version.Rev, until: now.Add(m.departedTTL())}
		m.otherRouters = nil
	}
	return true
}

// acceptsVersion reports whether this router has promised nothing against acting on
// a version.
func (m *Machine) acceptsVersion(v rwvmlist.Version) bool {
	return m.config.Rules.NoPromise || v.Rev > m.newest.Rev || v == m.newest
}

// ownIntents returns the keys that this incarnation may have run, without tickets,
// which nobody else ever runs.
func (m *Machine) ownIntents(now time.Time) []rwintent.Intent {
	var out []rwintent.Intent
	for _, k := range m.keyOrder {
		e := m.executions[k]
		if e == nil || e.ticket || e.state == free {
			continue
		}
		out = append(out, m.ownIntent(now, k, e))
	}
	return out
}

func (m *Machine) ownIntent(now time.Time, key string, e *execution) rwintent.Intent {
	return rwintent.Intent{
		Key: key, Digest: e.digest, Router: m.self.Name, Inc: m.self.Inc,
		TTL: max(e.expires.Sub(now), expiryMargin),
	}
}

// IntentSync is the note that asks a witness to remember a key.
func (m *Machine) IntentSync(now time.Time, key string) rwintentsync.Sync {
	e := m.executions[key]
	if e == nil {
		return rwintentsync.Sync{}
	}
	return rwintentsync.Sync{Version: e.version, Intents: []rwintent.Intent{m.ownIntent(now, key, e)}}
}
