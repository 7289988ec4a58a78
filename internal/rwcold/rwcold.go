// Package rwcold decides which upstreams are cold: they have started or come back a
// short time ago and crash under many requests. It goes by the first sign of that
// and not only by the upstreams' entries, which may be seconds old when an upstream
// returns. The package reads no clock and does no I/O.
package rwcold

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingworks.example/internal/rwinstance"
)

const (
	// learnTime is how long after its start a tracker takes an unknown upstream for
	// warm unless its entry says that it is cold. A router learns of a whole fleet in several
	// steps then, and must not hold back all of it.
	learnTime = 5 * time.Second
	// minSigns is the number of failures without an answer in between, and
	// silentTime the time without an answer, after which an upstream counts as
	// silent. A busy engine answers every 40 ms; single failures are frequent on
	// links that lose packets and on upstreams that fail a part of their requests.
	minSigns   = 3
	silentTime = 400 * time.Millisecond
	// memory is how long an upstream is remembered that is no longer listed, so that
	// one whose entry lapsed and came back isn't taken for new.
	memory = 10 * time.Minute
	// heardTime is how long an answer shows that an upstream isn't silent.
	heardTime = 3 * time.Second
	// toldLoss shortens what is told on after it was told. Without it, two routers
	// that each take the other for the owner would go on telling each other.
	toldLoss = 500 * time.Millisecond
)

// Tracker knows which upstreams are cold, as one router sees them. It is safe for
// concurrent use. Upstreams that were never given to Observe, and those of a service
// that has no bound on requests to cold upstreams, are never cold.
type Tracker struct {
	startedAt time.Time

	// coldBy is a time in Unix nanoseconds from which no upstream is cold, and failing
	// the number of upstreams with signs. They answer for a warm fleet without a lock:
	// the owner of a cell asks for each of its engines at each decision.
	coldBy  atomic.Int64
	failing atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*upstream
}

type upstream struct {
	service     string
	bounded     bool
	startMillis int64
	coldStart   time.Duration
	// announced is the last time that the entry stated, as of announcedAt.
	announced   time.Duration
	announcedAt time.Time
	evacuated   bool
	// inferredUntil is the end of a cold time that the router has concluded itself.
	inferredUntil time.Time
	// toldUntil is the end of a cold time that another router has told.
	toldUntil time.Time
	// signs is the number of failures since answeredAt, the first at failedAt.
	signs      int
	failedAt   time.Time
	answeredAt time.Time
	// lastFailedAt is when the last sign was recorded.
	lastFailedAt time.Time
	listedAt     time.Time
	// reported is whether the last call of Changes said that it is cold.
	reported bool
}

// Change is an upstream that became cold, or warm again.
type Change struct {
	ID, Service string
	// Cold is whether it is cold now; Left is for how long still. Silent is whether
	// it doesn't answer, and stays cold until Left after its next answer.
	Cold   bool
	Left   time.Duration
	Silent bool
}

// New returns a tracker that knows no upstreams.
func New(now time.Time) *Tracker {
	return &Tracker{startedAt: now, upstreams: map[string]*upstream{}}
}

// Observe applies the list of known upstreams. The function coldStart returns how
// long an upstream of a service stays cold after its start, and false if the requests
// to its cold upstreams aren't bounded. A list that repeats a former one changes nothing.
func (t *Tracker) Observe(now time.Time, list []rwinstance.Instance, coldStart func(service string) (time.Duration, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range list {
		d, bounded := coldStart(in.Service)
		u := t.upstreams[in.ID]
		switch {
		case u == nil:
			u = &upstream{startMillis: in.StartMillis, announced: in.Cold, announcedAt: now}
			t.upstreams[in.ID] = u
			if in.Cold == 0 && now.Sub(t.startedAt) >= learnTime {
				u.inferredUntil = now.Add(d)
			}
		case u.startMillis != in.StartMillis:
			t.setSigns(u, 0)
			*u = upstream{
				startMillis: in.StartMillis, announced: in.Cold, announcedAt: now, evacuated: u.evacuated, reported: u.reported,
				inferredUntil: u.inferredUntil, toldUntil: u.toldUntil,
			}
			if in.Cold == 0 {
				u.inferredUntil = later(u.inferredUntil, now.Add(d))
			}
		case u.announced != in.Cold:
			u.announced, u.announcedAt = in.Cold, now
		}
		if u.evacuated && !in.Evacuated {
			u.inferredUntil = later(u.inferredUntil, now.Add(d))
		}
		t.raise(u.until())
		u.service, u.bounded, u.coldStart, u.evacuated, u.listedAt = in.Service, bounded, d, in.Evacuated, now
	}
	for id, u := range t.upstreams {
		if now.Sub(u.listedAt) > memory {
			t.setSigns(u, 0)
			delete(t.upstreams, id)
		}
	}
}

// setSigns changes the number of signs of an upstream. The caller must hold the lock.
func (t *Tracker) setSigns(u *upstream, n int) {
	t.failing.Add(int64(min(n, 1) - min(u.signs, 1)))
	u.signs = n
}

// raise notes that an upstream is cold until a time. The caller must hold the lock.
func (t *Tracker) raise(until time.Time) {
	if n := until.UnixNano(); !until.IsZero() && n > t.coldBy.Load() {
		t.coldBy.Store(n)
	}
}

// allWarm reports whether no upstream is cold, silent or doubtful.
func (t *Tracker) allWarm(now time.Time) bool {
	return t.failing.Load() == 0 && now.UnixNano() >= t.coldBy.Load()
}

// Fail records a sign that an upstream doesn't answer: a connection that failed or
// broke, or a first event that is overdue.
func (t *Tracker) Fail(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	if u == nil || !u.bounded {
		return
	}
	if u.signs == 0 {
		u.failedAt = now
	}
	t.setSigns(u, u.signs+1)
	u.lastFailedAt = now
}

// Answer records that an upstream answered a request. One that was silent is cold
// from then on.
func (t *Tracker) Answer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	if u == nil {
		return
	}
	if u.silent(now) {
		u.inferredUntil = later(u.inferredUntil, now.Add(u.coldStart))
		t.raise(u.inferredUntil)
	}
	t.setSigns(u, 0)
	u.answeredAt = now
}

// Tell records that the owner of an upstream's cell takes it for cold for a time.
func (t *Tracker) Tell(now time.Time, id string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[id]; u != nil {
		u.toldUntil = later(u.toldUntil, now.Add(min(left, u.coldStart)))
		t.raise(u.toldUntil)
	}
}

// Heard reports whether an upstream answered a short time ago. One that isn't tracked
// counts as heard.
func (t *Tracker) Heard(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	return u == nil || !u.bounded || !u.answeredAt.IsZero() && now.Sub(u.answeredAt) < heardTime
}

// Doubtful reports whether the last sign of an upstream was a failure a short time ago.
func (t *Tracker) Doubtful(now time.Time, id string) bool {
	if t.failing.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	return u != nil && u.bounded && u.signs > 0 && now.Sub(u.lastFailedAt) < heardTime
}

// Cold reports whether an upstream is cold, or silent and so possibly cold when it
// answers again.
func (t *Tracker) Cold(now time.Time, id string) bool {
	if t.allWarm(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	return u != nil && u.bounded && (u.silent(now) || now.Before(u.until()) || now.Before(u.toldUntil))
}

// Announced reports whether an upstream is cold by the list of upstreams alone,
// without what its answers and failures say.
func (t *Tracker) Announced(now time.Time, id string) bool {
	if t.allWarm(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	return u != nil && u.bounded && now.Before(u.announcedAt.Add(u.announced))
}

// Tellable returns for how long upstreams of a service stay cold, by id, as other
// routers should know it, or nil if none is cold.
func (t *Tracker) Tellable(now time.Time, service string) map[string]time.Duration {
	if t.allWarm(now) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]time.Duration
	for id, u := range t.upstreams {
		left := max(u.until().Sub(now), u.toldUntil.Add(-toldLoss).Sub(now))
		if u.silent(now) {
			left = max(left, u.coldStart)
		}
		if !u.bounded || u.service != service || left <= 0 {
			continue
		}
		if out == nil {
			out = map[string]time.Duration{}
		}
		out[id] = left
	}
	return out
}

// All returns by id the upstreams that are cold by what this router knows itself.
func (t *Tracker) All(now time.Time) []Change {
	return t.list(now, func(_ *upstream, c Change) bool { return c.Cold })
}

// Changes returns the upstreams by id that became cold or warm since the last call.
func (t *Tracker) Changes(now time.Time) []Change {
	return t.list(now, func(u *upstream, c Change) bool {
		changed := u.reported != c.Cold
		u.reported = c.Cold
		return changed
	})
}

func (t *Tracker) list(now time.Time, include func(*upstream, Change) bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for id, u := range t.upstreams {
		c := Change{ID: id, Service: u.service, Silent: u.silent(now), Left: max(u.until().Sub(now), 0)}
		c.Cold = u.bounded && (c.Silent || c.Left > 0)
		if c.Silent {
			c.Left = max(c.Left, u.coldStart)
		}
		if include(u, c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (u *upstream) until() time.Time { return later(u.inferredUntil, u.announcedAt.Add(u.announced)) }

func (u *upstream) silent(now time.Time) bool {
	return u.signs >= minSigns && now.Sub(later(u.answeredAt, u.failedAt.Add(-silentTime/2))) >= silentTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
