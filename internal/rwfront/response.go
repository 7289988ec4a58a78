package rwfront

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwbudget"
)

// firstBufferBytes is the first memory for what is buffered of a response.
const firstBufferBytes = 4 << 10

// writePartBytes is how much of what is buffered is written before the progress of its
// caller is recorded.
const writePartBytes = 16 << 10

// errUnread is the error of a write whose caller doesn't read while others need its
// memory or its place.
var errUnread = errors.New("the caller doesn't read its response, and others need its memory")

// bufferResponse reads a response up to maxBufferedBytes, or less if memory is short, and
// reports whether that is all of it. Taken is the memory of what it has read.
func bufferResponse(r io.Reader, memory *rwbudget.Claim) (data []byte, taken int64, whole bool, err error) {
	for size := firstBufferBytes; size <= maxBufferedBytes; size *= 2 {
		more := int64(size) - taken
		if !memory.Grow(time.Now(), more) {
			return data, taken, false, nil
		}
		taken += more
		data = append(make([]byte, 0, size), data...)
		for len(data) < size {
			n, err := r.Read(data[len(data):size])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) {
				return data, taken, true, nil
			}
			if err != nil {
				return nil, taken, false, err
			}
		}
	}
	return data, taken, false, nil
}

// writeBuffered writes what is buffered of a response to its caller.
func writeBuffered(w http.ResponseWriter, memory *rwbudget.Claim, data []byte) error {
	for part := range slices.Chunk(data, writePartBytes) {
		if err := writePart(w, memory, part); err != nil {
			return err
		}
	}
	return nil
}

func writePart(w http.ResponseWriter, memory *rwbudget.Claim, part []byte) error {
	return writeToCaller(w, memory, func() error {
		_, err := w.Write(part)
		return err
	})
}

// writeToCaller calls a function that writes to a request's caller. While that waits, the
// caller may lose the memory and the place of its request to others, as one that stops
// within its body does; its connection is then closed.
func writeToCaller(w http.ResponseWriter, memory *rwbudget.Claim, write func() error) error {
	if memory == nil {
		return write()
	}
	// The deadline must not be set after the handler has returned, when the connection
	// may have another request.
	var mu sync.Mutex
	written := false
	memory.Unpin(time.Now(), func() {
		mu.Lock()
		defer mu.Unlock()
		if !written {
			// In HTTP/2, only a deadline in the past resets the stream at once.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		}
	})
	err := write()
	mu.Lock()
	written = true
	mu.Unlock()
	if !memory.Pin() {
		return errUnread
	}
	return err
}
