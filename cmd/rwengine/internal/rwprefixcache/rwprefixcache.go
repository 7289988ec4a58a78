// Package rwprefixcache provides the bounded LRU cache of prompt prefixes of an
// engine. It stores only hashes of the prefixes.
package rwprefixcache

import (
	"container/list"
	"hash/fnv"
)

// Cache holds the most recently used prefixes. It is not safe for concurrent use.
type Cache struct {
	// Hits and Misses count lookups.
	Hits, Misses int

	limit int
	order *list.List
	items map[uint64]*list.Element
}

// New returns a cache for at most limit prefixes.
func New(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), items: map[uint64]*list.Element{}}
}

// Use marks a prefix as the most recently used, adds it if it is missing, and
// reports whether it was in the cache.
func (c *Cache) Use(prefix string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prefix))
	key := h.Sum64()
	if e, ok := c.items[key]; ok {
		c.order.MoveToFront(e)
		c.Hits++
		return true
	}
	c.Misses++
	if c.limit < 1 {
		return false
	}
	if c.order.Len() == c.limit {
		oldest := c.order.Back()
		delete(c.items, c.order.Remove(oldest).(uint64))
	}
	c.items[key] = c.order.PushFront(key)
	return false
}
