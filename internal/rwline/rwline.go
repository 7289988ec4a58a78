// Package rwline frames JSON-RPC messages as lines of bounded length.
package rwline

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Codec reads and writes one JSON object a line.
type Codec struct {
	// Max is the largest line in bytes; a longer one is an error, so that a
	// peer can't make this process allocate without bound.
	Max int
}

// WriteObject writes an object and a line end in one call.
func (c Codec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(data) >= c.Max {
		return rwfault.New(rwcode.PeerSize, "outgoing message")
	}
	_, err = w.Write(append(data, '\n'))
	return err
}

// ReadObject reads one line into v. It fails with PeerSize or PeerMalformed,
// or with the error of the connection.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	line, err := c.readLine(r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, v); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	return nil
}

func (c Codec) readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > c.Max {
			return nil, rwfault.New(rwcode.PeerSize, "incoming message")
		}
		if err == nil && line == nil {
			return part, nil
		}
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
