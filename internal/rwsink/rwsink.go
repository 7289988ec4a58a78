// Package rwsink writes log lines without ever blocking the caller, even if the
// output blocks, and limits their rate.
package rwsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueSize is the number of lines that are queued for a slow reader.
	queueSize = 2048
	// maxBatch is the size in bytes from which a batch of lines is written.
	maxBatch = 32 << 10
	// infoRate and warnRate are the largest numbers of informational lines and
	// of warnings per second. They are separate, so that informational lines
	// don't displace warnings.
	infoRate = 400
	warnRate = 400
	// summaryRate is the largest number of lines per second of Summaries.
	summaryRate = 100
)

// Sink is a writer for zerolog.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// Dropped is the number of dropped lines.
	Dropped atomic.Int64

	info, warn, summary lineLimit
}

// lineLimit counts the lines of the current second.
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

// New returns a sink. Lines are written only while Run is running.
func New(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, queueSize)} }

// Summaries returns a writer for lines that report counts. Their rate is limited
// apart from that of the other lines, so that a flood of these doesn't displace them.
func (s *Sink) Summaries() io.Writer { return summaryWriter{s} }

type summaryWriter struct{ sink *Sink }

// Write implements io.Writer.
func (w summaryWriter) Write(p []byte) (int, error) {
	return w.sink.queue(&w.sink.summary, summaryRate, p)
}

// Write queues a line without a level as a warning.
func (s *Sink) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.WarnLevel, p) }

// WriteLevel queues a line, or drops and counts it if the rate is exceeded or the
// queue is full.
func (s *Sink) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	limit, rate := &s.warn, int64(warnRate)
	if level < zerolog.WarnLevel {
		limit, rate = &s.info, infoRate
	}
	return s.queue(limit, rate, p)
}

func (s *Sink) queue(limit *lineLimit, rate int64, p []byte) (int, error) {
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

// Run writes queued lines until the context ends, and then the remaining ones.
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

// write writes a line and the lines queued behind it, up to about maxBatch, in
// one call, since a call costs more than a line.
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
	// There is no other place to report a failure of the log.
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
