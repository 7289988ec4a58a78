// Package rwassembly puts the parts of items together again that another router sent
// in several messages. It reads no clock and does no I/O.
package rwassembly

import (
	"bytes"
	"io"
	"strconv"

	"github.com/klauspost/compress/flate"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwpart"
)

const (
	// maxValue bounds one value; the store takes 1 MiB.
	maxValue = 2 << 20
	// maxTotal bounds the keys and values of one assembly: the configuration, and
	// the entries of some thousand upstreams of 16 KiB at most.
	maxTotal = 32 << 20
)

// Assembly collects the items of one pull. The zero value is empty. It is not safe for
// concurrent use.
type Assembly struct {
	items   []rwitem.Item
	total   int
	partial *rwpart.Part
	value   []byte
}

// Items returns the complete items.
func (a *Assembly) Items() []rwitem.Item { return a.items }

// Add adds the parts of a message in their order. An item that begins while the one
// before is incomplete replaces it. It fails with PeerSize beyond the bounds, and with
// PeerMalformed for parts that don't follow each other.
func (a *Assembly) Add(parts []rwpart.Part) error {
	for _, p := range parts {
		if err := a.add(p); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembly) add(p rwpart.Part) error {
	if p.Size > maxValue || p.Size < 0 {
		return rwfault.New(rwcode.PeerSize, "item "+p.Key+" of "+strconv.Itoa(p.Size)+" bytes")
	}
	if p.Offset == 0 {
		a.partial, a.value = &p, nil
	}
	if a.partial == nil || a.partial.Key != p.Key || a.partial.Revision() != p.Revision() ||
		a.partial.Size != p.Size || a.partial.Deflated != p.Deflated || p.Offset != len(a.value) || p.Offset+len(p.Value) > p.Size {
		return rwfault.New(rwcode.PeerMalformed, "part of item "+p.Key+" at "+strconv.Itoa(p.Offset)+" doesn't follow the one before")
	}
	a.value = append(a.value, p.Value...)
	if len(a.value) < p.Size {
		return nil
	}
	value := a.value
	if p.Deflated {
		var err error
		if value, err = inflate(p.Key, value); err != nil {
			return err
		}
	}
	if a.total += len(p.Key) + len(value); a.total > maxTotal {
		return rwfault.New(rwcode.PeerSize, "items of more than "+strconv.Itoa(maxTotal)+" bytes")
	}
	it := p.Item
	it.Value = value
	a.items = append(a.items, it)
	a.partial, a.value = nil, nil
	return nil
}

func inflate(key string, data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxValue+1))
	if err != nil {
		return nil, rwfault.Wrap(rwcode.PeerMalformed, err).WithDetail("item " + key)
	}
	if len(out) > maxValue {
		return nil, rwfault.New(rwcode.PeerSize, "item "+key+" of more than "+strconv.Itoa(maxValue)+" bytes")
	}
	return out, nil
}
