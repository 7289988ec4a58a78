// Package rwqueue holds the requests that wait at their entry router. It
// bounds them, refuses early what can't be served in time, and gives each
// grant the best waiting request.
package rwqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrequest"
)

// Bounds of a queue. The total keeps a node within 256 MB at the largest
// bodies; the part of one account leaves room for the others.
const (
	MaxAccountCount = 1000
	MaxAccountBytes = 8 << 20
	MaxCount        = 20000
	MaxBytes        = 64 << 20
)

const (
	// rateMemory is the time constant of the measured drain rate.
	rateMemory = 5 * time.Second
	// lookahead is how many requests a preference may choose from, maxBypass
	// how often in a row the first one may be passed over: it waits for at
	// most that many grants of its own account more.
	lookahead = 16
	maxBypass = 4
	// topWeight is the weight of urgency 0; each further level has half.
	topWeight = 8
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is
	// told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	accounts map[string]*account
	// count and bytes are the sums over all accounts.
	count, bytes int
	// changed are the lines whose length changed since Changed was called.
	changed map[FlowKey]struct{}
}

// FlowKey names the waiting requests of one account and kind.
type FlowKey struct{ Account, Kind string }

type account struct {
	lines        map[string]*line
	count, bytes int
}

type line struct {
	pool    string
	urgency int
	hints   float64
	// items are ordered by deadline, then arrival.
	items []*rwrequest.Request
	// drained is the decaying count of requests that left with a slot, and
	// at the time of its last update; drained / rateMemory is the rate.
	drained float64
	at      time.Time
	since   time.Time
	// bypassed counts the takes in a row that left the first item waiting.
	bypassed int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{accounts: map[string]*account{}, changed: map[FlowKey]struct{}{}}
}

// Push adds a request. When the queue is full, the last request of the line
// that takes most room for its weight makes way, and is returned: the caller
// must refuse it. A flood of one kind or account therefore displaces itself
// and not the others. It fails with QueueFull, QueueBytes or
// DeadlineUnreachable and the time after which a retry is sensible.
func (q *Queue) Push(now time.Time, r *rwrequest.Request) (evicted []*rwrequest.Request, err error) {
	a := q.account(r.Account)
	l := a.line(r, now)
	if wait := l.wait(now); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return nil, rwfault.New(rwcode.DeadlineUnreachable, r.Kind).WithRetryAfter(clamp(wait))
	}
	for a.count >= MaxAccountCount || a.bytes+len(r.Body) > MaxAccountBytes {
		longest := a.longest()
		if longest == nil || longest == l {
			return evicted, a.refusal(now, l, r)
		}
		evicted = append(evicted, q.evict(longest))
	}
	for q.count >= MaxCount || q.bytes+len(r.Body) > MaxBytes {
		largest := q.largest()
		if largest == nil || largest == a {
			return evicted, rwfault.New(rwcode.QueueFull, "router").WithRetryAfter(clamp(l.wait(now)))
		}
		evicted = append(evicted, q.evict(largest.longest()))
	}
	q.insert(a, l, r)
	return evicted, nil
}

func (q *Queue) evict(l *line) *rwrequest.Request {
	last := l.items[len(l.items)-1]
	q.Cancel(last)
	return last
}

func (a *account) refusal(now time.Time, l *line, r *rwrequest.Request) error {
	code := rwcode.QueueFull
	if a.count < MaxAccountCount {
		code = rwcode.QueueBytes
	}
	return rwfault.New(code, r.Account).WithRetryAfter(clamp(l.wait(now)))
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{lines: map[string]*line{}}
		q.accounts[name] = a
	}
	return a
}

func (a *account) line(r *rwrequest.Request, now time.Time) *line {
	l := a.lines[r.Kind]
	if l == nil {
		l = &line{at: now, since: now}
		a.lines[r.Kind] = l
	}
	l.pool, l.urgency = r.Pool, r.Urgency
	return l
}

func (q *Queue) insert(a *account, l *line, r *rwrequest.Request) {
	i, _ := slices.BinarySearchFunc(l.items, r, compare)
	l.items = slices.Insert(l.items, i, r)
	l.hints += r.Hint
	q.add(a, r, 1)
}

func compare(a, b *rwrequest.Request) int {
	return cmp.Or(compareDeadline(a.Deadline, b.Deadline), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareDeadline orders no deadline after every deadline.
func compareDeadline(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

func (q *Queue) add(a *account, r *rwrequest.Request, n int) {
	a.count += n
	a.bytes += n * len(r.Body)
	q.count += n
	q.bytes += n * len(r.Body)
	q.changed[FlowKey{r.Account, r.Kind}] = struct{}{}
}

// Cancel removes a request and reports whether it was waiting.
func (q *Queue) Cancel(r *rwrequest.Request) bool {
	a := q.accounts[r.Account]
	if a == nil || a.lines[r.Kind] == nil {
		return false
	}
	l := a.lines[r.Kind]
	i, found := slices.BinarySearchFunc(l.items, r, compare)
	if !found {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	l.hints -= r.Hint
	q.add(a, r, -1)
	return true
}

// Take removes and returns the request that a grant for the account and kind
// should run: the first of the kind, or of the account's most urgent other
// kind that runs in one of the pools. Among the first few, one that the
// function prefers goes before the others; it may be nil. The choice is inside
// the account's own share, so that it takes nothing from other accounts.
func (q *Queue) Take(now time.Time, account, kind string, pools []string, prefer func(*rwrequest.Request) bool) *rwrequest.Request {
	a := q.accounts[account]
	if a == nil {
		return nil
	}
	l := a.lines[kind]
	if l == nil || len(l.items) == 0 {
		l = a.urgent(pools)
	}
	if l == nil {
		return nil
	}
	r := l.pick(prefer)
	q.Cancel(r)
	l.drain(now)
	return r
}

func (l *line) pick(prefer func(*rwrequest.Request) bool) *rwrequest.Request {
	first := l.items[0]
	if prefer == nil || l.bypassed >= maxBypass {
		l.bypassed = 0
		return first
	}
	for _, r := range l.items[:min(lookahead, len(l.items))] {
		if !r.Deadline.Equal(first.Deadline) && !first.Deadline.IsZero() {
			break // an earlier deadline goes before a preference
		}
		if prefer(r) {
			if r != first {
				l.bypassed++
			}
			return r
		}
	}
	l.bypassed = 0
	return first
}

func (a *account) urgent(pools []string) *line {
	var best *line
	for _, l := range a.lines {
		if len(l.items) == 0 || !slices.Contains(pools, l.pool) {
			continue
		}
		if best == nil || l.urgency < best.urgency ||
			l.urgency == best.urgency && compare(l.items[0], best.items[0]) < 0 {
			best = l
		}
	}
	return best
}

// longest returns the line with the most requests for its weight, or nil.
func (a *account) longest() *line {
	var out *line
	for _, l := range a.lines {
		if len(l.items) > 0 && (out == nil || l.load() > out.load()) {
			out = l
		}
	}
	return out
}

// load is the length of a line over the weight of its urgency: 8, 4, 2, 1.
func (l *line) load() float64 {
	return float64(len(l.items)) / float64(int(topWeight)>>l.urgency)
}

func (q *Queue) largest() *account {
	var out *account
	for _, a := range q.accounts {
		if a.count > 0 && (out == nil || a.bytes > out.bytes) {
			out = a
		}
	}
	return out
}

func (l *line) drain(now time.Time) {
	l.decay(now)
	l.drained++
}

func (l *line) decay(now time.Time) {
	l.drained *= math.Exp(-float64(now.Sub(l.at)) / float64(rateMemory))
	l.at = now
}

// wait estimates how long a new request would wait, from the rate at which the
// requests of the line got slots. It is zero while too little was seen.
func (l *line) wait(now time.Time) time.Duration {
	l.decay(now)
	seen := min(now.Sub(l.since), rateMemory)
	if l.drained < 1 || seen < time.Second {
		return 0
	}
	perSecond := l.drained / seen.Seconds()
	return time.Duration(float64(len(l.items)) / perSecond * float64(time.Second))
}

// Length returns the number of waiting requests of a line and the mean of
// their hints.
func (q *Queue) Length(l FlowKey) (count int, hint float64) {
	a := q.accounts[l.Account]
	if a == nil || a.lines[l.Kind] == nil {
		return 0, 0
	}
	w := a.lines[l.Kind]
	count = len(w.items)
	if count > 0 {
		hint = max(w.hints, 0) / float64(count)
	}
	return count, hint
}

// Pool returns the pool of a line that has had requests.
func (q *Queue) Pool(l FlowKey) string {
	a := q.accounts[l.Account]
	if a == nil || a.lines[l.Kind] == nil {
		return ""
	}
	return a.lines[l.Kind].pool
}

// Changed returns the lines whose length changed since the last call.
func (q *Queue) Changed() []FlowKey {
	out := make([]FlowKey, 0, len(q.changed))
	for l := range q.changed {
		out = append(out, l)
	}
	clear(q.changed)
	slices.SortFunc(out, func(a, b FlowKey) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// Count is the number of waiting requests, Bytes the size of their bodies.
func (q *Queue) Count() int { return q.count }

// Bytes is the size of the bodies of the waiting requests.
func (q *Queue) Bytes() int { return q.bytes }
