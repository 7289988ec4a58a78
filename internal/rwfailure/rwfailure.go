// Package rwfailure keeps the part of an upstream's recent requests that
// failed.
package rwfailure

import (
	"math"
	"time"
)

// halfLife is the time in which a rate halves while nothing is noted, so that a
// sick upstream is tried again.
const halfLife = 2 * time.Second

// Rate is a decayed failure rate from 0 to 1. The zero value is a rate of 0.
type Rate struct {
	rate float64
	at   time.Time
}

// Record counts the outcome of a request with a weight from 0 to 1.
func (r *Rate) Record(now time.Time, failed bool, weight float64) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := r.At(now)
	r.rate, r.at = rate+weight*(outcome-rate), now
}

// At is the rate at a time.
func (r *Rate) At(now time.Time) float64 {
	return r.rate * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}
