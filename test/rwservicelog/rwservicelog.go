// Package rwservicelog adds up the service that engines gave to accounts and kinds
// over time, from the engines' own counts.
package rwservicelog

import (
	"context"
	"strconv"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwfleet"
)

// Usage is the service of a set of engines. The zero value is empty.
type Usage struct {
	bucketWidth  time.Duration
	buckets      map[series]map[int64]int
	busySlotTime time.Duration
}

type series struct{ account, kind string }

type serviceReport struct {
	BucketMS        int64   `json:"bucket_ms"`
	BusySlotSeconds float64 `json:"busy_slot_seconds"`
	Service         []struct {
		Account, Kind string
		Buckets       map[string]int
	}
}

// Read adds up the service of all engines so far.
func Read(ctx context.Context, engines []*rwfleet.Proc) (*Usage, error) {
	t := &Usage{}
	for _, p := range engines {
		var r serviceReport
		if err := rwfleet.Get(ctx, p.Addr, "/service", &r); err != nil {
			return nil, err
		}
		t.bucketWidth = time.Duration(r.BucketMS) * time.Millisecond
		t.busySlotTime += time.Duration(r.BusySlotSeconds * float64(time.Second))
		for _, s := range r.Service {
			for at, n := range s.Buckets {
				number, err := strconv.ParseInt(at, 10, 64)
				if err != nil {
					return nil, rwfault.Wrap(rwcode.UpstreamMalformed, err)
				}
				t.Add(s.Account, s.Kind, time.UnixMilli(number*r.BucketMS), n)
			}
		}
	}
	return t, nil
}

const defaultBucketWidth = 100 * time.Millisecond

// Add counts tokens that were served at a time.
func (t *Usage) Add(account, kind string, at time.Time, tokens int) {
	if t.buckets == nil {
		t.buckets = map[series]map[int64]int{}
	}
	s := series{account, kind}
	if t.buckets[s] == nil {
		t.buckets[s] = map[int64]int{}
	}
	t.buckets[s][t.bucketNumber(at)] += tokens
}

// bucketNumber is the bucket of a time.
func (t *Usage) bucketNumber(at time.Time) int64 {
	if t.bucketWidth == 0 {
		t.bucketWidth = defaultBucketWidth
	}
	return at.UnixMilli() / t.bucketWidth.Milliseconds()
}

// BusySlotTime is the time that slots were in use, added up over all slots.
func (t *Usage) BusySlotTime() time.Duration { return t.busySlotTime }

// Tokens returns the tokens served in the buckets from one time up to another.
// An empty account or kind stands for all.
func (t *Usage) Tokens(account, kind string, from, to time.Time) int {
	first, last := t.bucketNumber(from), t.bucketNumber(to)
	sum := 0
	for s, buckets := range t.buckets {
		if account != "" && s.account != account || kind != "" && s.kind != kind {
			continue
		}
		for at, n := range buckets {
			if at >= first && at < last {
				sum += n
			}
		}
	}
	return sum
}

// FairnessGap returns the largest difference between the weighted service of two
// accounts since the first time, at any time up to the last, in tokens per
// share. All accounts of the map, which holds their shares, must have been
// backlogged all along.
func (t *Usage) FairnessGap(shares map[string]int, from, to time.Time) float64 {
	served := map[string]int{}
	worst := 0.0
	for at := t.bucketNumber(from); at < t.bucketNumber(to); at++ {
		for s, buckets := range t.buckets {
			served[s.account] += buckets[at]
		}
		worst = max(worst, spread(served, shares))
	}
	return worst
}

func spread(served, shares map[string]int) float64 {
	first := true
	var least, most float64
	for account, share := range shares {
		v := float64(served[account]) / float64(share)
		if first {
			least, most, first = v, v, false
		}
		least, most = min(least, v), max(most, v)
	}
	return most - least
}
