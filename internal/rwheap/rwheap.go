// Package rwheap implements a binary heap that reports the positions of its
// items, so that any item can be moved or removed in logarithmic time.
package rwheap

// Heap is a min-heap. It is not safe for concurrent use.
type Heap[T any] struct {
	// Less is a strict weak order of the items.
	Less func(a, b T) bool
	// Moved is called with the new position of an item, -1 when it is removed.
	Moved func(item T, position int)

	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least item. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// Remove removes the item at a position.
func (h *Heap[T]) Remove(position int) {
	item, last := h.items[position], len(h.items)-1
	h.items[position] = h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if position < last {
		h.Fix(position)
	}
	h.Moved(item, -1)
}

// Fix restores the order after the item at a position changed.
func (h *Heap[T]) Fix(position int) {
	if h.up(position) == position {
		h.down(position)
	}
}

func (h *Heap[T]) up(i int) int {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(item, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, item)
	return i
}

func (h *Heap[T]) down(i int) {
	item := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], item) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, item)
}

func (h *Heap[T]) set(i int, item T) {
	h.items[i] = item
	h.Moved(item, i)
}
