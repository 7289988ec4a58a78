// Package rwhistogram keeps latency histograms.
package rwhistogram

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highest is the longest time that is told apart, digits the precision.
	highest = time.Minute
	digits  = 2
)

// Histogram is a histogram of durations. It is safe for concurrent use.
type Histogram struct {
	name string
	mu   sync.Mutex
	h    *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New(name string) *Histogram {
	return &Histogram{name: name, h: hdrhistogram.New(1, highest.Microseconds(), digits)}
}

// Record counts a duration; negative ones count as zero and longer ones than a
// minute as a minute.
func (t *Histogram) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	us := min(max(d.Microseconds(), 0), highest.Microseconds())
	if err := t.h.RecordValue(us); err != nil {
		// The value was clamped to the range of the histogram.
		panic(err)
	}
}

// WriteTo writes the count and percentiles in milliseconds, a line each.
func (t *Histogram) WriteTo(w io.Writer) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := fmt.Fprintf(w, "%s_count %d\n", t.name, t.h.TotalCount())
	total := int64(n)
	for _, q := range []float64{50, 90, 99, 100} {
		if err != nil {
			return total, err
		}
		ms := float64(t.h.ValueAtQuantile(q)) / 1000
		n, err = fmt.Fprintf(w, "%s_p%.0f_ms %.3f\n", t.name, q, ms)
		total += int64(n)
	}
	return total, err
}
