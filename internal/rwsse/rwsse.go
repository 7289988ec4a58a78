// Package rwsse reads a stream of server-sent events in which each event has one
// data line.
package rwsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MaxLineBytes is the maximum length of a line, including the line break.
const MaxLineBytes = 64 << 10

// Reader reads the data of events.
type Reader struct {
	lines *bufio.Reader
}

// New returns a reader.
func New(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, MaxLineBytes)}
}

// Reset makes the reader read from another stream. It keeps the buffer.
func (r *Reader) Reset(from io.Reader) { r.lines.Reset(from) }

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// Next returns the data of the next event, which is valid until the next call. At
// the end of the stream it returns io.EOF. Other errors are faults:
// UpstreamTruncated if the stream breaks or ends within a line, and
// UpstreamMalformed if a line is too long.
func (r *Reader) Next() ([]byte, error) {
	for {
		line, err := r.lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, rwfault.New(rwcode.UpstreamMalformed, "line too long")
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, rwfault.Wrap(rwcode.UpstreamTruncated, err)
		}
		data, ok := dataField(line)
		switch {
		case err == nil && ok:
			return data, nil
		case err == nil:
			continue
		case ok && bytes.Equal(data, endMarker):
			return data, nil
		case len(line) > 0:
			return nil, rwfault.New(rwcode.UpstreamTruncated, "stream ended within a line")
		}
		return nil, io.EOF
	}
}

// dataField returns the value of a data line, and whether the line is one.
func dataField(line []byte) ([]byte, bool) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	data, ok := bytes.CutPrefix(line, dataPrefix)
	return bytes.TrimPrefix(data, []byte(" ")), ok
}
