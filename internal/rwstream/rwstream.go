// Package rwstream checks the event stream of an engine: that each chunk
// belongs to the request, follows the one before, and that the end marker
// comes after the last.
package rwstream

import (
	"encoding/json"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Stream checks the events of one request.
type Stream struct {
	id       string
	next     int
	finished bool
	done     bool
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	ID     string `json:"id"`
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish,omitempty"`
	Usage  int    `json:"usage,omitempty"`
}

const endMarker = "[DONE]"

// New returns a checker for the request's identifier that expects the chunk
// with the given index first.
func New(id string, first int) *Stream { return &Stream{id: id, next: first} }

// Next takes the data of one event and returns its chunk. At the end marker it
// returns nil. It fails with UpstreamMalformed, UpstreamMismatch or
// UpstreamTruncated.
func (s *Stream) Next(data []byte) (*Chunk, error) {
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
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, rwfault.Wrap(rwcode.UpstreamMalformed, err)
	}
	return &c, s.check(&c)
}

func (s *Stream) check(c *Chunk) error {
	switch {
	case c.ID != s.id:
		return rwfault.New(rwcode.UpstreamMismatch, c.ID)
	case s.finished:
		return rwfault.New(rwcode.UpstreamMalformed, "chunk after the last")
	case c.Index != s.next:
		return rwfault.New(rwcode.UpstreamMalformed, "expected index "+strconv.Itoa(s.next)+", got "+strconv.Itoa(c.Index))
	}
	s.next++
	s.finished = c.Finish != ""
	return nil
}

// Offset is the index of the chunk that is expected next.
func (s *Stream) Offset() int { return s.next }

// Close checks that the stream was whole. It fails with UpstreamTruncated.
func (s *Stream) Close() error {
	if !s.done {
		return rwfault.New(rwcode.UpstreamTruncated, "stream ended at index "+strconv.Itoa(s.next))
	}
	return nil
}
