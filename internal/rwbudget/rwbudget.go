// Package rwbudget shares one amount of memory among what callers make a router hold:
// heads and bodies of requests, and responses. It decides who gets memory and who has to
// give it up, and does nothing else.
//
// The load it answers: many callers send large bodies at once, most stop just short of
// their end and stay, or ask for large responses and don't read them, and ordinary
// requests come beside them.
package rwbudget

import (
	"container/list"
	"maps"
	"sync"
	"time"
)

// StallTime is how long a claim must have made no progress until others may take its
// memory. ProgressBytes is how much of a body has to arrive to count as progress: a
// caller that sends single bytes would otherwise never stall.
const (
	StallTime     = time.Second
	ProgressBytes = 4 << 10
)

// SmallBytes is the size up to which a claim may use the reserve of a budget.
const SmallBytes = 32 << 10

// Budget is an amount of memory in bytes. Its methods may be called concurrently, also
// those of a nil Budget, which has no bound.
type Budget struct {
	total int64
	// reserve is the part of total that claims of more than SmallBytes can't take.
	reserve int64

	mu   sync.Mutex
	used int64
	// held is used by kind of holder; the sum of its values is used.
	held map[string]int64
	// open holds the claims that may lose their memory, the one whose last progress is
	// longest ago first.
	open *list.List
	// evicted is the number of claims that have lost their memory.
	evicted int64
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget {
	return &Budget{total: total, held: map[string]int64{}, open: list.New()}
}

// NewWithReserve returns a budget of a number of bytes, of which only claims of up to
// SmallBytes may take the last reserve bytes.
func NewWithReserve(total, reserve int64) *Budget {
	b := New(total)
	b.reserve = reserve
	return b
}

// Claim is what one holder has of a budget. The methods of a nil Claim, of a nil
// Budget, grant everything.
type Claim struct {
	budget *Budget
	kind   string
	// free is how many bytes the holder has beside the budget.
	free int64

	// The budget's lock guards the following fields. Evict doesn't change once the claim
	// is lost.
	evict    func()
	size     int64
	progress time.Time
	// group is the group of holders to which the claim belongs, or empty.
	group string
	// received is the number of bytes that have arrived since the last progress.
	received int64
	// place is the claim's place in the list of open claims, or nil if it is pinned or
	// has ended.
	place *list.Element
	// lost is whether the claim has lost its memory to others.
	lost bool
}

// Open returns a claim without memory for a kind of holder. Its first free bytes don't
// count. Evict is called at most once, without a lock, if the claim loses its memory; the
// holder must then give up at once what it holds.
func (b *Budget) Open(now time.Time, kind string, free int64, evict func()) *Claim {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Claim{budget: b, kind: kind, free: free, evict: evict, progress: now}
	c.place = b.open.PushBack(c)
	return c
}

// Grow takes n more bytes, or returns -n, and counts as progress. If the budget is short,
// claims without progress for StallTime lose theirs, those without for longest first. It
// reports false and takes nothing if that isn't enough, or if the claim has lost its own.
func (c *Claim) Grow(now time.Time, n int64) bool {
	if c == nil {
		return true
	}
	b := c.budget
	b.mu.Lock()
	if c.lost {
		b.mu.Unlock()
		return false
	}
	more := max(c.size+n-c.free, 0) - c.counted()
	stalled, ok := b.makeRoom(now, c, n, more)
	if ok {
		for _, s := range stalled {
			b.drop(s)
		}
		c.size += n
		b.add(c.kind, more)
		c.moveBack(now)
	}
	b.mu.Unlock()
	if ok {
		for _, s := range stalled {
			s.evict()
		}
	}
	return ok
}

// Progress records that the holder's caller goes on.
func (c *Claim) Progress(now time.Time) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.moveBack(now)
}

// Receive records that n bytes have arrived from the holder's caller.
func (c *Claim) Receive(now time.Time, n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.received += n
	if c.received >= ProgressBytes {
		c.moveBack(now)
	}
}

// Pin keeps the memory from now on: what the claim holds is complete, and its caller
// waits for the router. It reports false if the memory was lost before.
func (c *Claim) Pin() bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.leave()
	return !c.lost
}

// Unpin lets others take the memory again if its caller makes no progress from now on.
// Evict takes the place of the function that Open got.
func (c *Claim) Unpin(now time.Time, evict func()) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.lost || c.place != nil {
		return
	}
	c.evict, c.progress = evict, now
	c.place = c.budget.open.PushBack(c)
}

// Close returns all memory of the claim, which must not be used any more.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.add(c.kind, -c.counted())
	c.size = 0
	c.leave()
}

// Join makes the claim a part of a group of holders.
func (c *Claim) Join(group string) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.group = group
}

// EvictStalled takes the memory of the claim whose last progress is longest ago, if that
// was before StallTime, and reports whether there was one.
func (b *Budget) EvictStalled(now time.Time) bool {
	return b.evictStalled(now, func(*Claim) bool { return true })
}

// EvictStalledOf is EvictStalled among the claims of a group.
func (b *Budget) EvictStalledOf(now time.Time, group string) bool {
	return b.evictStalled(now, func(c *Claim) bool { return c.group == group })
}

func (b *Budget) evictStalled(now time.Time, matches func(*Claim) bool) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	c := b.firstStalled(now, matches)
	if c != nil {
		b.drop(c)
	}
	b.mu.Unlock()
	if c == nil {
		return false
	}
	c.evict()
	return true
}

// firstStalled returns the first stalled claim that matches, or nil. The caller must hold
// the lock.
func (b *Budget) firstStalled(now time.Time, matches func(*Claim) bool) *Claim {
	for e := b.open.Front(); e != nil; e = e.Next() {
		c, _ := e.Value.(*Claim)
		if !c.hasStalled(now) {
			return nil
		}
		if matches(c) {
			return c
		}
	}
	return nil
}

// Held returns the bytes in use by kind of holder, and how many claims have lost their
// memory since the start.
func (b *Budget) Held() (bytes map[string]int64, evicted int64) {
	if b == nil {
		return nil, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.held), b.evicted
}

// makeRoom returns the stalled claims other than c that have to lose their memory so
// that c can grow by n bytes, of which more count, and whether they fit then. The caller
// must hold the lock.
func (b *Budget) makeRoom(now time.Time, c *Claim, n, more int64) ([]*Claim, bool) {
	limit := b.total
	if c.size+n > SmallBytes {
		limit -= b.reserve
	}
	short := b.used + more - limit
	if more <= 0 || short <= 0 {
		return nil, true
	}
	var stalled []*Claim
	for e := b.open.Front(); e != nil && short > 0; e = e.Next() {
		other, _ := e.Value.(*Claim)
		if !other.hasStalled(now) {
			break
		}
		if n := other.counted(); other != c && n > 0 {
			stalled = append(stalled, other)
			short -= n
		}
	}
	return stalled, short <= 0
}

// drop takes the memory of a claim. The caller must hold the lock.
func (b *Budget) drop(c *Claim) {
	b.add(c.kind, -c.counted())
	c.size, c.lost = 0, true
	c.leave()
	b.evicted++
}

func (b *Budget) add(kind string, n int64) {
	b.used += n
	b.held[kind] += n
}

// counted returns the bytes of the claim that count. The caller must hold the lock.
func (c *Claim) counted() int64 { return max(c.size-c.free, 0) }

func (c *Claim) hasStalled(now time.Time) bool { return now.Sub(c.progress) >= StallTime }

func (c *Claim) moveBack(now time.Time) {
	c.progress, c.received = now, 0
	if c.place != nil {
		c.budget.open.MoveToBack(c.place)
	}
}

func (c *Claim) leave() {
	if c.place != nil {
		c.budget.open.Remove(c.place)
		c.place = nil
	}
}
