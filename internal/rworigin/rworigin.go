// Package rworigin remembers at which software version streams began. Servers of
// several versions may serve side by side, what two of them write doesn't fit
// together, and servers don't check it. A caller may take a stream up at any
// router, so routers exchange what they know. The package reads no clock and does
// no I/O; callers pass the time.
package rworigin

import (
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwinstance"
)

const (
	// originTTL is how long the origin of a stream is kept. It exceeds the time
	// that callers may wait for a stream.
	originTTL = 30 * time.Second
	// maxOrigins bounds the origins in each half of a table, at about 240 bytes
	// each.
	maxOrigins = 20_000
	// currentTime is how long a table counts as current after it was; readers
	// of the store list it every 700 ms.
	currentTime = 1500 * time.Millisecond
	// restartTTL is how long a restart of an upstream is remembered, which is as
	// long as origins are kept; maxRestarts bounds those of one upstream.
	restartTTL  = 2 * originTTL
	maxRestarts = 8
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"svc"`
	// Software is the version of the software of the upstream.
	Software string `json:"sw"`
	// Upstream and StartMillis are the incarnation of the upstream as the
	// recording router knew it. Upstream is empty if that router runs an older
	// release or if the origin is not that of one upstream.
	Upstream    string `json:"up,omitempty"`
	StartMillis int64  `json:"born,omitempty"`
}

// SameSoftware reports whether a stream that began at one of the origins may go on
// at the other.
func (o Origin) SameSoftware(other Origin) bool {
	return o.Service == other.Service && o.Software == other.Software
}

// incarnation is an upstream between two restarts, as the store showed it.
type incarnation struct {
	software    string
	startMillis int64
	// lastAt is when it was last known to be the current one.
	lastAt time.Time
}

// Table holds the origins of streams by the id of the attempt that brought their
// first event, and the versions that upstreams ran lately. It is safe for
// concurrent use.
type Table struct {
	mu sync.Mutex
	// recent and older hold the streams; recent replaces older after originTTL or
	// when it is full.
	recent, older map[string]Origin
	rotatedAt     time.Time
	// seen holds when each version of a service was seen last; watchedSince is
	// when the service was seen first.
	seen         map[string]map[string]time.Time
	watchedSince map[string]time.Time
	// currentAt is when the table was last known to have all upstreams.
	currentAt time.Time
	// incarnations holds the latest incarnations of each upstream by its id,
	// oldest first; prunedAt is when old ones were last dropped.
	incarnations map[string][]incarnation
	prunedAt     time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		recent: map[string]Origin{}, older: map[string]Origin{},
		seen: map[string]map[string]time.Time{}, watchedSince: map[string]time.Time{},
		incarnations: map[string][]incarnation{},
	}
}

// Add records the origin of a stream that has begun.
func (t *Table) Add(now time.Time, id string, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if known, ok := t.find(id); ok && o.Upstream == "" && known.SameSoftware(o) {
		// A router of an older release returns what it was told without the
		// upstream.
		o = known
	}
	t.recent[id] = o
	t.observe(now, o)
}

// Find returns the origin of a stream.
func (t *Table) Find(now time.Time, id string) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return t.find(id)
}

func (t *Table) find(id string) (Origin, bool) {
	o, ok := t.recent[id]
	if !ok {
		o, ok = t.older[id]
	}
	return o, ok
}

func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.rotatedAt); {
	case age > 2*originTTL:
		t.older, t.recent, t.rotatedAt = map[string]Origin{}, map[string]Origin{}, now
	case age > originTTL || len(t.recent) >= maxOrigins:
		t.older, t.recent, t.rotatedAt = t.recent, make(map[string]Origin, len(t.recent)), now
	}
}

// Observe records the versions of upstreams that get work or are leaving.
func (t *Table) Observe(now time.Time, instances []rwinstance.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range instances {
		t.observe(now, Origin{Service: in.Service, Software: in.Software})
		t.observeIncarnation(now, in)
	}
	if now.Sub(t.prunedAt) > originTTL {
		t.prunedAt = now
		t.pruneIncarnations(now)
	}
}

// observeIncarnation records a restart of an upstream if there was one. The caller
// learns of restarts in the order of the store's revisions.
func (t *Table) observeIncarnation(now time.Time, in rwinstance.Instance) {
	if in.ID == "" {
		return
	}
	list := t.incarnations[in.ID]
	if n := len(list); n > 0 {
		list[n-1].lastAt = now
		if list[n-1].is(in.Software, in.StartMillis) {
			return
		}
		if n == maxRestarts {
			list = slices.Delete(list, 0, 1)
		}
	}
	t.incarnations[in.ID] = append(list, incarnation{in.Software, in.StartMillis, now})
}

func (in incarnation) is(software string, startMillis int64) bool {
	return in.software == software && in.startMillis == startMillis
}

func (t *Table) pruneIncarnations(now time.Time) {
	for id, list := range t.incarnations {
		list = slices.DeleteFunc(list, func(in incarnation) bool { return now.Sub(in.lastAt) > restartTTL })
		if len(list) == 0 {
			delete(t.incarnations, id)
		} else {
			t.incarnations[id] = list
		}
	}
}

// Uncertain reports whether a stream that was recorded at an origin may have begun
// at another version, because the upstream has started again with one: routers
// learn of that only from the store, so until then they record streams at the
// former version. A restart with the same version makes nothing uncertain.
//
// All records of the former incarnation are uncertain, not only those from around
// the restart. The clocks of servers and routers may be seconds apart and may jump,
// and streams last seconds, so comparing the start with the time of a record would
// clear few. A record of an incarnation that is not known here is uncertain too if
// its software differs: this router may have started after the restart, or may lack
// later news, for which the caller is asked to wait.
//
// What happens before the news remains unknown: a stream that is taken up then, and
// a version that came and went between two states of the store.
func (t *Table) Uncertain(o Origin) bool {
	if o.Upstream == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range slices.Backward(t.incarnations[o.Upstream]) {
		if in.is(o.Software, o.StartMillis) {
			return false
		}
		if in.software != o.Software {
			return true
		}
	}
	return false
}

// UncertainStream reports whether the origin of a stream is recorded and uncertain.
func (t *Table) UncertainStream(now time.Time, id string) bool {
	o, ok := t.Find(now, id)
	return ok && t.Uncertain(o)
}

// ObserveGrant records that an upstream of a version was granted, at which a stream
// may begin.
func (t *Table) ObserveGrant(now time.Time, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now, o)
}

func (t *Table) observe(now time.Time, o Origin) {
	if t.seen[o.Service] == nil {
		t.seen[o.Service], t.watchedSince[o.Service] = map[string]time.Time{}, now
	}
	t.seen[o.Service][o.Software] = now
}

// MarkCurrent records that all upstreams up to a time have been observed.
func (t *Table) MarkCurrent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.currentAt) {
		t.currentAt = now
	}
}

// CurrentSince reports whether all upstreams have been observed that were there at a
// time.
func (t *Table) CurrentSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.currentAt.Before(at)
}

// Interrupt records that the table was not kept up to date, for example during a
// pause of the process.
func (t *Table) Interrupt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.watchedSince {
		t.watchedSince[service] = now
	}
}

// Seen returns the versions of a service that were seen in the window up to now,
// whether the table has watched the service for the whole window, and whether it
// did so up to now.
func (t *Table) Seen(now time.Time, service string, window time.Duration) (software []string, whole, current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.seen[service] {
		switch age := now.Sub(at); {
		case age <= window:
			software = append(software, name)
		case age > originTTL:
			delete(t.seen[service], name)
		}
	}
	since, ok := t.watchedSince[service]
	return software, ok && now.Sub(since) >= window, now.Sub(t.currentAt) <= currentTime
}

// Inherit records what another table saw that has watched a service for the whole
// window up to now.
func (t *Table) Inherit(now time.Time, service string, software []string, window time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range software {
		t.observe(now, Origin{Service: service, Software: s})
	}
	if since := now.Add(-window); t.watchedSince[service].After(since) {
		t.watchedSince[service] = since
	}
}

// Young returns the services that the table has watched for less than the window.
func (t *Table) Young(now time.Time, window time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for service, since := range t.watchedSince {
		if now.Sub(since) < window {
			out = append(out, service)
		}
	}
	return out
}

// Mixed reports whether streams of a service that last may have begun at
// different versions in the window up to now.
func (t *Table) Mixed(now time.Time, service string, window time.Duration) bool {
	software, whole, _ := t.Seen(now, service, window)
	return len(software) > 1 || !whole
}
