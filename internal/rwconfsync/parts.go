package rwconfsync

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingworks.example/internal/rwassembly"
	"redwingworks.example/internal/rwbundle"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwpart"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpull"
	"redwingworks.example/internal/rwrecord"
)

const (
	// partBytes is the approximate size of a part, which a link of 10 Mbit/s carries
	// in 70 ms.
	partBytes = 64 << 10
	// partTimeout bounds the wait for a part, and partAttempts is how often one is
	// asked for: to begin again would cost the links more than a lost part.
	partTimeout  = 750 * time.Millisecond
	partAttempts = 2
	// maxParts bounds the parts of a bundle; rwassembly bounds what they contain.
	maxParts = 4096
	// maxSending is how many parts are sent at one time: each takes several times its
	// size of memory until it is written.
	maxSending = 8
)

// partRequest asks for the first bundle that a pull would return, from a position on.
type partRequest struct {
	rwpull.Pull
	From rwpart.Position `json:"from"`
}

// partMessage has a part of the records of a bundle.
type partMessage struct {
	Parts []rwpart.Part   `json:"parts,omitempty"`
	Next  rwpart.Position `json:"next"`
	Done  bool            `json:"done,omitempty"`
	// Digest identifies the records of the bundle, of which Last is the highest
	// revision. More reports whether there are further bundles.
	Digest uint64 `json:"digest"`
	Last   int64  `json:"last"`
	More   bool   `json:"more,omitempty"`
}

// firstBundle returns the first records that a pull selects.
func (f *Syncer) firstBundle(p rwpull.Pull) (b rwbundle.Bundle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := f.store.RecordsAfter(p.After)
	if len(p.Checksums) > 0 {
		items = slices.DeleteFunc(f.store.DifferingRecords(p.Checksums), func(r rwrecord.Record) bool { return r.Rev <= p.After })
	}
	if bundles := rwbundle.Split(items); len(bundles) > 0 {
		b = bundles[0]
	}
	b.Leaving = f.store.Leaving()
	return b
}

// handlePart sends a part of a bundle. It waits while maxSending others are sent.
func (f *Syncer) handlePart(ctx context.Context, _ rwidentity.Identity, params json.RawMessage) (any, error) {
	p, err := rwpull.Decode(params)
	if err != nil {
		return nil, err
	}
	var request partRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	select {
	case f.sending <- struct{}{}:
	case <-time.After(partTimeout):
		// The other router no longer waits.
		return nil, rwfault.New(rwcode.PeerUnreachable, "too many parts are being sent")
	case <-ctx.Done():
		return nil, rwfault.Wrap(rwcode.PeerUnreachable, ctx.Err())
	}
	b := f.firstBundle(p)
	out := partMessage{More: b.More}
	if n := len(b.Items); n > 0 {
		out.Last = b.Items[n-1].Rev
	}
	items := itemsOf(b.Items)
	out.Digest = digestOf(items)
	out.Parts, out.Next, out.Done = rwpart.Cut(items, request.From, partBytes, f.deflater.Encode)
	return rwpeer.Reply{Result: out, Written: func() { <-f.sending }}, nil
}

// itemsOf returns an item for each record, sorted by key and revision. The key has the
// schema version and the kind too.
func itemsOf(list []rwrecord.Record) []rwitem.Item {
	items := make([]rwitem.Item, len(list))
	for i, r := range list {
		items[i] = rwitem.Item{
			Key: strconv.Itoa(r.Schema) + "/" + url.PathEscape(r.Kind) + "/" + r.Name, Rev: r.Rev, Deleted: r.Deleted, Value: r.Value,
		}
	}
	slices.SortFunc(items, func(a, b rwitem.Item) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Rev, b.Rev)) })
	return items
}

func digestOf(items []rwitem.Item) uint64 {
	h := fnv.New64a()
	for _, it := range items {
		_, _ = h.Write([]byte(it.Key + "@" + strconv.FormatInt(it.Rev, 10) + "\n"))
	}
	return h.Sum64()
}

// pullParts returns a bundle that a peer has announced as too large for a message. All
// its records are there, or it fails: with the code of a call, with PeerSize, or with
// PeerMalformed if parts don't fit together. The returned message is the last one.
func (f *Syncer) pullParts(ctx context.Context, addr string, p rwpull.Pull) ([]rwrecord.Record, partMessage, error) {
	var assembly rwassembly.Assembly
	var digest uint64
	request, begun := partRequest{Pull: p}, false
	for range maxParts {
		m, err := f.callPart(ctx, addr, request)
		if err != nil {
			return nil, m, err
		}
		if begun && m.Digest != digest {
			// The peer got other records meanwhile.
			assembly, request.From, begun = rwassembly.Assembly{}, rwpart.Position{}, false
			continue
		}
		digest, begun = m.Digest, true
		if err := assembly.Add(m.Parts); err != nil {
			return nil, m, err
		}
		if m.Done {
			records, err := recordsOf(assembly.Items())
			return records, m, err
		}
		request.From = m.Next
	}
	return nil, partMessage{}, rwfault.New(rwcode.PeerMalformed, "more than the largest number of parts")
}

func (f *Syncer) callPart(ctx context.Context, addr string, request partRequest) (m partMessage, err error) {
	for range partAttempts {
		m = partMessage{}
		limited, cancel := context.WithTimeout(ctx, partTimeout)
		err = f.peers.CallData(limited, addr, "part", request, &m)
		cancel()
		if !rwfault.Is(err, rwcode.PeerUnreachable) || ctx.Err() != nil {
			return m, err
		}
	}
	return m, err
}

// recordsOf returns the records in items, sorted by revision. It fails with
// PeerMalformed.
func recordsOf(items []rwitem.Item) ([]rwrecord.Record, error) {
	out := make([]rwrecord.Record, len(items))
	for i, it := range items {
		fields := strings.SplitN(it.Key, "/", 3)
		if len(fields) < 3 || len(it.Value) > 0 && !json.Valid(it.Value) {
			return nil, rwfault.New(rwcode.PeerMalformed, "record "+it.Key)
		}
		schema, err := strconv.Atoi(fields[0])
		if err != nil {
			return nil, rwfault.Wrap(rwcode.PeerMalformed, err)
		}
		kind, err := url.PathUnescape(fields[1])
		if err != nil {
			return nil, rwfault.Wrap(rwcode.PeerMalformed, err)
		}
		out[i] = rwrecord.Record{Kind: kind, Name: fields[2], Rev: it.Rev, Schema: schema, Deleted: it.Deleted, Value: it.Value}
	}
	slices.SortFunc(out, func(a, b rwrecord.Record) int { return cmp.Compare(a.Rev, b.Rev) })
	return out, rwbundle.CheckRecords(out)
}

// pullLarge completes a bundle whose records have to be asked for in parts. It sets
// records beyond the bounds aside with a log event and returns the highest revision of
// them, so that later ones still arrive, or 0 if the bundle is complete.
func (f *Syncer) pullLarge(ctx context.Context, addr string, p rwpull.Pull, b rwbundle.Bundle) (_ rwbundle.Bundle, setAside int64, err error) {
	items, m, err := f.pullParts(ctx, addr, p)
	if rwfault.Is(err, rwcode.PeerSize) || rwfault.Is(err, rwcode.PeerMalformed) {
		rwlog.Warn(&f.log, rwlog.PeerMessageTooLarge, err).Str("method", "part").Str("source", addr).Send()
	}
	if rwfault.Is(err, rwcode.PeerSize) {
		setAside, err = m.Last, nil
	}
	b.Items, b.More = items, m.More
	return b, setAside, err
}
