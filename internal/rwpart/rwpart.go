// Package rwpart cuts items into parts, so that a value of any size reaches another
// router in messages of bounded size. The sender keeps nothing between two messages:
// the receiver says at which position it goes on. The package reads no clock and does
// no I/O.
package rwpart

import (
	"cmp"
	"slices"

	"redwingworks.example/internal/rwitem"
)

// itemBytes is what an item counts towards the size of a message in addition to its
// key and value.
const itemBytes = 100

// Part is an item with all or a part of its encoded value.
type Part struct {
	rwitem.Item
	// Offset is where Value begins in the encoded value, whose length is Size.
	Offset int `json:"at,omitempty"`
	Size   int `json:"size,omitempty"`
	// Deflated is whether the encoded value is compressed.
	Deflated bool `json:"z,omitempty"`
}

// Position is where a receiver goes on: at an offset of an item's encoded value. The
// zero Position is before all items.
type Position struct {
	Key    string `json:"key,omitempty"`
	Era    int64  `json:"era,omitempty"`
	Rev    int64  `json:"rev,omitempty"`
	Offset int    `json:"at,omitempty"`
}

func (p Position) compare(it rwitem.Item) int {
	return cmp.Or(cmp.Compare(it.Key, p.Key), cmp.Compare(it.Era, p.Era), cmp.Compare(it.Rev, p.Rev))
}

// Encode returns the encoded value of an item, and whether it is compressed. The
// result is the same each time.
type Encode func(rwitem.Item) (value []byte, deflated bool)

// Cut returns parts of about limit bytes, at least one byte of a value each, from a
// position on, and the position after them. It reports whether nothing follows. If the
// item of the position was replaced meanwhile, the later one is sent from its
// beginning. The items are sorted by key and revision.
func Cut(items []rwitem.Item, from Position, limit int, encode Encode) (parts []Part, next Position, done bool) {
	i, found := slices.BinarySearchFunc(items, from, func(it rwitem.Item, p Position) int { return p.compare(it) })
	offset := 0
	if found {
		offset = from.Offset
	}
	next = from
	for ; i < len(items); i++ {
		it := items[i]
		value, deflated := encode(it)
		offset = min(max(offset, 0), len(value))
		room := limit - itemBytes - len(it.Key)
		if len(parts) > 0 && room < min(len(value)-offset, limit/4) {
			return parts, Position{it.Key, it.Era, it.Rev, offset}, false
		}
		end := min(len(value), offset+max(room, 1))
		p := Part{Item: it, Offset: offset, Size: len(value), Deflated: deflated}
		p.Value = value[offset:end]
		parts = append(parts, p)
		limit -= itemBytes + len(it.Key) + end - offset
		if end < len(value) {
			return parts, Position{it.Key, it.Era, it.Rev, end}, false
		}
		// Offset 0 of the next item: no item has this revision plus one and the same
		// key, so that the position lies between both.
		next = Position{it.Key, it.Era, it.Rev + 1, 0}
		offset = 0
	}
	return parts, next, true
}
