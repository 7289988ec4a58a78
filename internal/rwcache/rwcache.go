// Package rwcache estimates which prompt parts an engine has in its KV cache,
// from the requests that were sent to it. The package reads no clock.
package rwcache

import (
	"container/list"
	"time"

	"redwingworks.example/internal/rwprompt"
)

// Cache models the cache of one engine as an LRU list of prompt parts. It is
// not safe for concurrent use.
type Cache struct {
	// capacity is the size in tokens; used is how many of them the parts take.
	capacity, used int
	lru            *list.List
	parts          map[string]*list.Element
	// evicted is whether the cache has been full.
	evicted bool
}

// cachedPart is an element of the list.
type cachedPart struct {
	rwprompt.Part
	usedAt time.Time
}

// New returns an empty cache with a capacity in tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, lru: list.New(), parts: map[string]*list.Element{}}
}

// CachedTokens returns the number of leading tokens of the prompt that need no
// prefill: a part counts only if all parts before it are cached too.
func (c *Cache) CachedTokens(parts []rwprompt.Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// Use records that a request with these parts is sent to the engine.
func (c *Cache) Use(now time.Time, parts []rwprompt.Part) {
	// The back of the list is evicted first. Leading parts are shared by more
	// prompts, so they are moved to the front last.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			e.Value = cachedPart{p, now}
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(cachedPart{p, now})
		c.used += p.Tokens
	}
	c.evict()
}

// Resize changes the capacity in tokens.
func (c *Cache) Resize(capacity int) {
	c.capacity = capacity
	c.evict()
}

// NextEvicted returns when the part was last used that makes room for the next new
// one, and false while the cache has never been full.
func (c *Cache) NextEvicted() (time.Time, bool) {
	last := c.lru.Back()
	if last == nil || !c.evicted {
		return time.Time{}, false
	}
	return last.Value.(cachedPart).usedAt, true
}

func (c *Cache) evict() {
	for c.used > c.capacity && c.lru.Len() > 0 {
		c.evicted = true
		c.remove(c.lru.Back())
	}
}

func (c *Cache) remove(e *list.Element) {
	p := c.lru.Remove(e).(cachedPart)
	delete(c.parts, p.ID)
	c.used -= p.Tokens
}
