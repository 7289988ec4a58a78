// Package rwscenario is a running fleet with a balancer and a checked load, for
// one scenario of a measurement.
package rwscenario

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	startLimit = 20 * time.Second
	// settleTime lets routers find each other and settle ownership.
	settleTime = 2500 * time.Millisecond
	notice     = time.Second
)

// Scenario is a fleet under test.
type Scenario struct {
	Fleet *rwtestbed.Testbed
	// Report counts all answers of the scene.
	Report *rwreport.Report
	// Skipped is the number of arrivals that were not sent since too many
	// requests were in progress.
	Skipped atomic.Int64

	caller *rwcaller.Caller
	stop   context.CancelFunc
	all    sync.WaitGroup
}

// Start starts a fleet with the policy. Sticky sends all work of an account
// to one router. Logs is the folder for the processes' output, step the
// engines' time between tokens.
func Start(ctx context.Context, bin, logs, policy string, sticky bool, step time.Duration) (*Scenario, error) {
	s := &Scenario{Fleet: rwtestbed.New(bin, logs), Report: rwreport.New()}
	s.Fleet.Policy, s.Fleet.Step = policy, step
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := s.Fleet.Start(limit); err != nil {
		s.Fleet.Close()
		return nil, err
	}
	balancer := rwbalancer.New(s.Fleet.Addrs(), sticky, notice)
	s.caller = rwcaller.New(balancer.Pick, 0)
	polling, stop := context.WithCancel(ctx)
	s.stop = stop
	s.all.Go(func() { balancer.Run(polling) })
	Sleep(ctx, settleTime)
	return s, nil
}

// Close ends all processes.
func (s *Scenario) Close() {
	s.stop()
	s.all.Wait()
	s.caller.Close()
	s.Fleet.Close()
}

// Load runs flows for a duration and waits for the last answer or the end of
// the context. Observe, which may be nil, gets each answer.
func (s *Scenario) Load(ctx context.Context, seed uint64, flows []rwflow.Flow, duration time.Duration, observe func(rwjob.Job, rwresponse.Response)) {
	w := &rwworkload.Workload{
		Seed:  seed,
		Name:  strconv.FormatUint(rand.Uint64(), 36),
		Flows: flows,
		Send: func(ctx context.Context, j rwjob.Job) bool {
			a := s.caller.Send(ctx, j)
			if ctx.Err() == nil {
				s.Report.Add(j, a)
			}
			if observe != nil {
				observe(j, a)
			}
			return a.Verdict == rwverdict.Complete
		},
	}
	w.Run(ctx, duration)
	s.Skipped.Add(w.Skipped())
}

// ControlBytes returns the bytes that each router has sent to other routers
// and to the platform.
func (s *Scenario) ControlBytes(ctx context.Context) ([]int64, error) {
	var out []int64
	for _, p := range s.Fleet.Routers {
		var vars struct{ Counters map[string]int64 }
		if err := rwfleet.Get(ctx, p.Ops, "/debug/vars", &vars); err != nil {
			return nil, err
		}
		out = append(out, vars.Counters["peer_bytes_sent"]+vars.Counters["platform_bytes_sent"])
	}
	return out, nil
}

// MaxControlRate measures the largest number of control bytes per second that any
// router sends while the action runs.
func (s *Scenario) MaxControlRate(ctx context.Context, action func()) (float64, error) {
	start := time.Now()
	before, err := s.ControlBytes(ctx)
	if err != nil {
		return 0, err
	}
	action()
	seconds := time.Since(start).Seconds()
	after, err := s.ControlBytes(ctx)
	if err != nil {
		return 0, err
	}
	most := 0.0
	for i := range before {
		most = max(most, float64(after[i]-before[i])/seconds)
	}
	return most, nil
}

// Sleep waits for a time or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
