// Package rwreport counts the results of a workload and records their latencies.
package rwreport

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwverdict"
)

const (
	// The histograms cover 1 µs to maxLatency.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	// maxWrongAnswers is the number of wrong responses that are described.
	maxWrongAnswers = 20
)

// Report collects results; it is safe for concurrent use.
type Report struct {
	mu           sync.Mutex
	groups       map[group]*counts
	wrongAnswers []string
}

type group struct{ account, kind string }

type counts struct {
	verdicts map[string]int
	refusals map[string]int
	attempts int
	tokens   int
	first    *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// New returns an empty report.
func New() *Report { return &Report{groups: map[group]*counts{}} }

// Add counts the result of a request.
func (r *Report) Add(j rwjob.Job, a rwresponse.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.group(group{j.Account, j.Kind})
	c.verdicts[a.Verdict.String()]++
	c.attempts += a.Attempts
	c.tokens += a.Tokens
	switch a.Verdict {
	case rwverdict.Complete:
		_ = c.first.RecordValue(a.TimeToFirstToken.Microseconds())
		_ = c.total.RecordValue(a.TotalTime.Microseconds())
	case rwverdict.Wrong:
		if len(r.wrongAnswers) < maxWrongAnswers {
			r.wrongAnswers = append(r.wrongAnswers, fmt.Sprintf("%s/%s %s at %s: %s", j.Account, j.Kind, a.RequestID, a.Router, a.Detail))
		}
	default:
		c.refusals[a.Code+"/"+a.Outcome]++
	}
}

func (r *Report) group(g group) *counts {
	c := r.groups[g]
	if c == nil {
		c = &counts{
			verdicts: map[string]int{},
			refusals: map[string]int{},
			first:    hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
			total:    hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		}
		r.groups[g] = c
	}
	return c
}

// Count returns the number of requests with the verdict.
func (r *Report) Count(v rwverdict.Verdict) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.groups {
		n += c.verdicts[v.String()]
	}
	return n
}

// Refusals returns the numbers of refusals and broken connections by
// "code/outcome".
func (r *Report) Refusals() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, c := range r.groups {
		for k, n := range c.refusals {
			out[k] += n
		}
	}
	return out
}

// WrongAnswers returns descriptions of the first wrong responses.
func (r *Report) WrongAnswers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.wrongAnswers)
}

// FirstTokenLatency returns a percentile (0 to 100) of the time to the first
// token.
func (r *Report) FirstTokenLatency(quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for _, c := range r.groups {
		h.Merge(c.first)
	}
	return micros(h.ValueAtQuantile(quantile))
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

type row struct {
	Account   string         `json:"account"`
	Kind      string         `json:"kind"`
	Verdicts  map[string]int `json:"verdicts"`
	Refusals  map[string]int `json:"refusals"`
	Attempts  int            `json:"attempts"`
	Tokens    int            `json:"tokens"`
	FirstP50  float64        `json:"first_p50_ms"`
	FirstP99  float64        `json:"first_p99_ms"`
	TotalP50  float64        `json:"total_p50_ms"`
	TotalP99  float64        `json:"total_p99_ms"`
	TotalPMax float64        `json:"total_max_ms"`
}

func (r *Report) rows() []row {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(r.groups), func(a, b group) int {
		return slices.Compare([]string{a.account, a.kind}, []string{b.account, b.kind})
	})
	var out []row
	for _, g := range keys {
		c := r.groups[g]
		out = append(out, row{
			Account: g.account, Kind: g.kind,
			Verdicts: maps.Clone(c.verdicts), Refusals: maps.Clone(c.refusals),
			Attempts: c.attempts, Tokens: c.tokens,
			FirstP50: quantileMillis(c.first, 50), FirstP99: quantileMillis(c.first, 99),
			TotalP50: quantileMillis(c.total, 50), TotalP99: quantileMillis(c.total, 99), TotalPMax: quantileMillis(c.total, 100),
		})
	}
	return out
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return micros(h.ValueAtQuantile(quantile)).Seconds() * 1000
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(map[string]any{"groups": r.rows(), "wrong": r.WrongAnswers()})
}

// WriteTable writes the report as a text table with times in milliseconds.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "account\tkind\twhole\trefused\tbroken\twrong\tattempts\ttokens\tfirst p50\tp99\ttotal p50\tp99")
	for _, r := range r.rows() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", r.Account, r.Kind,
			r.Verdicts["whole"], r.Verdicts["refused"], r.Verdicts["broken"], r.Verdicts["wrong"],
			r.Attempts, r.Tokens, r.FirstP50, r.FirstP99, r.TotalP50, r.TotalP99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, k := range slices.Sorted(maps.Keys(r.Refusals())) {
		_, _ = fmt.Fprintf(w, "refused or broken: %s %d\n", k, r.Refusals()[k])
	}
	for _, s := range r.WrongAnswers() {
		_, _ = fmt.Fprintln(w, "wrong:", s)
	}
	return nil
}
