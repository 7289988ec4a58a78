// Package rwcache estimates which prompt parts an engine has in its KV cache,
// from the requests that were sent to it.
package rwcache

import (
	"container/list"

	"redwingworks.example/internal/rwprompt"
)

// Cache models the cache of one engine as an LRU list of prompt parts. It is
// not safe for concurrent use.
type Cache struct {
	// capacity is the size in tokens; used is how many of them the parts take.
	capacity, used int
	lru            *list.List
	parts          map[string]*list.Element
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

// Use records that a request with these parts runs on the engine.
func (c *Cache) Use(parts []rwprompt.Part) {
	// The back of the list is evicted first. Leading parts are shared by more
	// prompts, so they are moved to the front last.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
	}
	c.evict()
}

// Resize changes the capacity in tokens.
func (c *Cache) Resize(capacity int) {
	c.capacity = capacity
	c.evict()
}

func (c *Cache) evict() {
	for c.used > c.capacity && c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

func (c *Cache) remove(e *list.Element) {
	p := c.lru.Remove(e).(rwprompt.Part)
	delete(c.parts, p.ID)
	c.used -= p.Tokens
}
