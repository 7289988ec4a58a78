package rwassembly

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/klauspost/compress/flate"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwpart"
)

func deflate(t *testing.T, data []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(data)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return out.Bytes()
}

// Guards against items that are lost, doubled or changed, or messages beyond the
// limit, when items of any size are cut and put together, and when they are replaced,
// removed and added between two messages.
func TestPartsMakeTheItems(t *testing.T) {
	const limit = 2000
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		rev := int64(0)
		var items []rwitem.Item
		write := func(key string) {
			rev++
			items = slices.DeleteFunc(items, func(it rwitem.Item) bool { return it.Key == key && r.IntN(3) > 0 })
			value := make([]byte, r.IntN(5)*r.IntN(2000))
			for i := range value {
				value[i] = byte(r.IntN(3))
			}
			items = append(items, rwitem.Item{Key: key, Value: value, Rev: rev, Deleted: len(value) == 0})
			slices.SortFunc(items, func(a, b rwitem.Item) int {
				if c := strings.Compare(a.Key, b.Key); c != 0 {
					return c
				}
				return int(a.Rev - b.Rev)
			})
		}
		for range r.IntN(12) {
			write("k" + strconv.Itoa(r.IntN(8)))
		}
		first, changing := slices.Clone(items), seed%2 == 0
		encode := func(it rwitem.Item) ([]byte, bool) {
			if len(it.Value) > 3000 {
				return deflate(t, it.Value), true
			}
			return it.Value, false
		}
		var a Assembly
		var from rwpart.Position
		for messages := 0; ; messages++ {
			require.Less(t, messages, 500, "no end")
			parts, next, done := rwpart.Cut(items, from, limit, encode)
			size := 0
			for _, p := range parts {
				size += len(p.Key) + len(p.Value)
			}
			require.LessOrEqual(t, size, limit)
			require.NoError(t, a.Add(parts), "seed %d", seed)
			if done {
				break
			}
			from = next
			if changing && r.IntN(2) == 0 && messages < 20 {
				write("k" + strconv.Itoa(r.IntN(8)))
			}
		}
		got := map[string]rwitem.Item{}
		for _, it := range a.Items() {
			got[it.Key+"@"+strconv.FormatInt(it.Rev, 10)] = it
		}
		require.Len(t, got, len(a.Items()), "an item came twice")
		for _, it := range first {
			if !slices.ContainsFunc(items, func(now rwitem.Item) bool { return now.Key == it.Key && now.Rev == it.Rev }) {
				continue
			}
			have, ok := got[it.Key+"@"+strconv.FormatInt(it.Rev, 10)]
			require.True(t, ok, "seed %d: %s at %d is missing", seed, it.Key, it.Rev)
			require.True(t, bytes.Equal(it.Value, have.Value))
			require.Equal(t, it.Deleted, have.Deleted)
		}
	}
}

// Guards against a peer that makes a router allocate without bound, and against a
// value that is put together from parts of two.
func TestOddParts(t *testing.T) {
	part := func(key string, rev int64, offset, size int, value string) rwpart.Part {
		return rwpart.Part{Item: rwitem.Item{Key: key, Rev: rev, Value: []byte(value)}, Offset: offset, Size: size}
	}
	bomb := deflate(t, make([]byte, maxValue+1))
	for name, c := range map[string]struct {
		parts []rwpart.Part
		code  rwcode.Code
	}{
		"too long":        {[]rwpart.Part{part("a", 1, 0, maxValue+1, "")}, rwcode.PeerSize},
		"negative":        {[]rwpart.Part{part("a", 1, 0, -1, "")}, rwcode.PeerSize},
		"no beginning":    {[]rwpart.Part{part("a", 1, 3, 6, "def")}, rwcode.PeerMalformed},
		"gap":             {[]rwpart.Part{part("a", 1, 0, 9, "abc"), part("a", 1, 6, 9, "ghi")}, rwcode.PeerMalformed},
		"other revision":  {[]rwpart.Part{part("a", 1, 0, 6, "abc"), part("a", 2, 3, 6, "def")}, rwcode.PeerMalformed},
		"beyond its size": {[]rwpart.Part{part("a", 1, 0, 2, "abc")}, rwcode.PeerMalformed},
		"inflates":        {[]rwpart.Part{{Item: rwitem.Item{Key: "a", Value: bomb}, Size: len(bomb), Deflated: true}}, rwcode.PeerSize},
		"not compressed":  {[]rwpart.Part{{Item: rwitem.Item{Key: "a", Value: []byte("\xff\xff")}, Size: 2, Deflated: true}}, rwcode.PeerMalformed},
	} {
		var a Assembly
		err := a.Add(c.parts)
		require.True(t, rwfault.Is(err, c.code), "%s: %v", name, err)
		require.Empty(t, a.Items(), name)
	}
	var a Assembly
	var err error
	for i := 0; err == nil && i < 2*maxTotal/maxValue; i++ {
		err = a.Add([]rwpart.Part{part("a", 1, 0, maxValue, strings.Repeat("x", maxValue))})
	}
	require.True(t, rwfault.Is(err, rwcode.PeerSize))
}
