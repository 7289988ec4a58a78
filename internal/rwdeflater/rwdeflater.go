// Package rwdeflater compresses large values that many routers ask for, and keeps the
// results.
package rwdeflater

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/flate"

	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

const (
	// minDeflated is the size in bytes from which on a value is compressed by itself;
	// smaller ones are compressed with their message.
	minDeflated = 16 << 10
	// maxDeflated is how many compressed values are kept. Only the configuration is
	// so large, and a second one around a return of the store.
	maxDeflated = 4
)

// Deflater compresses large values, and keeps the results: many routers ask for the
// same ones. The zero value keeps none. It is safe for concurrent use.
type Deflater struct {
	mu   sync.Mutex
	kept map[deflatedKey][]byte
}

type deflatedKey struct {
	key string
	rev rwrevision.Revision
}

// Encode returns the encoded value of an item, and whether it is compressed.
func (d *Deflater) Encode(it rwitem.Item) ([]byte, bool) {
	if len(it.Value) < minDeflated {
		return it.Value, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k := deflatedKey{it.Key, it.Revision()}
	data, ok := d.kept[k]
	if !ok {
		if d.kept == nil || len(d.kept) >= maxDeflated {
			d.kept = map[deflatedKey][]byte{}
		}
		data = deflate(it.Value)
		d.kept[k] = data
	}
	return data, true
}

func deflate(value []byte) []byte {
	var out bytes.Buffer
	// Neither fails: the level is valid, and a buffer takes all.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}
