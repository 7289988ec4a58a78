// Package rwonce decides which router executes a non-idempotent call, so that
// the call is executed at most once. It is a deterministic state machine
// without I/O. Section 3.4 of docs/design.md gives the rules and their reasons.
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

// PageSize is the maximum number of intent records per message. A record
// without OtherRouters, Refused and Result takes up to 200 bytes, so a page of
// such records with results of up to maxResultBytes stays below the message
// size limit.
const PageSize = 2000

const (
	// clockSkew is the maximum difference between the clocks of callers and
	// routers.
	clockSkew = 5 * time.Second
	// maxPause is the longest interval between two ticks that doesn't count as
	// a pause of the process.
	maxPause = time.Second
	// fleetStartAge is the maximum age of a router that counts as just started.
	// Config.Hold only applies if all routers have just started.
	fleetStartAge = 30 * time.Second
	// expiryMargin is added to the time that keys are kept. An intent record is
	// created before its call ends, and a call may wait and run this long.
	expiryMargin = 3 * time.Minute
	// resendInterval is the interval between messages to a router that has not
	// answered. It also applies to queries to a router that has answered only
	// without Covers, if this router may not know all executed keys.
	resendInterval = 300 * time.Millisecond
	// requeryInterval is the interval between queries to a router that has
	// answered with Covers, for as long as this router may not know all
	// executed keys: a router has lost intent records or not answered.
	requeryInterval = 10 * time.Second
	// expireInterval limits how often all keys are scanned for expired ones.
	expireInterval = time.Second
	// heldRetryAfter is the Retry-After time for a key that is held.
	heldRetryAfter = time.Second
	// maxResultBytes is the maximum size of the response bodies in one message
	// that are from executions of the sender itself. Results that it received
	// with intent records are not counted.
	maxResultBytes = 512 << 10
	// maxRefusedAttempts is the maximum number of refused attempts that are
	// stored for a key.
	maxRefusedAttempts = 16
	// maxRevs is the number of stored list revisions at which those that only
	// other routers had are no longer added. The revisions of this router's own
	// lists are stored without a limit.
	maxRevs = 64
)

// Rules disables single rules, so that tests can show that each of them is
// needed. The zero value enables all rules.
type Rules struct {
	// NoWitness executes calls whose intent no other router has stored.
	NoWitness bool
	// NoCoverage accepts the answers of routers that have lost intent records.
	NoCoverage bool
	// NoPromise lets routers act on lists that are older than the newest one
	// they know.
	NoPromise bool
	// NoHold executes keys without waiting until those unknown to this router
	// have expired.
	NoHold bool
	// NoOutcomes ignores the outcomes of calls that this router executed.
	NoOutcomes bool
	// NoDeparted ignores VMs that are no longer published.
	NoDeparted bool
	// NoJoin accepts intents on routers that may not know a promise of their
	// earlier incarnation.
	NoJoin bool
	// TakeoverOnSuspicion lets the next router execute keys without a handoff.
	TakeoverOnSuspicion bool
}

// Config holds the limits of a Machine.
type Config struct {
	// Hold is how long keys are held when the whole fleet starts; 0 means the
	// repeat window.
	Hold time.Duration
	// Stop is the time after which a VM that is no longer published has
	// certainly stopped; 0 means 10 minutes.
	Stop time.Duration
	// MaxKeys limits the number of keys that this router may execute and,
	// separately, the number of intent records. MaxBytes limits the size of the
	// response bodies of calls that this router executed. 0 means the default.
	MaxKeys  int
	MaxBytes int
	Rules    Rules
}

const (
	defaultStopTime = 10 * time.Minute
	defaultMaxKeys  = 200_000
	defaultMaxBytes = 32 << 20
	// homeRecoveryTime is how long a home counts as recovering after this router
	// first observed its incarnation. It gets the answers of the other routers
	// much earlier, if it can get them at all.
	homeRecoveryTime = 5 * time.Second
)

type state int

const (
	free state = iota
	running
	ended
)

// execution is the state of a key that this incarnation may execute.
type execution struct {
	state  state
	digest string
	ticket bool
	// version is the version of the list under which the call began. The intent
	// is sent with this version even if the router has a newer list by then: a
	// witness that promised to act on no older list must reject it.
	version rwvmlist.Version
	expires time.Time
	result  rwresult.Result
	// evicted reports whether the response body was dropped to limit memory.
	evicted bool
	// attempt is the ID of the attempt in progress. The attempts in refused got
	// the outcome not_run, so a delayed copy of them must not be executed.
	attempt string
	refused []string
}

// storedIntent is a key that another incarnation may have executed.
type storedIntent struct {
	intent  rwintent.Intent
	expires time.Time
	// forwards counts the calls that this router forwarded for its own callers
	// and that rely on the record.
	forwards int
	// fromHandoff reports whether the record came in a handoff, which means
	// that the sender may have executed the key.
	fromHandoff bool
}

type departedVM struct {
	rev   int64
	until time.Time
}

type peer struct {
	// hasCovers reports whether Covers is set in reply.
	hasCovers bool
	reply     *rwintentreply.Reply
	// acceptedAt is the time of the first accepted reply since the current list
	// was set or, if that was later, since the last pause of this process.
	acceptedAt time.Time
	// starting reports whether the peer and this router had both just started
	// at acceptedAt.
	starting  bool
	lastQuery time.Time
	lastSync  time.Time
}

type firstReply struct {
	inc int64
	at  time.Time
}

type syncedTo struct{ inc, rev int64 }

// Machine is the state of one router incarnation. It is not safe for concurrent
// use.
type Machine struct {
	self     rwidentity.Identity
	config   Config
	start    time.Time
	lastTick time.Time
	// lastExpiry is the time of the last scan for expired keys.
	lastExpiry   time.Time
	repeatWindow time.Duration

	list rwvmlist.List
	// newest is the highest list version that this router or, as far as it
	// knows, any other router has. It doesn't act on any older one.
	newest rwvmlist.Version
	// knownRevs are the list revisions that this or any other router had.
	// ownRevs are those that this router acted on.
	knownRevs map[int64]bool
	ownRevs   map[int64]bool

	incarnations map[string]int64
	// firstSeen is when this router first observed each current incarnation.
	firstSeen    map[string]time.Time
	peers        map[string]*peer
	firstReplies map[string]firstReply
	departed     map[string]departedVM
	// otherRouters caches the result of others; nil if it is out of date.
	otherRouters []string
	// covers maps each home whose intents this router has had without a gap
	// since a complete sync to the list revision of the last such sync.
	covers map[string]int64
	synced map[string]syncedTo

	// recovered reports whether this router knows every key that any of its
	// incarnations may have executed within the repeat window.
	recovered bool
	// uninterrupted reports whether this router once knew every executed key of
	// which it was the home, whichever router executed it, and since then it has
	// been live in every list and was not paused.
	uninterrupted bool
	// joined reports whether this router has received the list versions of all
	// other routers, or of all but one and at least one, since its start. Until
	// then it may not know a promise of its earlier incarnation.
	joined bool
	// holdEnded reports whether the hold time has passed for the current list.
	// It is reset by a pause.
	holdEnded bool

	executions  map[string]*execution
	keyOrder    []string
	resultBytes int
	intents     map[string]*storedIntent
	// handoffs maps each home that handed its keys over to this router to the
	// home's incarnation.
	handoffs map[string]int64
	leaving  bool
	// closed reports whether this router, which is leaving, begins no tickets
	// any more either.
	closed bool
	// handoffTargets are the incarnations that this router hands its keys over
	// to.
	handoffTargets map[string]int64
}

// New returns a Machine without a list.
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

// SetList applies a published list and the longest repeat window of any kind.
// An older list is ignored.
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

// Tick reports that the process is running. From a pause to the next Tick,
// Commit allows no call. That Tick discards the answers from before the pause.
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

// paused reports whether the process was paused. It also checks the wall clock,
// since the monotonic clock stops while a VM is suspended.
func (m *Machine) paused(now time.Time) bool {
	return now.Sub(m.lastTick) > maxPause || now.Round(0).Sub(m.lastTick.Round(0)) > maxPause
}

// resetAfterPause discards what the other routers replied before a pause, so
// that they are queried again before this router acts on it. They may have
// taken over its keys in the meantime.
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

// departedTTL is how long a VM that is no longer published must be considered:
// until callers can't repeat the keys of its intents and it can't execute keys by
// an old list any more. The intents themselves expire up to expiryMargin later.
func (m *Machine) departedTTL() time.Duration { return max(m.repeatWindow, m.config.Stop) }

// Behind reports whether another router is known to have a list of a higher
// revision.
func (m *Machine) Behind() bool { return m.newest != m.list.Version }

// Recovered reports whether this router knows every key that any of its
// incarnations may have executed within the repeat window, and is not behind.
// After a change of the list or a pause it may still hold new keys because of
// other homes.
func (m *Machine) Recovered() bool { return m.recovered && !m.Behind() }

// Version returns the version of the current list.
func (m *Machine) Version() rwvmlist.Version { return m.list.Version }

// storeIntent stores an intent record and reports whether there was room for
// it.
func (m *Machine) storeIntent(now time.Time, t rwintent.Intent) bool {
	if t.Router == m.self.Name && t.Inc == m.self.Inc && len(t.OtherRouters) == 0 {
		return true
	}
	if e := m.executions[t.Key]; e != nil && e.state == free {
		// Another router may have executed the key after this one didn't.
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

// observeVersion records the list version of another router.
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

// observeIncarnation records the incarnation of another router and reports
// whether it is the newest one known.
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

// acceptsVersion reports whether a list version agrees with this router's
// promises: it must be the newest one that the router knows, or a newer one.
func (m *Machine) acceptsVersion(v rwvmlist.Version) bool {
	return m.config.Rules.NoPromise || v.Rev > m.newest.Rev || v == m.newest
}

// ownIntents returns the keys that this incarnation may have executed, except
// tickets, which no other router ever executes.
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

// IntentSync returns the message that asks a witness to store the intent of a
// key.
func (m *Machine) IntentSync(now time.Time, key string) rwintentsync.Sync {
	e := m.executions[key]
	if e == nil {
		return rwintentsync.Sync{}
	}
	return rwintentsync.Sync{Version: e.version, Intents: []rwintent.Intent{m.ownIntent(now, key, e)}}
}
