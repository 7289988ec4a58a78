// Package rwlive_test holds tests with real processes of the service that
// accounts get while another one floods the fleet.
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
	// bin is where make build puts the programs.
	bin      = "../../bin"
	accounts = 16
	engines  = 10
	slots    = 2
	step     = 20 * time.Millisecond
	longest  = 40
	shortest = 20
	// rate is the pool's cost rate without a fault, in tokens per second.
	rate = engines * slots * float64(time.Second) / float64(step)
	// flood is the flood's work as a multiple of the capacity.
	flood = 10
	// waiting is the work that each other account always has.
	waiting = 8
	// interval is the report interval of the design with 16 changed accounts.
	interval = 1.1
	// largest is the largest cost of one request: its tokens and its prompt.
	largest = longest + 10
	// takeover is the time until another router grants in place of a dead one:
	// the probe and its relays, the suspicion, and the wait for levels
	// (design, sections 3.1 and 3.6). Each of 7 routers probes one random
	// member every 500 ms, so some router probes the dead one in each second.
	takeover = 1000*time.Millisecond + 700*time.Millisecond + 1500*time.Millisecond + 300*time.Millisecond
)

// starvation is the bound of the design, section 3.2, for a part of the pool:
// maxLag·B/R and the longest request, for accounts of equal weight.
func starvation(part float64) time.Duration {
	s, r := engines*slots*part, rate*part
	gap := 2*largest*(1+2*s/accounts) + 4*r*interval/accounts
	return time.Duration(gap*accounts/r*float64(time.Second)) + longest*step
}

// progress records the longest time without a whole answer by account.
type progress struct {
	mu    sync.Mutex
	last  map[string]time.Time
	worst map[string]time.Duration
	// gaveUp counts the requests of the other accounts that had no answer
	// within the bound.
	gaveUp int
}

func (p *progress) note(account string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.last[account]; !last.IsZero() {
		p.worst[account] = max(p.worst[account], now.Sub(last))
	}
	p.last[account] = now
}

type rig struct {
	t     *testing.T
	ctx   context.Context
	fleet *rwtestbed.Testbed
	progress
}

func start(t *testing.T) *rig {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &rig{t: t, ctx: ctx, fleet: rwtestbed.New(bin, t.TempDir())}
	r.last, r.worst = map[string]time.Time{}, map[string]time.Duration{}
	r.fleet.EqualShares, r.fleet.ProxyUpstreams, r.fleet.Slots, r.fleet.Step = true, true, slots, step
	t.Cleanup(r.fleet.Close)
	require.NoError(t, r.fleet.Start(ctx))
	require.Len(t, r.fleet.Engines, engines)
	require.Len(t, r.fleet.Clients, accounts)
	return r
}

// load sends the work of all accounts and the flood of the first one until the
// context ends. Callers give up answers that are late, as those of a part of
// the fleet that is cut off: the account goes on with other work.
func (r *rig) load(ctx context.Context, patience time.Duration) {
	flooder := r.fleet.Clients[0].Name
	balancer := rwbalancer.New(r.fleet.Addrs(), false, 0)
	go balancer.Run(ctx)
	caller := rwcaller.New(balancer.Pick, 0)
	defer caller.Close()
	var flows []rwflow.Flow
	for i, c := range r.fleet.Clients {
		f := rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[1], Pool: rwtestbed.ModelPool,
			Engine: true, MinTokens: shortest, MaxTokens: longest, Concurrency: waiting,
		}
		if i == 0 {
			f.Kind, f.Concurrency, f.Rate = rwtestbed.Kinds[0], 0, flood*rate/((shortest+longest)/2)
		}
		flows = append(flows, f)
	}
	w := &rwworkload.Workload{Seed: 1, Name: "live", Flows: flows}
	w.Send = func(all context.Context, j rwjob.Job) bool {
		ctx, cancel := context.WithTimeout(all, patience)
		defer cancel()
		a := caller.Send(ctx, j)
		if a.Verdict == rwverdict.Complete {
			r.note(j.Account, time.Now())
		}
		if j.Account != flooder && ctx.Err() != nil && all.Err() == nil {
			r.mu.Lock()
			r.gaveUp++
			r.mu.Unlock()
		}
		return a.Verdict == rwverdict.Complete
	}
	w.Run(ctx, time.Hour)
}

// waitServed waits until each account was served.
func (r *rig) waitServed() {
	for {
		r.mu.Lock()
		n := len(r.last)
		r.mu.Unlock()
		if n == accounts {
			return
		}
		require.NoError(r.t, r.ctx.Err(), "%d accounts were served", n)
		time.Sleep(20 * time.Millisecond)
	}
}

// owner returns the router that owns a cell of engines.
func (r *rig) owner() *rwfleet.Proc {
	for {
		var v rwview.View
		require.NoError(r.t, rwfleet.Get(r.ctx, r.fleet.Routers[0].Ops, "/v1/view", &v))
		for _, c := range v.Cells {
			for _, p := range r.fleet.Routers {
				if c.Pool == rwtestbed.ModelPool && p.Name == c.Owner {
					return p
				}
			}
		}
		require.NoError(r.t, r.ctx.Err(), "no cell has an owner")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an account that gets nothing, or a request without an answer,
// for longer than the starvation bound while another account sends 10 times the
// capacity and the owner of a cell is killed, or the smallest zone is cut off;
// in the latter case only accounts are checked. The bound for the cut is that of
// the smallest part, as each zone goes on with its own engines.
func TestFloodBesideAnotherFault(t *testing.T) {
	const smallest = 3.0 / engines
	cases := map[string]struct {
		bound time.Duration
		// all is whether each request must be answered within the bound.
		// One that was sent over a cut just before it may take longer.
		all   bool
		fault func(*rig)
	}{
		"the owner of a cell is killed": {starvation(1) + takeover, true, func(r *rig) { r.owner().Kill() }},
		"a zone is cut off": {starvation(smallest) + takeover, false, func(r *rig) {
			for _, other := range rwtestbed.Zones[:2] {
				r.fleet.Cut(other, rwtestbed.Zones[2])
				r.fleet.Cut(rwtestbed.Zones[2], other)
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
			for _, c := range r.fleet.Clients {
				r.note(c.Name, now)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			longest := time.Duration(0)
			for name, d := range r.worst {
				longest = max(longest, d)
				if d > c.bound {
					late += fmt.Sprintf("%s waited %v\n", name, d)
				}
			}
			t.Logf("longest time without service %v, bound %v, %d requests given up", longest, c.bound, r.gaveUp)
			require.Empty(t, late)
			if c.all {
				require.Zero(t, r.gaveUp)
			}
		})
	}
}
