// Package rwmember implements the router membership protocol as a SWIM-like
// state machine: direct and indirect probes, suspicions that the suspect can
// refute, and updates piggybacked on the probes.
//
// The state of a router is versioned by the pair of its incarnation and its
// count of refutations. The incarnation changes only when the process
// restarts, and a suspicion is refuted by a higher count. This lets others
// distinguish a router that was only suspected from one that lost its memory.
//
// A router declares a member dead only after its own suspicion timer expires.
// A report from another router that a member is dead counts as a suspicion, so
// that the sides of a network partition don't declare each other's members
// dead when they reconnect.
package rwmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmemberchanges"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwupdate"
	"redwingworks.example/internal/rwvm"
)

const (
	probeInterval = 500 * time.Millisecond
	// phaseSpread is the range of the routers' phase offsets within an
	// interval. While clocks and member lists agree, the gap between two probes
	// of one member is at most probeInterval plus phaseSpread and a tick, so it
	// is kept short.
	phaseSpread     = 100 * time.Millisecond
	directTimeout   = 200 * time.Millisecond
	indirectTimeout = 200 * time.Millisecond
	indirectProbes  = 2
	suspicionTime   = 1500 * time.Millisecond
	// verifyInterval is how often each router pings a suspect itself before
	// declaring it dead, so that a single lost message is not enough.
	verifyInterval = 600 * time.Millisecond
	// unansweredInterval is how often a member is pinged after a ping that it
	// did not answer.
	unansweredInterval = time.Second
	// maxRunningProbes is the number of running probes of members at which a
	// missed ping starts no extra probe. It counts all probes except
	// verifications and doesn't limit the regular ones.
	maxRunningProbes = 4
	// postSuspicionTime is how long after a suspicion a router sends extra
	// probes to find further failures.
	postSuspicionTime = 10 * time.Second
	// candidateInterval is how often a router pings one address that should
	// belong to a router but isn't that of an alive or suspect member. After a
	// partition it determines when the sides reach each other again; after an
	// answer the next address is pinged at the next tick.
	candidateInterval = time.Second
	joinInterval      = 250 * time.Millisecond
	joinProbes        = 3
	// joinTime is how long after its start or a pause a router requests full
	// member lists. The first lists are incomplete when a whole fleet starts at
	// once.
	joinTime = 10 * time.Second
	// listInterval is how often a router requests the member list of a live member
	// within joinTime if it knows the members at all addresses to join through.
	listInterval         = 2 * time.Second
	maxUpdatesPerMessage = 8
	// fanout is the number of routers that get an urgent update at once. It
	// reaches 94% of the fleet within a few hops; probes carry it to the rest.
	fanout = 3
	// flushInterval limits urgent updates when many routers fail at once to 3
	// messages of about 400 bytes 5 times a second.
	flushInterval = 200 * time.Millisecond
	// deadRetention is how long a dead router is kept that is not on the
	// published VM list.
	deadRetention = 10 * time.Minute
	// updateLifetime is the longest time that an update is gossiped. An update
	// reaches all routers in a third of it; without a limit, a fleet whose
	// routers all start at once would send old updates for minutes.
	updateLifetime = 10 * time.Second
	// retransmitFactor times the bit length of the number of members is the
	// largest number of times that an update is sent. The messages of one
	// urgent flush count as one.
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
	// leaving is never reset within one incarnation.
	leaving bool
	// stateSince is when the member became suspect or dead. Resume and each
	// direct answer of a suspect set it anew.
	stateSince time.Time
	nextVerify time.Time
	// lastMessage is the time of the last message from the member itself.
	lastMessage time.Time
	// missedPings counts consecutive direct pings without an answer.
	missedPings int
}

// probe is a running probe of one member or candidate address.
type probe struct {
	target          string
	addr            string
	isMember        bool
	pendingIndirect int
	deadline        time.Time
	indirectStarted bool
	// verifyOnly marks a direct ping that is not followed by indirect probes
	// and doesn't start a suspicion.
	verifyOnly bool
}

type call struct {
	probe  *probe
	direct bool
	// wantsMembers reports whether the answer lists all members. Other routers
	// know them already, so the updates in it are not gossiped further.
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

// Members is one router's view of the membership. It is not safe for
// concurrent use.
type Members struct {
	self        rwidentity.Identity
	refutations uint64
	leaving     bool
	// superseded reports whether a higher incarnation of this router's own name
	// exists. This router must not own any cell then.
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
	configRev    rwrevision.Revision
	configDigest uint64

	phase      time.Duration
	lastRound  int64
	nextJoin   time.Time
	nextList   time.Time
	nextFlush  time.Time
	candidates []string
	calls      map[uint64]*call
	probes     map[string]*probe
	nextCall   uint64
	queue      map[string]*queuedUpdate
	nextSeq    uint64
	// now is the time of the last tick; queued updates are dated with it.
	now time.Time
	// lastSuspicion is when the last suspicion began.
	lastSuspicion time.Time
	// mergingFullList is set while a full member list is merged.
	mergingFullList bool
	joinUntil       time.Time
	changes         rwmemberchanges.Changes
	version         uint64
}

// New returns a view whose only router is this one.
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

// SetSeeds sets the peer addresses to join through.
func (m *Members) SetSeeds(addrs []string) { m.seeds = slices.Clone(addrs) }

// SetPublishedVMs sets the published VM list. It provides addresses to probe,
// and dead members on it are not removed; probes decide whether a router is
// live.
func (m *Members) SetPublishedVMs(list []rwvm.VM) { m.published = slices.Clone(list) }

// SetConfigDigest sets the configuration revision and digest that are sent
// with each probe.
func (m *Members) SetConfigDigest(rev rwrevision.Revision, sum uint64) {
	m.configRev, m.configDigest = rev, sum
}

// Live returns the live routers of a zone, or of all zones for "", sorted by
// name. It includes suspects, so that a lost probe doesn't change cell owners,
// and this router unless it is leaving or superseded. Leaving and dead routers
// are excluded.
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

// Leaving returns the other routers that are leaving and not known to have ended,
// sorted by name.
func (m *Members) Leaving() []rwidentity.Identity {
	var out []rwidentity.Identity
	for _, x := range m.members {
		if x.leaving && x.state != dead {
			out = append(out, x.id)
		}
	}
	slices.SortFunc(out, func(a, b rwidentity.Identity) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns a router by name unless it is unknown or dead. It may be
// leaving.
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

// TakeChanges returns the changes since the last call.
func (m *Members) TakeChanges() rwmemberchanges.Changes {
	n := m.changes
	m.changes = rwmemberchanges.Changes{}
	return n
}

func (x *member) live() bool { return x.state != dead && !x.leaving }
