// Package rwhistogram records latencies and writes their percentiles.
package rwhistogram

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the longest duration that is recorded as it is; longer
	// ones count as maxDuration.
	maxDuration       = time.Minute
	significantDigits = 2
)

// Histogram is a histogram of durations. It is safe for concurrent use.
type Histogram struct {
	name   string
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// New returns an empty histogram whose lines begin with the name.
func New(name string) *Histogram {
	return &Histogram{name: name, values: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// Record adds a duration. Negative durations count as zero and those longer than
// maxDuration as maxDuration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	us := min(max(d.Microseconds(), 0), maxDuration.Microseconds())
	if err := h.values.RecordValue(us); err != nil {
		// The value is clamped to the range of the histogram.
		panic(err)
	}
}

// WriteTo writes the count and the percentiles in milliseconds, one per line.
func (h *Histogram) WriteTo(w io.Writer) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := fmt.Fprintf(w, "%s_count %d\n", h.name, h.values.TotalCount())
	total := int64(n)
	for _, q := range []float64{50, 90, 99, 100} {
		if err != nil {
			return total, err
		}
		ms := float64(h.values.ValueAtQuantile(q)) / 1000
		n, err = fmt.Fprintf(w, "%s_p%.0f_ms %.3f\n", h.name, q, ms)
		total += int64(n)
	}
	return total, err
}
