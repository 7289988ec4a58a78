// Package rwcache estimates which prompt parts an engine keeps in its KV
// cache, from the requests that were sent to it.
package rwcache

import (
	"container/list"

	"redwingworks.example/internal/rwprompt"
)

// Cache is the estimate for one engine: a least-recently-used list of parts.
// It is not safe for concurrent use.
type Cache struct {
	// capacity is the size in tokens, held what the parts take.
	capacity, used int
	lru            *list.List
	parts          map[string]*list.Element
}

// New returns an empty cache with room for a number of tokens.
func New(room int) *Cache {
	return &Cache{capacity: room, lru: list.New(), parts: map[string]*list.Element{}}
}

// CachedTokens is the number of leading tokens of the prompt that need no prefill: a
// part counts only if all parts before it are kept too.
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

// Use notes that a request with these parts runs on the engine.
func (c *Cache) Use(parts []rwprompt.Part) {
	// The front of the list yields last. Leading parts are used by more
	// prompts, so they are moved there after the others.
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

// Resize changes the size in tokens.
func (c *Cache) Resize(room int) {
	c.capacity = room
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
