package rwcoldguard

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwpicker"
	"redwingworks.example/internal/rwplacement"
)

const (
	plainUpstreams = 5
	plainSeeds     = 8
	// plainPerRouter is the number of requests a second at each router, of a service
	// with 280 in 83 routers.
	plainPerRouter = 3.4
	plainService   = "orders"
	plainAccounts  = 30
)

// plainRouter is a router that sends requests of a plain service itself.
type plainRouter struct {
	*router
	picker *rwpicker.Picker
}

func plainEntries(returned bool) []rwinstance.Instance {
	var list []rwinstance.Instance
	for i := range plainUpstreams {
		in := rwinstance.Instance{ID: engineID(i), Service: plainService, Zone: zoneName(i), Slots: 6, StartMillis: 1}
		if returned && i == 0 {
			in.StartMillis, in.Cold = 2, coldStart
		}
		list = append(list, in)
	}
	return list
}

func zoneName(i int) string { return string(rune('a' + i%3)) }

// plainRequest has a router send a request, and again after a failure.
func (s *site) plainRequest(r *plainRouter, account string, avoid []string) {
	if !s.running(r.router) || len(avoid) == plainUpstreams {
		return
	}
	now := s.time()
	in, ok := r.picker.Pick(now, plainEntries(false), func(id string) bool {
		return slices.Contains(avoid, id) || !r.PlainRoom(now, plainService, id, account)
	})
	if !ok {
		return
	}
	notAfter := r.PlainTaken(now, plainService, in.ID, account)
	sent := s.now
	done := func(end rwplacement.End) {
		r.picker.Done(s.time(), in.ID, end, s.now-sent)
		r.Ended(s.time(), in.ID, end)
	}
	s.after(s.between(0, 50*time.Millisecond), func() {
		dark := in.ID == engineID(0) && s.now >= darkAt && s.now < returnsAt
		switch {
		case !s.running(r.router):
			done(rwplacement.Abandoned)
		case !notAfter.IsZero() && s.time().After(notAfter):
			done(rwplacement.Abandoned)
		case dark:
			done(rwplacement.Unreachable)
			s.plainRequest(r, account, append(slices.Clone(avoid), in.ID))
		default:
			if in.ID == engineID(0) && s.now >= returnsAt && s.now < returnsAt+coldStart {
				s.arrivals[0] = append(s.arrivals[0], s.now)
			}
			s.after(s.between(40*time.Millisecond, 100*time.Millisecond), func() {
				s.served++
				done(rwplacement.Served)
			})
		}
	})
}

// runPlain plays routers that send requests of a plain service, one of whose upstreams
// is dark from darkAt to returnsAt and then cold. News of the return come late.
func (s *site) runPlain() {
	for i, base := range s.routers {
		r := &plainRouter{router: base, picker: rwpicker.New(zoneName(i))}
		r.ObserveUpstreams(s.time(), plainEntries(false), r.Service)
		for at := s.between(0, 200*time.Millisecond); at < end; at += 200 * time.Millisecond {
			s.at(at, func() {
				if s.running(r.router) {
					s.detect(r.router)
					r.ObserveRouters(s.time(), slices.Clone(r.live))
				}
			})
		}
		for at := 3 * time.Second; at < end; at += requestStep {
			if s.rng.Float64() < plainPerRouter*requestStep.Seconds() {
				account := "a" + string(rune('a'+s.rng.IntN(plainAccounts)))
				s.at(at, func() { s.plainRequest(r, account, nil) })
			}
		}
		s.at(returnsAt+s.between(0, 1500*time.Millisecond), func() { r.ObserveUpstreams(s.time(), plainEntries(true), r.Service) })
	}
	s.play()
}

// TestPlainBoundOverAllRouters guards against more requests at a cold upstream of a
// plain service than it bears when it returns from a silence that each router sees in
// few requests of its own.
func TestPlainBoundOverAllRouters(t *testing.T) {
	for _, name := range []string{"nothing", "owner lost", "owner frozen", "three views", "each alone"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(plainSeeds) {
				s := newSite(seed)
				trouble[name](s)
				s.runPlain()
				require.LessOrEqual(t, float64(s.busiest()), bound, "seed %d", seed)
				require.Positive(t, s.served)
			}
		})
	}
}
