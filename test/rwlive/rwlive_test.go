// Package rwlive_test tests with real processes what service accounts get while
// another account floods the fleet.
package rwlive_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwview"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	// bin is the output folder of make build.
	bin            = "../../bin"
	accountCount   = 16
	engineCount    = 10
	slotsPerEngine = 2
	step           = 20 * time.Millisecond
	maxTokens      = 40
	minTokens      = 20
	// costRate is the cost rate of the pool without faults, in tokens per
	// second.
	costRate = engineCount * slotsPerEngine * float64(time.Second) / float64(step)
	// floodFactor is the load of the flood as a multiple of the capacity.
	floodFactor = 10
	// concurrency is the number of outstanding requests of each other account.
	concurrency = 8
	// reportIntervalSeconds is the report interval of the design with 16
	// changed accounts.
	reportIntervalSeconds = 1.1
	// maxRequestCost is the maximum cost of one request: its tokens and its
	// prompt.
	maxRequestCost = maxTokens + 10
	// takeoverTime is the time until another router grants slots in place of a
	// dead one: the probe and the indirect probes, the suspicion, and the wait
	// for backlogs (design, sections 3.1 and 3.6). Each of 7 routers probes one
	// random member every 500 ms, so some router probes the dead one within a
	// second.
	takeoverTime = 1000*time.Millisecond + 700*time.Millisecond + 1500*time.Millisecond + 300*time.Millisecond
)

// starvationBound is the bound of section 3.2 of the design for a part of the
// pool: maxLag·B/R plus the longest request, for accounts of equal weight.
func starvationBound(part float64) time.Duration {
	s, r := engineCount*slotsPerEngine*part, costRate*part
	gap := 2*maxRequestCost*(1+2*s/accountCount) + 4*r*reportIntervalSeconds/accountCount
	return time.Duration(gap*accountCount/r*float64(time.Second)) + maxTokens*step
}

// serviceGaps records the longest time without a complete response for each
// account.
type serviceGaps struct {
	mu         sync.Mutex
	lastServed map[string]time.Time
	longestGap map[string]time.Duration
	// abandoned counts the requests of the other accounts without a response
	// within the bound.
	abandoned int
}

func (p *serviceGaps) recordServed(account string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.lastServed[account]; !last.IsZero() {
		p.longestGap[account] = max(p.longestGap[account], now.Sub(last))
	}
	p.lastServed[account] = now
}

type fixture struct {
	t       *testing.T
	ctx     context.Context
	testbed *rwtestbed.Testbed
	serviceGaps
}

func start(t *testing.T) *fixture {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &fixture{t: t, ctx: ctx, testbed: rwtestbed.New(bin, t.TempDir())}
	r.lastServed, r.longestGap = map[string]time.Time{}, map[string]time.Duration{}
	r.testbed.EqualShares, r.testbed.ProxyUpstreams, r.testbed.Slots, r.testbed.Step = true, true, slotsPerEngine, step
	t.Cleanup(r.testbed.Close)
	require.NoError(t, r.testbed.Start(ctx))
	require.Len(t, r.testbed.Engines, engineCount)
	require.Len(t, r.testbed.Accounts, accountCount)
	return r
}

// load sends the requests of all accounts, including the flood of the first
// one, until the context ends. Callers abandon a request after the timeout, such
// as one in another part of a partitioned fleet, so that the account continues
// with other requests.
func (r *fixture) load(ctx context.Context, timeout time.Duration) {
	flooder := r.testbed.Accounts[0].Name
	balancer := rwbalancer.New(r.testbed.Addrs(), false, 0)
	go balancer.Run(ctx)
	caller := rwcaller.New(balancer.Pick, 0)
	defer caller.Close()
	var flows []rwflow.Flow
	for i, c := range r.testbed.Accounts {
		f := rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[1], Pool: rwtestbed.ModelPool,
			Engine: true, MinTokens: minTokens, MaxTokens: maxTokens, Concurrency: concurrency,
		}
		if i == 0 {
			f.Kind, f.Concurrency, f.Rate = rwtestbed.Kinds[0], 0, floodFactor*costRate/((minTokens+maxTokens)/2)
		}
		flows = append(flows, f)
	}
	w := &rwworkload.Workload{Seed: 1, Name: "live", Flows: flows}
	w.Send = func(all context.Context, j rwjob.Job) bool {
		ctx, cancel := context.WithTimeout(all, timeout)
		defer cancel()
		a := caller.Send(ctx, j)
		if a.Verdict == rwverdict.Complete {
			r.recordServed(j.Account, time.Now())
		}
		if j.Account != flooder && ctx.Err() != nil && all.Err() == nil {
			r.mu.Lock()
			r.abandoned++
			r.mu.Unlock()
		}
		return a.Verdict == rwverdict.Complete
	}
	w.Run(ctx, time.Hour)
}

// waitServed waits until each account has been served.
func (r *fixture) waitServed() {
	for {
		r.mu.Lock()
		n := len(r.lastServed)
		r.mu.Unlock()
		if n == accountCount {
			return
		}
		require.NoError(r.t, r.ctx.Err(), "%d accounts were served", n)
		time.Sleep(20 * time.Millisecond)
	}
}

// owner returns the router that owns a cell of engines.
func (r *fixture) owner() *rwfleet.Proc {
	for {
		var v rwview.View
		require.NoError(r.t, rwfleet.Get(r.ctx, r.testbed.Routers[0].Ops, "/v1/view", &v))
		for _, c := range v.Cells {
			for _, p := range r.testbed.Routers {
				if c.Pool == rwtestbed.ModelPool && p.Name == c.Owner {
					return p
				}
			}
		}
		require.NoError(r.t, r.ctx.Err(), "no cell has an owner")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an account without service, or a request without a response,
// for longer than the starvation bound while another account sends 10 times the
// capacity and the owner of a cell is killed or the smallest zone is partitioned.
// In the latter case only accounts are checked, and the bound is that of the
// smallest part, since each zone continues with its own engines.
func TestFloodBesideAnotherFault(t *testing.T) {
	const smallest = 3.0 / engineCount
	cases := map[string]struct {
		bound time.Duration
		// all is set if every request must get a response within the bound. A
		// request sent into the other part just before a partition may take
		// longer.
		all   bool
		fault func(*fixture)
	}{
		"the owner of a cell is killed": {starvationBound(1) + takeoverTime, true, func(r *fixture) { r.owner().Kill() }},
		"a zone is partitioned": {starvationBound(smallest) + takeoverTime, false, func(r *fixture) {
			for _, other := range rwtestbed.Zones[:2] {
				r.testbed.Partition(other, rwtestbed.Zones[2])
				r.testbed.Partition(rwtestbed.Zones[2], other)
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			ctx, stop := context.WithCancel(r.ctx)
			var load sync.WaitGroup
			load.Go(func() { r.load(ctx, c.bound) })
			t.Cleanup(func() {
				stop()
				load.Wait()
			})
			r.waitServed()
			c.fault(r)
			time.Sleep(c.bound + time.Second)
			now := time.Now()
			late := ""
			for _, c := range r.testbed.Accounts {
				r.recordServed(c.Name, now)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			longest := time.Duration(0)
			for name, d := range r.longestGap {
				longest = max(longest, d)
				if d > c.bound {
					late += fmt.Sprintf("%s waited %v\n", name, d)
				}
			}
			t.Logf("longest time without service %v, bound %v, %d requests abandoned", longest, c.bound, r.abandoned)
			require.Empty(t, late)
			if c.all {
				require.Zero(t, r.abandoned)
			}
		})
	}
}
