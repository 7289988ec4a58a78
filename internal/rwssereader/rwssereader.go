// Package rwssereader splits a stream of server-sent events into complete
// events, so that no part of an event is forwarded if the stream breaks off
// within it.
package rwssereader

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// maxEventBytes bounds the size of one event. A router assumes 160 KiB for a request
// in progress with all its buffers.
const maxEventBytes = 64 << 10

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event including the empty line that ends it.
	// It is valid until the next call.
	Raw []byte
	// ID is the event's id, or -1 if it has none.
	ID int64
	// Malformed is whether a line is neither a comment nor a field with a name of
	// lowercase letters and hyphens. A head of HTTP/1 has such lines.
	Malformed bool
	// Comment is whether the event has no field.
	Comment bool
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
	buf   []byte
}

// New returns a reader of the events in r.
func New(r io.Reader) *Reader { return &Reader{lines: bufio.NewReader(r)} }

// Buffered reports whether the next event is completely in the buffer.
func (r *Reader) Buffered() bool {
	next, err := r.lines.Peek(r.lines.Buffered())
	return err == nil && (bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n")))
}

var idField = []byte("id:")

// Next returns the next event. If the stream ends after a complete event, it
// returns io.EOF. Other errors are faults: UpstreamTruncated if the stream
// breaks or ends within an event, UpstreamMalformed if an event is too long.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	e := Event{ID: -1, Comment: true}
	for {
		start := len(r.buf)
		err := r.readLine()
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		switch {
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return e, io.EOF
		case errors.Is(err, io.EOF):
			// The fault must not be io.EOF for errors.Is.
			return e, rwfault.Wrap(rwcode.UpstreamTruncated, io.ErrUnexpectedEOF)
		case err != nil:
			return e, rwfault.Wrap(rwcode.UpstreamTruncated, err)
		case len(r.buf) > maxEventBytes:
			return e, rwfault.New(rwcode.UpstreamMalformed, "event too long")
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64); err == nil {
				e.ID = n
			}
		}
		if len(line) == 0 {
			e.Raw = r.buf
			return e, nil
		}
		if line[0] != ':' {
			e.Comment = false
			e.Malformed = e.Malformed || !isField(line)
		}
	}
}

// isField reports whether a line is a field: a name, which a colon and a value may follow.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return true
}

// readLine appends the next line to the buffer.
func (r *Reader) readLine() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) || len(r.buf) > maxEventBytes {
			return err
		}
	}
}
