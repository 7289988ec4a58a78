// Package rwmeter counts the tokens that an engine generates for each account and
// kind over time, and the time for which its slots are busy.
package rwmeter

import (
	"encoding/json"
	"time"
)

// Bucket is the time resolution of token counts. Buckets are aligned to the wall
// clock, so that counts of several engines can be added.
const Bucket = 100 * time.Millisecond

// Meter holds the counts of one engine. It is not safe for concurrent use.
type Meter struct {
	slots      int
	busy       time.Duration
	lastUpdate time.Time
	series     map[accountKind]map[int64]int
}

type accountKind struct{ account, kind string }

// New returns a meter for an engine with the given slots.
func New(slots int) *Meter {
	return &Meter{slots: slots, series: map[accountKind]map[int64]int{}}
}

// CountToken counts one token generated now.
func (m *Meter) CountToken(account, kind string, now time.Time) {
	s := accountKind{account, kind}
	if m.series[s] == nil {
		m.series[s] = map[int64]int{}
	}
	m.series[s][now.UnixMilli()/Bucket.Milliseconds()]++
}

// AddBusyTime adds the time since its last call for each running request.
func (m *Meter) AddBusyTime(running int, now time.Time) {
	if !m.lastUpdate.IsZero() {
		m.busy += time.Duration(running) * now.Sub(m.lastUpdate)
	}
	m.lastUpdate = now
}

type usageReport struct {
	BucketMS        int64          `json:"bucket_ms"`
	Slots           int            `json:"slots"`
	BusySlotSeconds float64        `json:"busy_slot_seconds"`
	Service         []serviceEntry `json:"service"`
}

type serviceEntry struct {
	Account string        `json:"account"`
	Kind    string        `json:"kind"`
	Total   int           `json:"total"`
	Buckets map[int64]int `json:"buckets"`
}

// MarshalJSON returns the busy time and, by account and kind, the tokens in total
// and by bucket. The number of a bucket is the Unix time divided by its length.
func (m *Meter) MarshalJSON() ([]byte, error) {
	r := usageReport{
		BucketMS:        Bucket.Milliseconds(),
		Slots:           m.slots,
		BusySlotSeconds: m.busy.Seconds(),
		Service:         []serviceEntry{},
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
