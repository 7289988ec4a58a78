package rwheap_test

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwheap"
)

// A fixed seed makes the result the same on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

type item struct{ key, position int }

// Guards against a wrong order or position after items in the middle of the heap
// were changed or removed.
func TestHeapAgreesWithSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &rwheap.Heap[*item]{
			Less:  func(a, b *item) bool { return a.key < b.key },
			Moved: func(i *item, p int) { i.position = p },
		}
		var model []*item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			op := rapid.IntRange(0, 3).Draw(t, "op")
			if op < 2 || len(model) == 0 {
				i := &item{key: key}
				h.Push(i)
				model = append(model, i)
			} else {
				at := rapid.IntRange(0, len(model)-1).Draw(t, "at")
				i := model[at]
				if op == 2 {
					i.key = key
					h.Fix(i.position)
				} else {
					h.Remove(i.position)
					require.Equal(t, -1, i.position)
					model = slices.Delete(model, at, at+1)
				}
			}
			require.Equal(t, len(model), h.Len())
			if len(model) > 0 {
				least := slices.MinFunc(model, func(a, b *item) int { return a.key - b.key })
				require.Equal(t, least.key, h.Top().key)
			}
		}
	})
}
