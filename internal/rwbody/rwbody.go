// Package rwbody reads the bodies of callers' requests and of services' responses within
// a budget of memory.
package rwbody

import (
	"context"
	"errors"
	"io"
	"time"

	"redwingworks.example/internal/rwbudget"
)

// firstSegmentBytes and maxSegmentBytes bound the segments of a body whose length is not
// announced. Each is twice as long as the one before.
const (
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 256 << 10
)

// retryInterval is how often a body that waits for memory asks again.
const retryInterval = 20 * time.Millisecond

// ErrNoMemory is the error of a body that the budget refuses.
var ErrNoMemory = errors.New("memory for bodies is short")

// Read reads a body of an announced size, or of an unknown one for -1. It takes the
// memory before it reads, and fails with ErrNoMemory if there is none. Without a budget,
// a large body takes memory as it arrives, since nothing bounds what is announced.
func Read(r io.Reader, size int64, memory *rwbudget.Claim) ([]byte, error) {
	return read(r, size, memory, func(n int64) bool { return memory.Grow(time.Now(), n) })
}

// ReadWaiting is Read for a body that can't be sent again: while memory is short, it
// waits for it, for at most a limit in all and until the context ends.
func ReadWaiting(ctx context.Context, r io.Reader, size int64, memory *rwbudget.Claim, limit time.Duration) ([]byte, error) {
	return read(r, size, memory, func(n int64) bool {
		for !memory.Grow(time.Now(), n) {
			if limit <= 0 {
				return false
			}
			limit -= retryInterval
			select {
			case <-ctx.Done():
				return false
			case <-time.After(retryInterval):
			}
		}
		return true
	})
}

// read reads a body. Grow takes memory for a number of bytes and reports whether it got
// it.
func read(r io.Reader, size int64, memory *rwbudget.Claim, grow func(n int64) bool) ([]byte, error) {
	if size < 0 || memory == nil && size > maxSegmentBytes {
		return readSegments(r, memory, grow)
	}
	if !grow(size) {
		return nil, ErrNoMemory
	}
	data := make([]byte, size)
	_, err := readFull(r, data, memory)
	return data, err
}

// readSegments reads a body of unknown size. Its parts are not copied until it is
// complete, so that one that stops short never takes more than it has sent.
func readSegments(r io.Reader, memory *rwbudget.Claim, grow func(n int64) bool) ([]byte, error) {
	var segments [][]byte
	total := 0
	for size := firstSegmentBytes; ; size = min(2*size, maxSegmentBytes) {
		if !grow(int64(size)) {
			return nil, ErrNoMemory
		}
		segment := make([]byte, size)
		n, err := readFull(r, segment, memory)
		segments, total = append(segments, segment[:n]), total+n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	if !grow(int64(total)) {
		return nil, ErrNoMemory
	}
	data := make([]byte, 0, total)
	held := 0
	for _, s := range segments {
		data = append(data, s...)
		held += cap(s)
	}
	memory.Grow(time.Now(), -int64(held))
	return data, nil
}

// readFull fills a buffer and returns the number of bytes read. It fails with io.EOF if
// the body ends before, and with io.ErrUnexpectedEOF if its sender does.
func readFull(r io.Reader, data []byte, memory *rwbudget.Claim) (int, error) {
	n := 0
	for n < len(data) {
		read, err := r.Read(data[n:])
		n += read
		if read > 0 {
			memory.Receive(time.Now(), int64(read))
		}
		if err != nil && (n < len(data) || !errors.Is(err, io.EOF)) {
			return n, err
		}
	}
	return n, nil
}
