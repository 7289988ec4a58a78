// Package rwscenario runs a fleet with a load balancer and a load whose responses
// are checked, for one scenario of a measurement.
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
	startTimeout = 20 * time.Second
	// settleTime is the time for routers to discover each other and to agree on
	// the owners of cells.
	settleTime     = 2500 * time.Millisecond
	detectionDelay = time.Second
)

// Scenario is a fleet under test.
type Scenario struct {
	Fleet *rwtestbed.Testbed
	// Report counts the responses of all loads, except those that arrive after
	// the context of their load has ended.
	Report *rwreport.Report
	// Skipped is the number of requests that were not sent because too many were
	// in progress.
	Skipped atomic.Int64

	caller *rwcaller.Caller
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts a fleet with the policy. With sticky, the load balancer sends all
// requests of an account to one router. The processes write their output to the
// folder logDir. Step is the engines' time between tokens.
func Start(ctx context.Context, binDir, logDir, policy string, sticky bool, step time.Duration) (*Scenario, error) {
	s := &Scenario{Fleet: rwtestbed.New(binDir, logDir), Report: rwreport.New()}
	s.Fleet.Policy, s.Fleet.Step = policy, step
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Fleet.Start(limit); err != nil {
		s.Fleet.Close()
		return nil, err
	}
	balancer := rwbalancer.New(s.Fleet.Addrs(), sticky, detectionDelay)
	s.caller = rwcaller.New(balancer.Pick, 0)
	polling, stop := context.WithCancel(ctx)
	s.stop = stop
	s.wg.Go(func() { balancer.Run(polling) })
	Sleep(ctx, settleTime)
	return s, nil
}

// Close stops all processes.
func (s *Scenario) Close() {
	s.stop()
	s.wg.Wait()
	s.caller.Close()
	s.Fleet.Close()
}

// Load runs flows for a duration and waits for the last response or the end of the
// context. It calls observe, which may be nil, for each response.
func (s *Scenario) Load(ctx context.Context, seed uint64, flows []rwflow.Flow, duration time.Duration, observe func(rwjob.Job, rwresponse.Response)) {
	w := &rwworkload.Workload{
		Seed:  seed,
		Name:  strconv.FormatUint(rand.Uint64(), 36),
		Flows: flows,
		Send: func(ctx context.Context, j rwjob.Job) bool {
			r := s.caller.Send(ctx, j)
			if ctx.Err() == nil {
				s.Report.Add(j, r)
			}
			if observe != nil {
				observe(j, r)
			}
			return r.Verdict == rwverdict.Complete
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

// MaxControlRate runs the action and returns the largest number of control bytes
// per second that any router sent in the meantime.
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
	maxRate := 0.0
	for i := range before {
		maxRate = max(maxRate, float64(after[i]-before[i])/seconds)
	}
	return maxRate, nil
}

// Sleep waits for a duration or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
