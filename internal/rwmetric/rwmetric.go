// Package rwmetric counts events in expvar variables.
package rwmetric

import (
	"expvar"
	"io"

	"redwingworks.example/internal/rwcode"
)

// Metrics are the counters of one process.
type Metrics struct {
	// Refusals counts refused and failed requests, denied retries, rejected
	// messages and rejected records by code.
	Refusals *expvar.Map
	// Retries counts retries by the code of the preceding failure.
	Retries *expvar.Map
	// Denied counts retries that the budget refused, by the code of the
	// preceding failure.
	Denied *expvar.Map
	// Counters holds all other counters and gauges by name.
	Counters *expvar.Map
}

// New returns metrics that start at zero and are not published.
func New() *Metrics {
	return &Metrics{
		Refusals: new(expvar.Map).Init(),
		Retries:  new(expvar.Map).Init(),
		Denied:   new(expvar.Map).Init(),
		Counters: new(expvar.Map).Init(),
	}
}

// Publish publishes the metrics at /debug/vars. Like expvar.Publish, it panics
// if it is called twice in one process.
func (m *Metrics) Publish() {
	expvar.Publish("refusals", m.Refusals)
	expvar.Publish("retries", m.Retries)
	expvar.Publish("denied", m.Denied)
	expvar.Publish("counters", m.Counters)
}

// Refused counts a refusal.
func (m *Metrics) Refused(c rwcode.Code) { m.Refusals.Add(c.String(), 1) }

// Retried counts a retry.
func (m *Metrics) Retried(c rwcode.Code) { m.Retries.Add(c.String(), 1) }

// RetryDenied counts a retry that the budget refused.
func (m *Metrics) RetryDenied(c rwcode.Code) { m.Denied.Add(c.String(), 1) }

// Add adds to a counter.
func (m *Metrics) Add(name string, n int64) { m.Counters.Add(name, n) }

// WriteText writes each counter as a line with its name and value.
func (m *Metrics) WriteText(w io.Writer) {
	for prefix, vars := range map[string]*expvar.Map{
		"refusals_": m.Refusals, "retries_": m.Retries, "denied_": m.Denied, "": m.Counters,
	} {
		vars.Do(func(kv expvar.KeyValue) {
			_, _ = io.WriteString(w, prefix+kv.Key+" "+kv.Value.String()+"\n")
		})
	}
}
