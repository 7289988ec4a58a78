// Package rwstream decodes the event stream of an engine and validates it: each
// chunk must belong to the request and have the next index, and the end marker
// must follow the last chunk.
package rwstream

import (
	"bytes"
	"encoding/json"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Decoder decodes and validates the events of one request.
type Decoder struct {
	id       string
	next     int
	started  bool
	gotLast  bool
	gotEnd   bool
	skipText bool
	chunk    Chunk
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	ID     string `json:"id"`
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish,omitempty"`
	Usage  int    `json:"usage,omitempty"`
	// Raw is the event as the engine sent it: one valid JSON object. It has no
	// line break, since rwsse splits events at line feeds and Decode rejects
	// carriage returns. It shares memory with the data passed to Decode.
	Raw []byte `json:"-"`
	// Digest is a hash of the text as the engine encoded it. Two engines that
	// return the same text with the same JSON escapes have the same digests.
	Digest uint64 `json:"-"`
}

const endMarker = "[DONE]"

// New returns a decoder for the request with the given identifier. The first
// chunk must have the index first, or index 0: an engine that can't resume starts
// from the first chunk.
func New(id string, first int) *Decoder { return &Decoder{id: id, next: first} }

// SkipText leaves the Text of all chunks empty, for callers that need only Raw.
func (d *Decoder) SkipText() { d.skipText = true }

// Decode decodes the data of one event. It returns the chunk, which is valid
// until the next call, or nil for the end marker. It fails with
// UpstreamMalformed, UpstreamMismatch or UpstreamTruncated.
func (d *Decoder) Decode(data []byte) (*Chunk, error) {
	if d.gotEnd {
		return nil, rwfault.New(rwcode.UpstreamMalformed, "event after the end marker")
	}
	if string(data) == endMarker {
		if !d.gotLast {
			return nil, rwfault.New(rwcode.UpstreamTruncated, "end marker before the last chunk")
		}
		d.gotEnd = true
		return nil, nil
	}
	if err := d.parse(data); err != nil {
		return nil, err
	}
	if err := d.validate(&d.chunk); err != nil {
		return nil, err
	}
	return &d.chunk, nil
}

func (d *Decoder) validate(c *Chunk) error {
	if !d.started && c.Index == 0 {
		d.next = 0
	}
	switch {
	case c.ID != d.id:
		return rwfault.New(rwcode.UpstreamMismatch, c.ID)
	case d.gotLast:
		return rwfault.New(rwcode.UpstreamMalformed, "chunk after the last")
	case c.Index != d.next:
		return rwfault.New(rwcode.UpstreamMalformed, "expected index "+strconv.Itoa(d.next)+", got "+strconv.Itoa(c.Index))
	}
	d.started = true
	d.next++
	d.gotLast = c.Finish != ""
	return nil
}

// Offset returns the index of the chunk that is expected next.
func (d *Decoder) Offset() int { return d.next }

// Close checks that the end marker was decoded. Otherwise it fails with
// UpstreamTruncated.
func (d *Decoder) Close() error {
	if !d.gotEnd {
		return rwfault.New(rwcode.UpstreamTruncated, "stream ended at index "+strconv.Itoa(d.next))
	}
	return nil
}

// The fields of a chunk, as bits of a set.
const (
	seenID = 1 << iota
	seenIndex
	seenText
	seenFinish
	seenUsage
)

var fields = map[string]int{
	"id": seenID, "index": seenIndex, "text": seenText, "finish": seenFinish, "usage": seenUsage,
}

// parse parses one event. It is stricter than encoding/json: since the event is
// forwarded to the caller unchanged, it rejects fields that other decoders may
// read differently (repeated, escaped or in another case).
func (d *Decoder) parse(data []byte) error {
	if !json.Valid(data) || bytes.IndexByte(data, '\r') >= 0 {
		return malformed("not valid JSON on one line")
	}
	d.chunk = Chunk{Raw: data}
	rest := skipSpace(data)
	if rest[0] != '{' {
		return malformed("not a JSON object")
	}
	seen := 0
	for rest = skipSpace(rest[1:]); rest[0] != '}'; {
		var key, value []byte
		key, rest = cutValue(rest)
		rest = skipSpace(rest)[1:]
		value, rest = cutValue(skipSpace(rest))
		bit, err := fieldBit(key)
		if err != nil {
			return err
		}
		if seen&bit != 0 {
			return malformed("repeated field")
		}
		seen |= bit
		if err := d.setField(bit, value); err != nil {
			return err
		}
		if rest = skipSpace(rest); rest[0] == ',' {
			rest = skipSpace(rest[1:])
		}
	}
	if seen&seenIndex == 0 {
		return malformed("index is missing")
	}
	return nil
}

func malformed(why string) error { return rwfault.New(rwcode.UpstreamMalformed, why) }

func skipSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t' || b[0] == '\n') {
		b = b[1:]
	}
	return b
}

// cutValue splits valid JSON after its first value.
func cutValue(b []byte) (value, rest []byte) {
	depth, quoted := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
			if !quoted && depth == 0 {
				return b[:i+1], b[i+1:]
			}
		case quoted:
		case c == '{' || c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			depth--
			if depth == 0 {
				return b[:i+1], b[i+1:]
			}
		case depth == 0 && (c == ',' || c == '}' || c == ']' || c == ':' || c == ' ' || c == '\t' || c == '\n'):
			return b[:i], b[i:]
		}
	}
	return b, nil
}

// fieldBit returns the bit for a quoted field name, or 0 for an unknown field.
func fieldBit(key []byte) (int, error) {
	name := key[1 : len(key)-1]
	if bit, ok := fields[string(name)]; ok {
		return bit, nil
	}
	if bytes.IndexByte(name, '\\') >= 0 {
		return 0, malformed("escaped field name")
	}
	// Other decoders may ignore the case of names, as encoding/json does. This
	// includes letters outside ASCII such as the long s.
	for known := range fields {
		if bytes.EqualFold(name, []byte(known)) {
			return 0, malformed("field name in another case")
		}
	}
	return 0, nil
}

func (d *Decoder) setField(bit int, value []byte) (err error) {
	c := &d.chunk
	switch bit {
	case seenID:
		if len(value) == len(d.id)+2 && string(value[1:len(value)-1]) == d.id && value[0] == '"' {
			c.ID = d.id
			return nil
		}
		c.ID, err = parseString(value)
	case seenIndex:
		c.Index, err = parseCount(value)
	case seenText:
		if value[0] != '"' {
			return malformed("text is not a string")
		}
		c.Digest = digest(value)
		if !d.skipText {
			c.Text, err = parseString(value)
		}
	case seenFinish:
		if string(value) != "null" {
			c.Finish, err = parseString(value)
		}
	case seenUsage:
		if string(value) != "null" {
			c.Usage, err = parseCount(value)
		}
	}
	return err
}

func parseString(value []byte) (string, error) {
	var v string
	if err := json.Unmarshal(value, &v); err != nil {
		return "", rwfault.Wrap(rwcode.UpstreamMalformed, err)
	}
	return v, nil
}

func parseCount(value []byte) (int, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || value[0] == '-' {
		return 0, malformed("not a non-negative integer: " + string(value))
	}
	return n, nil
}

// digest returns the 64-bit FNV-1a hash. Unlike hash/fnv it doesn't allocate.
func digest(b []byte) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, c := range b {
		h = (h ^ uint64(c)) * prime
	}
	return h
}
