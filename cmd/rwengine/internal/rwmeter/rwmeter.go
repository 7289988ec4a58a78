// Package rwmeter adds up the service that an engine gives to each account and
// kind, by time, and the time that its slots are busy.
package rwmeter

import (
	"encoding/json"
	"time"
)

// Bucket is the resolution of the service by time. Buckets are aligned to the
// wall clock, so that those of several engines can be added.
const Bucket = 100 * time.Millisecond

// Meter is the service of one engine. It is not safe for concurrent use.
type Meter struct {
	slots  int
	busy   time.Duration
	last   time.Time
	series map[series]map[int64]int
}

type series struct{ account, kind string }

// New returns a meter for an engine with the given slots.
func New(slots int) *Meter {
	return &Meter{slots: slots, series: map[series]map[int64]int{}}
}

// Token counts one token.
func (m *Meter) Token(account, kind string, now time.Time) {
	s := series{account, kind}
	if m.series[s] == nil {
		m.series[s] = map[int64]int{}
	}
	m.series[s][now.UnixMilli()/Bucket.Milliseconds()]++
}

// Busy counts the time since its last call for the slots in use.
func (m *Meter) Busy(running int, now time.Time) {
	if !m.last.IsZero() {
		m.busy += time.Duration(running) * now.Sub(m.last)
	}
	m.last = now
}

type report struct {
	BucketMS int64          `json:"bucket_ms"`
	Slots    int            `json:"slots"`
	BusySlot float64        `json:"busy_slot_seconds"`
	Service  []serviceEntry `json:"service"`
}

type serviceEntry struct {
	Account string        `json:"account"`
	Kind    string        `json:"kind"`
	Total   int           `json:"total"`
	Buckets map[int64]int `json:"buckets"`
}

// MarshalJSON returns the service so far: tokens in total and by bucket, whose
// number is the Unix time divided by the bucket's length.
func (m *Meter) MarshalJSON() ([]byte, error) {
	r := report{
		BucketMS: Bucket.Milliseconds(),
		Slots:    m.slots,
		BusySlot: m.busy.Seconds(),
		Service:  []serviceEntry{},
	}
	for s, buckets := range m.series {
		e := serviceEntry{Account: s.account, Kind: s.kind, Buckets: buckets}
		for _, n := range buckets {
			e.Total += n
		}
		r.Service = append(r.Service, e)
	}
	return json.Marshal(r)
}
