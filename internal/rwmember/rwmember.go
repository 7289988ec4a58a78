// Package rwmember decides which routers are live. It is a SWIM-like state
// machine: random probes, indirect probes, suspicion that the suspect may
// refute, and news that travels on the probes.
//
// A router's rank is the pair of its incarnation and its count of
// refutations. The incarnation changes only when the process starts again; a
// suspicion is refuted by a higher count, so that others can tell a router
// that was merely suspected from one that lost its memory.
//
// Each router declares a member dead by its own timer only. The word of
// another router that a member is dead counts as a suspicion, so that parts of
// the fleet that were separated don't declare each other's members dead when
// they meet again.
package rwmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmemberchanges"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwupdate"
	"redwingworks.example/internal/rwvm"
)

const (
	probeInterval = 500 * time.Millisecond
	// phaseSpread is the range of the routers' phases inside an interval. It
	// is short, because the gap between two probes of one member is at most
	// probeInterval plus probeSpread.
	phaseSpread     = 100 * time.Millisecond
	directTimeout   = 200 * time.Millisecond
	indirectTimeout = 200 * time.Millisecond
	indirectProbes  = 2
	suspicionTime   = 1500 * time.Millisecond
	// verifyInterval is how often each router probes a suspect by itself
	// before it declares it dead. One lost message must not be enough.
	verifyInterval = 600 * time.Millisecond
	// unansweredInterval is how often a member is pinged whose last ping had no
	// answer.
	unansweredInterval = time.Second
	// maxRunningProbes limits the probes that follow failed ones.
	maxRunningProbes = 4
	// postSuspicionTime is how long after a suspicion a router searches for further
	// failures.
	postSuspicionTime = 10 * time.Second
	// candidateInterval is how often a router tries one address that should
	// have a router but isn't a member. It bounds how long parts of the fleet
	// take to meet again.
	candidateInterval = time.Second
	joinInterval      = 250 * time.Millisecond
	joinProbes        = 3
	// joinTime is how long after its start a router asks for full lists. When
	// a whole fleet starts, the first lists are short.
	joinTime             = 10 * time.Second
	maxUpdatesPerMessage = 8
	// fanout routers get urgent news at once; it reaches 94% of the fleet
	// within a few hops, and probes carry it to the rest.
	fanout = 3
	// flushInterval bounds the bytes of urgent news when many routers fail at
	// once: 3 messages of about 400 bytes 5 times a second.
	flushInterval = 200 * time.Millisecond
	// deadRetention is how long a dead router that no list names is remembered.
	deadRetention = 10 * time.Minute
	// updateLifetime is how long an update is passed on at most. It reaches all
	// routers in a third of this; a fleet that starts as a whole would
	// otherwise repeat old news for minutes.
	updateLifetime = 10 * time.Second
	// retransmitFactor is multiplied by log2 of the number of members.
	retransmitFactor = 2
)

type state int

const (
	alive state = iota
	suspect
	dead
)

type member struct {
	id          rwidentity.Identity
	refutations uint64
	state       state
	// leaving never becomes false again for one incarnation.
	leaving bool
	// stateSince is when the state suspect or dead began.
	stateSince time.Time
	nextVerify time.Time
	// lastHeard is when the last message came from the member itself.
	lastHeard time.Time
	// missedPings counts direct pings in a row that had no answer.
	missedPings int
}

// probe is a running probe of one member.
type probe struct {
	target          string
	addr            string
	isMember        bool
	pendingIndirect int
	deadline        time.Time
	indirectStarted bool
	// verifyOnly is whether this is only the direct ping of a suspect.
	verifyOnly bool
}

type call struct {
	probe  *probe
	direct bool
	// wantsMembers is whether the answer has all members. Others know them already,
	// so they are not passed on.
	wantsMembers bool
	sent         time.Time
}

type queuedUpdate struct {
	update        rwupdate.Update
	transmissions int
	seq           uint64
	since         time.Time
	urgent        bool
}

// Members is one router's view of the fleet. It is not safe for concurrent
// use.
type Members struct {
	self        rwidentity.Identity
	refutations uint64
	leaving     bool
	// superseded is true when a higher incarnation of this router's own name
	// exists; this router must own nothing then.
	superseded bool
	random     *rand.Rand

	members map[string]*member
	// suspectOrDead holds the members that are suspect or dead.
	suspectOrDead map[string]*member
	// unanswered holds the members whose last direct ping had no answer.
	unanswered   map[string]*member
	upstreams    map[string]int64
	published    []rwvm.VM
	seeds        []string
	configRev    int64
	configDigest uint64

	phase      time.Duration
	lastRound  int64
	nextJoin   time.Time
	nextFlush  time.Time
	candidates []string
	calls      map[uint64]*call
	probes     map[string]*probe
	nextCall   uint64
	queue      map[string]*queuedUpdate
	nextSeq    uint64
	// now is the time of the last tick, which dates news.
	now time.Time
	// lastSuspicion is when the last suspicion began.
	lastSuspicion time.Time
	// mergingFullList is set while a full list is merged.
	mergingFullList bool
	joinUntil       time.Time
	changes         rwmemberchanges.Changes
	version         uint64
}

// New returns the view of a router that knows only itself.
func New(self rwidentity.Identity, seed uint64) *Members {
	score := rwrendezvous.Score("phase", self.Name)
	return &Members{
		self:          self,
		random:        rand.New(rand.NewPCG(seed, score)),
		members:       map[string]*member{},
		suspectOrDead: map[string]*member{},
		unanswered:    map[string]*member{},
		upstreams:     map[string]int64{},
		phase:         time.Duration(score % uint64(phaseSpread)),
		calls:         map[uint64]*call{},
		probes:        map[string]*probe{},
		queue:         map[string]*queuedUpdate{},
		version:       1,
	}
}

// SetSeeds sets peer addresses to join by.
func (m *Members) SetSeeds(addrs []string) { m.seeds = slices.Clone(addrs) }

// SetPublishedVMs sets the published VM list. It serves as a list of addresses only;
// whether a router is live is decided by probes.
func (m *Members) SetPublishedVMs(list []rwvm.VM) { m.published = slices.Clone(list) }

// SetConfigDigest sets the configuration revision and digest that probes carry.
func (m *Members) SetConfigDigest(rev int64, sum uint64) { m.configRev, m.configDigest = rev, sum }

// Live returns the live routers of a zone by name, or all for the zone "".
// Suspects are included, so that a lost probe doesn't change owners; leaving
// and dead routers are not. It includes this router unless it is leaving.
func (m *Members) Live(zone string) []rwidentity.Identity {
	var out []rwidentity.Identity
	if !m.leaving && !m.superseded && (zone == "" || zone == m.self.Zone) {
		out = append(out, m.self)
	}
	for _, x := range m.members {
		if x.live() && (zone == "" || zone == x.id.Zone) {
			out = append(out, x.id)
		}
	}
	slices.SortFunc(out, func(a, b rwidentity.Identity) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns a router that is not known to be dead; it may be leaving.
func (m *Members) Find(name string) (rwidentity.Identity, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	x := m.members[name]
	if x == nil || x.state == dead {
		return rwidentity.Identity{}, false
	}
	return x.id, true
}

// Version changes whenever the result of Live changes.
func (m *Members) Version() uint64 { return m.version }

// TakeChanges returns what was learned since the last call.
func (m *Members) TakeChanges() rwmemberchanges.Changes {
	n := m.changes
	m.changes = rwmemberchanges.Changes{}
	return n
}

func (x *member) live() bool { return x.state != dead && !x.leaving }
