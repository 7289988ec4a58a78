// Package rwfailure keeps the rate at which recent requests to an upstream
// failed.
package rwfailure

import (
	"math"
	"time"
)

// halfLife is the half-life of a rate without new outcomes; through the decay,
// a failing upstream is tried again.
const halfLife = 2 * time.Second

// Rate is a failure rate from 0 to 1 that decays over time. The zero value is a
// rate of 0.
type Rate struct {
	rate float64
	at   time.Time
}

// Record adds the outcome of a request with a weight from 0 to 1.
func (r *Rate) Record(now time.Time, failed bool, weight float64) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := r.At(now)
	r.rate, r.at = rate+weight*(outcome-rate), now
}

// At returns the rate at a time.
func (r *Rate) At(now time.Time) float64 {
	return r.rate * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}
