// Package rwservicelog sums up the tokens that engines generated for accounts
// and kinds over time, as counted by the engines themselves.
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

// Read sums up the service of all engines so far.
func Read(ctx context.Context, engines []*rwfleet.Proc) (*Usage, error) {
	u := &Usage{}
	for _, p := range engines {
		var r serviceReport
		if err := rwfleet.Get(ctx, p.Addr, "/service", &r); err != nil {
			return nil, err
		}
		u.bucketWidth = time.Duration(r.BucketMS) * time.Millisecond
		u.busySlotTime += time.Duration(r.BusySlotSeconds * float64(time.Second))
		for _, s := range r.Service {
			for at, n := range s.Buckets {
				number, err := strconv.ParseInt(at, 10, 64)
				if err != nil {
					return nil, rwfault.Wrap(rwcode.UpstreamMalformed, err)
				}
				u.Add(s.Account, s.Kind, time.UnixMilli(number*r.BucketMS), n)
			}
		}
	}
	return u, nil
}

const defaultBucketWidth = 100 * time.Millisecond

// Add counts tokens that were served at the given time.
func (u *Usage) Add(account, kind string, at time.Time, tokens int) {
	if u.buckets == nil {
		u.buckets = map[series]map[int64]int{}
	}
	s := series{account, kind}
	if u.buckets[s] == nil {
		u.buckets[s] = map[int64]int{}
	}
	u.buckets[s][u.bucketNumber(at)] += tokens
}

// bucketNumber returns the number of the bucket that contains a time.
func (u *Usage) bucketNumber(at time.Time) int64 {
	if u.bucketWidth == 0 {
		u.bucketWidth = defaultBucketWidth
	}
	return at.UnixMilli() / u.bucketWidth.Milliseconds()
}

// BusySlotTime returns the time that slots were in use, summed over all slots.
func (u *Usage) BusySlotTime() time.Duration { return u.busySlotTime }

// Tokens returns the tokens served in the buckets from one time up to another.
// An empty account or kind matches all.
func (u *Usage) Tokens(account, kind string, from, to time.Time) int {
	first, last := u.bucketNumber(from), u.bucketNumber(to)
	sum := 0
	for s, buckets := range u.buckets {
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

// FairnessGap returns the largest difference between the weighted service of
// two accounts since the first time, at any time up to the last, in tokens per
// share. The map holds the shares of the accounts, all of which must have had a
// backlog throughout.
func (u *Usage) FairnessGap(shares map[string]int, from, to time.Time) float64 {
	served := map[string]int{}
	worst := 0.0
	for at := u.bucketNumber(from); at < u.bucketNumber(to); at++ {
		for s, buckets := range u.buckets {
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
