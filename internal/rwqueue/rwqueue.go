// Package rwqueue holds the requests that wait at their entry router. It bounds
// their number and size, refuses requests whose deadline can't be met, and
// selects the request that a grant should run.
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

// Bounds of a queue. The total keeps a node within 256 MB even with the largest
// bodies. The bounds for one account leave room for the others.
const (
	MaxAccountCount = 1000
	MaxAccountBytes = 8 << 20
	MaxCount        = 20000
	MaxBytes        = 64 << 20
)

const (
	// drainRateTimeConstant is the time constant of the average drain rate.
	drainRateTimeConstant = 5 * time.Second
	// lookahead is the number of requests at the head of a flow among which
	// Take looks for a preferred one. maxBypass is how often in a row it may
	// bypass the first one, which thus waits for at most that many more grants.
	lookahead = 16
	maxBypass = 4
	// maxWeight is the weight of urgency 0. Each further urgency has half the
	// weight of the one before.
	maxWeight = 8
	// minRetryAfter and maxRetryAfter bound the retry delay sent to callers
	// whose requests are refused.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	accounts map[string]*account
	// count and bytes are the sums over all accounts.
	count, bytes int
	// changed are the flows whose length changed since the last call of Changed.
	changed map[FlowKey]struct{}
}

// FlowKey identifies a flow: the requests of one account and kind.
type FlowKey struct{ Account, Kind string }

type account struct {
	flows        map[string]*flow
	count, bytes int
}

type flow struct {
	pool    string
	urgency int
	hintSum float64
	// items are ordered by deadline, then arrival.
	items []*rwrequest.Request
	// drained is an exponentially decaying count of the requests that got a
	// slot, as of decayedAt. Divided by drainRateTimeConstant, or by the age of
	// the flow if that is less, it gives the drain rate.
	drained   float64
	decayedAt time.Time
	createdAt time.Time
	// bypassed is how often a first item was bypassed since one was last taken
	// for another reason than that it was preferred.
	bypassed int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{accounts: map[string]*account{}, changed: map[FlowKey]struct{}{}}
}

// Push adds a request. If the account's part of the queue is full, it evicts
// the last request of the account's flow with the most requests for its weight,
// or fails if that is the flow of the new request. If the queue as a whole is
// full, it does so in the account whose bodies take the most bytes, or fails if
// that is the account of the new request. Excess requests of one kind or account
// therefore take no place from those of others. The caller must refuse the
// evicted requests, also if Push fails. Push fails with QueueFull, QueueBytes or
// DeadlineUnreachable and a retry delay.
func (q *Queue) Push(now time.Time, r *rwrequest.Request) (evicted []*rwrequest.Request, err error) {
	a := q.account(r.Account)
	f := a.flow(r, now)
	if wait := f.estimateWait(now); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return nil, rwfault.New(rwcode.DeadlineUnreachable, r.Kind).WithRetryAfter(clampRetryAfter(wait))
	}
	for a.count >= MaxAccountCount || a.bytes+len(r.Body) > MaxAccountBytes {
		heaviest := a.heaviest()
		if heaviest == nil || heaviest == f {
			return evicted, a.fullError(now, f, r)
		}
		evicted = append(evicted, q.evict(heaviest))
	}
	for q.count >= MaxCount || q.bytes+len(r.Body) > MaxBytes {
		largest := q.largestAccount()
		if largest == nil || largest == a {
			return evicted, rwfault.New(rwcode.QueueFull, "router").WithRetryAfter(clampRetryAfter(f.estimateWait(now)))
		}
		evicted = append(evicted, q.evict(largest.heaviest()))
	}
	q.insert(a, f, r)
	return evicted, nil
}

// evict removes and returns the last request of a flow.
func (q *Queue) evict(f *flow) *rwrequest.Request {
	last := f.items[len(f.items)-1]
	q.Cancel(last)
	return last
}

func (a *account) fullError(now time.Time, f *flow, r *rwrequest.Request) error {
	code := rwcode.QueueFull
	if a.count < MaxAccountCount {
		code = rwcode.QueueBytes
	}
	return rwfault.New(code, r.Account).WithRetryAfter(clampRetryAfter(f.estimateWait(now)))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{flows: map[string]*flow{}}
		q.accounts[name] = a
	}
	return a
}

func (a *account) flow(r *rwrequest.Request, now time.Time) *flow {
	f := a.flows[r.Kind]
	if f == nil {
		f = &flow{decayedAt: now, createdAt: now}
		a.flows[r.Kind] = f
	}
	f.pool, f.urgency = r.Pool, r.Urgency
	return f
}

func (q *Queue) insert(a *account, f *flow, r *rwrequest.Request) {
	i, _ := slices.BinarySearchFunc(f.items, r, compare)
	f.items = slices.Insert(f.items, i, r)
	f.hintSum += r.Hint
	q.add(a, r, 1)
}

func compare(a, b *rwrequest.Request) int {
	return cmp.Or(compareDeadline(a.Deadline, b.Deadline), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareDeadline orders the zero time, which means no deadline, last.
func compareDeadline(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

// add updates the counts for n requests like r.
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
	if a == nil || a.flows[r.Kind] == nil {
		return false
	}
	f := a.flows[r.Kind]
	i, found := slices.BinarySearchFunc(f.items, r, compare)
	if !found {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	f.hintSum -= r.Hint
	q.add(a, r, -1)
	return true
}

// Take removes and returns the request that a grant for the account and kind
// should run: the first of that kind or, if there is none, of the account's most
// urgent other kind that runs in one of the pools. Among the first few requests,
// it selects one for which prefer, which may be nil, returns true. The request
// is always one of the same account, so this affects no other account's share.
func (q *Queue) Take(now time.Time, account, kind string, pools []string, prefer func(*rwrequest.Request) bool) *rwrequest.Request {
	a := q.accounts[account]
	if a == nil {
		return nil
	}
	f := a.flows[kind]
	if f == nil || len(f.items) == 0 {
		f = a.mostUrgent(pools)
	}
	if f == nil {
		return nil
	}
	r := f.pick(prefer)
	q.Cancel(r)
	f.countDrained(now)
	return r
}

// pick returns the first request of a flow, or a preferred one near the first.
func (f *flow) pick(prefer func(*rwrequest.Request) bool) *rwrequest.Request {
	first := f.items[0]
	if prefer == nil || f.bypassed >= maxBypass {
		f.bypassed = 0
		return first
	}
	for _, r := range f.items[:min(lookahead, len(f.items))] {
		if !r.Deadline.Equal(first.Deadline) && !first.Deadline.IsZero() {
			break // never bypass an earlier deadline
		}
		if prefer(r) {
			if r != first {
				f.bypassed++
			}
			return r
		}
	}
	f.bypassed = 0
	return first
}

// mostUrgent returns the most urgent flow with requests for one of the pools, or
// nil.
func (a *account) mostUrgent(pools []string) *flow {
	var best *flow
	for _, f := range a.flows {
		if len(f.items) == 0 || !slices.Contains(pools, f.pool) {
			continue
		}
		if best == nil || f.urgency < best.urgency ||
			f.urgency == best.urgency && compare(f.items[0], best.items[0]) < 0 {
			best = f
		}
	}
	return best
}

// heaviest returns the flow with the largest weighted length, or nil.
func (a *account) heaviest() *flow {
	var out *flow
	for _, f := range a.flows {
		if len(f.items) > 0 && (out == nil || f.weightedLength() > out.weightedLength()) {
			out = f
		}
	}
	return out
}

// weightedLength is the length of a flow divided by the weight of its urgency: 8,
// 4, 2 or 1.
func (f *flow) weightedLength() float64 {
	return float64(len(f.items)) / float64(int(maxWeight)>>f.urgency)
}

// largestAccount returns the account with the most bytes of bodies, or nil.
func (q *Queue) largestAccount() *account {
	var out *account
	for _, a := range q.accounts {
		if a.count > 0 && (out == nil || a.bytes > out.bytes) {
			out = a
		}
	}
	return out
}

func (f *flow) countDrained(now time.Time) {
	f.decay(now)
	f.drained++
}

func (f *flow) decay(now time.Time) {
	f.drained *= math.Exp(-float64(now.Sub(f.decayedAt)) / float64(drainRateTimeConstant))
	f.decayedAt = now
}

// estimateWait estimates how long a new request would wait, from the rate at
// which requests of the flow got slots. It returns zero while too few got one,
// or the flow is younger than a second.
func (f *flow) estimateWait(now time.Time) time.Duration {
	f.decay(now)
	window := min(now.Sub(f.createdAt), drainRateTimeConstant)
	if f.drained < 1 || window < time.Second {
		return 0
	}
	perSecond := f.drained / window.Seconds()
	return time.Duration(float64(len(f.items)) / perSecond * float64(time.Second))
}

// Length returns the number of waiting requests of a flow and the mean of
// their hints.
func (q *Queue) Length(k FlowKey) (count int, hint float64) {
	a := q.accounts[k.Account]
	if a == nil || a.flows[k.Kind] == nil {
		return 0, 0
	}
	f := a.flows[k.Kind]
	count = len(f.items)
	if count > 0 {
		hint = max(f.hintSum, 0) / float64(count)
	}
	return count, hint
}

// Pool returns the pool of a flow, or "" if the flow never had a request.
func (q *Queue) Pool(k FlowKey) string {
	a := q.accounts[k.Account]
	if a == nil || a.flows[k.Kind] == nil {
		return ""
	}
	return a.flows[k.Kind].pool
}

// Changed returns the flows whose length changed since the last call.
func (q *Queue) Changed() []FlowKey {
	out := make([]FlowKey, 0, len(q.changed))
	for k := range q.changed {
		out = append(out, k)
	}
	clear(q.changed)
	slices.SortFunc(out, func(a, b FlowKey) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// Count is the number of waiting requests.
func (q *Queue) Count() int { return q.count }

// Bytes is the size of the bodies of the waiting requests.
func (q *Queue) Bytes() int { return q.bytes }
