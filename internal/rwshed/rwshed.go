// Package rwshed decides whose requests a router refuses while its machine has no CPU
// time for all of them. A fraction that is drawn over all requests takes as much from an
// account of a few requests as from the one that fills the router; this package takes it
// from the accounts that ask for most there.
package rwshed

import (
	"math"
	"sync"
	"time"

	"redwingworks.example/internal/rwmaxmin"
)

const (
	// rateTime is the time constant of the rates of accounts, and forgetTime the time
	// without a request after which an account is forgotten.
	rateTime   = time.Second
	forgetTime = 10 * rateTime
	// levelInterval is how long the level holds before it is worked out again, and
	// levelGrowth the fraction of all requests that come before that. With an older
	// level, an account is refused for the growth of its own rate.
	levelInterval = 50 * time.Millisecond
	levelGrowth   = 0.02
)

// Shedder holds how many requests each account sends to one router. Its methods may be
// called concurrently.
type Shedder struct {
	mu       sync.Mutex
	accounts map[string]*account
	// level is the rate up to which the requests of an account are taken, for the
	// refused fraction ratio, as of levelAt.
	level, ratio float64
	levelAt      time.Time
	// total is the number of recent requests as of levelAt, and counted that of
	// requests since then.
	total, counted float64
}

type account struct {
	// recent is the number of requests as of at, each of which counts less with time.
	recent float64
	at     time.Time
}

// New returns a shedder that knows no accounts.
func New() *Shedder { return &Shedder{accounts: map[string]*account{}, level: math.Inf(1)} }

// Count counts a request of an account.
func (s *Shedder) Count(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[name]
	if a == nil {
		a = &account{at: now}
		s.accounts[name] = a
	}
	a.recent = a.decayed(now) + 1
	a.at = now
	s.counted++
}

func (a *account) decayed(now time.Time) float64 {
	return a.recent * math.Exp(-now.Sub(a.at).Seconds()/rateTime.Seconds())
}

// ShouldRefuse reports whether to refuse a request of an account, given the fraction of
// all requests to refuse and a random number from 0 to 1. Accounts get max-min fair
// shares of the rest: those that ask for less than their share are not refused.
func (s *Shedder) ShouldRefuse(now time.Time, name string, ratio, drawn float64) bool {
	if ratio <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ratio != s.ratio || now.Sub(s.levelAt) >= levelInterval || s.counted > levelGrowth*s.total {
		s.updateLevel(now, ratio)
	}
	a := s.accounts[name]
	return a != nil && drawn*a.decayed(now) >= s.level
}

// updateLevel works the level out and forgets accounts that are gone. The caller must
// hold the lock.
func (s *Shedder) updateLevel(now time.Time, ratio float64) {
	s.ratio, s.levelAt, s.counted = ratio, now, 0
	demands := make([]float64, 0, len(s.accounts))
	total := 0.0
	for name, a := range s.accounts {
		if now.Sub(a.at) > forgetTime {
			delete(s.accounts, name)
			continue
		}
		d := a.decayed(now)
		demands = append(demands, d)
		total += d
	}
	s.total = total
	s.level = rwmaxmin.Share((1-ratio)*total, demands)
}
