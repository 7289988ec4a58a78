// Package rwstream checks the event stream of an engine: that each chunk
// belongs to the request, follows the one before, and that the end marker
// comes after the last.
package rwstream

import (
	"bytes"
	"encoding/json"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Decoder checks the events of one request.
type Decoder struct {
	id       string
	next     int
	started  bool
	finished bool
	done     bool
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
	// Raw is the event as the engine sent it: one valid JSON object without
	// a line break. It shares memory with the data given to Next.
	Raw []byte `json:"-"`
	// Digest is a hash of the text as the engine encoded it. Two engines
	// that give the same answer give the same digests.
	Digest uint64 `json:"-"`
}

const endMarker = "[DONE]"

// New returns a checker for the request's identifier that expects the chunk
// with the given index first. A first chunk with index 0 is accepted too: it
// comes from an engine that can't resume and starts again.
func New(id string, first int) *Decoder { return &Decoder{id: id, next: first} }

// SkipText leaves Text of all chunks empty, for readers that need only Raw.
func (s *Decoder) SkipText() { s.skipText = true }

// Decode takes the data of one event and returns its chunk, which is valid until
// the next call. At the end marker it returns nil. It fails with
// UpstreamMalformed, UpstreamMismatch or UpstreamTruncated.
func (s *Decoder) Decode(data []byte) (*Chunk, error) {
	if s.done {
		return nil, rwfault.New(rwcode.UpstreamMalformed, "event after the end marker")
	}
	if string(data) == endMarker {
		if !s.finished {
			return nil, rwfault.New(rwcode.UpstreamTruncated, "end marker before the last chunk")
		}
		s.done = true
		return nil, nil
	}
	if err := s.decode(data); err != nil {
		return nil, err
	}
	if err := s.check(&s.chunk); err != nil {
		return nil, err
	}
	return &s.chunk, nil
}

func (s *Decoder) check(c *Chunk) error {
	if !s.started && c.Index == 0 {
		s.next = 0
	}
	switch {
	case c.ID != s.id:
		return rwfault.New(rwcode.UpstreamMismatch, c.ID)
	case s.finished:
		return rwfault.New(rwcode.UpstreamMalformed, "chunk after the last")
	case c.Index != s.next:
		return rwfault.New(rwcode.UpstreamMalformed, "expected index "+strconv.Itoa(s.next)+", got "+strconv.Itoa(c.Index))
	}
	s.started = true
	s.next++
	s.finished = c.Finish != ""
	return nil
}

// Offset is the index of the chunk that is expected next.
func (s *Decoder) Offset() int { return s.next }

// Close checks that the stream was whole. It fails with UpstreamTruncated.
func (s *Decoder) Close() error {
	if !s.done {
		return rwfault.New(rwcode.UpstreamTruncated, "stream ended at index "+strconv.Itoa(s.next))
	}
	return nil
}

// The fields of a chunk, as bits of the set of fields that were seen.
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

// decode reads one event. It is stricter than encoding/json: the event goes to
// the caller unchanged, so a field that other decoders could read differently
// (repeated, escaped or in another case) is malformed.
func (s *Decoder) decode(data []byte) error {
	if !json.Valid(data) || bytes.IndexByte(data, '\r') >= 0 {
		return malformed("not a JSON object in one line")
	}
	s.chunk = Chunk{Raw: data}
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
		bit, err := field(key)
		if err != nil {
			return err
		}
		if seen&bit != 0 {
			return malformed("repeated field")
		}
		seen |= bit
		if err := s.set(bit, value); err != nil {
			return err
		}
		if rest = skipSpace(rest); rest[0] == ',' {
			rest = skipSpace(rest[1:])
		}
	}
	if seen&seenIndex == 0 {
		return malformed("no index")
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

// cutValue cuts the first value off valid JSON.
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

// field returns the bit of a quoted field name, or 0 for an unknown field.
func field(key []byte) (int, error) {
	name := key[1 : len(key)-1]
	if bit, ok := fields[string(name)]; ok {
		return bit, nil
	}
	if bytes.IndexByte(name, '\\') >= 0 {
		return 0, malformed("escaped field name")
	}
	// Like encoding/json, other decoders may ignore the case of a name,
	// which takes in letters outside ASCII such as the long s.
	for known := range fields {
		if bytes.EqualFold(name, []byte(known)) {
			return 0, malformed("field name in another case")
		}
	}
	return 0, nil
}

func (s *Decoder) set(bit int, value []byte) (err error) {
	c := &s.chunk
	switch bit {
	case seenID:
		if len(value) == len(s.id)+2 && string(value[1:len(value)-1]) == s.id && value[0] == '"' {
			c.ID = s.id
			return nil
		}
		c.ID, err = text(value)
	case seenIndex:
		c.Index, err = number(value)
	case seenText:
		if value[0] != '"' {
			return malformed("text is not a string")
		}
		c.Digest = digest(value)
		if !s.skipText {
			c.Text, err = text(value)
		}
	case seenFinish:
		if string(value) != "null" {
			c.Finish, err = text(value)
		}
	case seenUsage:
		if string(value) != "null" {
			c.Usage, err = number(value)
		}
	}
	return err
}

func text(value []byte) (string, error) {
	var v string
	if err := json.Unmarshal(value, &v); err != nil {
		return "", rwfault.Wrap(rwcode.UpstreamMalformed, err)
	}
	return v, nil
}

func number(value []byte) (int, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || value[0] == '-' {
		return 0, malformed("not a count: " + string(value))
	}
	return n, nil
}

// digest is the 64-bit FNV-1a hash, which needs no allocation.
func digest(b []byte) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, c := range b {
		h = (h ^ uint64(c)) * prime
	}
	return h
}
