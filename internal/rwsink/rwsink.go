// Package rwsink writes log lines without ever blocking the caller and with a
// bounded volume, also when nobody reads them.
package rwsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueSize is how many lines wait for a slow reader.
	queueSize = 2048
	// maxBatch is the size in bytes from which lines are written.
	maxBatch = 32 << 10
	// infoRate bounds the informational lines in each second, warnRate the
	// warnings, so that failures are never left out for the sake of others.
	infoRate = 400
	warnRate = 400
)

// Sink is a writer for zerolog.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// Dropped is the number of lines that were left out.
	Dropped atomic.Int64

	info, warn lineLimit
}

// lineLimit counts lines in the present second.
type lineLimit struct {
	second atomic.Int64
	used   atomic.Int64
}

func (b *lineLimit) take(limit int64) bool {
	now := time.Now().Unix()
	if b.second.Swap(now) != now {
		b.used.Store(0)
	}
	return b.used.Add(1) <= limit
}

// New returns a sink; Run has to be called.
func New(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, queueSize)} }

// Write queues a line without a level.
func (s *Sink) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.WarnLevel, p) }

// WriteLevel queues a line, or counts it if it is over the bound.
func (s *Sink) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	limit, rate := &s.warn, int64(warnRate)
	if level < zerolog.WarnLevel {
		limit, rate = &s.info, infoRate
	}
	if limit.take(rate) {
		select {
		case s.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	s.Dropped.Add(1)
	return len(p), nil
}

// Run writes queued lines until the context ends, and then what is left.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return nil
		case line := <-s.lines:
			s.write(line)
		}
	}
}

// write writes a line and all that wait behind it in one call, since each call
// costs more than a line.
func (s *Sink) write(first []byte) {
	batch := first
	for len(batch) < maxBatch {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// The log has no other place to report its own failure.
	_, _ = s.out.Write(batch)
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}
