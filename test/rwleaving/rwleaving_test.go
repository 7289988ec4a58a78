// Package rwleaving_test tests leaving upstreams with real processes.
package rwleaving_test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwview"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwlink"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	// bin is the output folder of make build.
	bin = "../../bin"
	// leavingBound is the design's limit from publication to the last new
	// request.
	leavingBound = 3 * time.Second
	// observationTime is how long the engine's log is observed after the bound.
	observationTime = 2 * time.Second
	step            = 5 * time.Millisecond
	// maxFleets is the maximum number of fleets that run concurrently.
	maxFleets = 2
	// viewTimeout prevents a paused router from blocking a test.
	viewTimeout = 200 * time.Millisecond
)

var fleets = make(chan struct{}, maxFleets)

// fixture is a fleet whose engines are all busy.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	testbed *rwtestbed.Testbed
	report  *rwreport.Report
}

func start(t *testing.T) *fixture {
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &fixture{t: t, ctx: ctx, testbed: rwtestbed.New(bin, t.TempDir()), report: rwreport.New()}
	r.testbed.Step, r.testbed.ProxyUpstreams = step, true
	t.Cleanup(r.testbed.Close)
	require.NoError(t, r.testbed.Start(ctx))
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { r.load(loadCtx) })
	t.Cleanup(func() {
		stop()
		load.Wait()
	})
	return r
}

// load keeps more requests waiting than the engines have slots.
func (r *fixture) load(ctx context.Context) {
	balancer := rwbalancer.New(r.testbed.Addrs(), false, 0)
	go balancer.Run(ctx)
	caller := rwcaller.New(balancer.Pick, 0)
	defer caller.Close()
	var flows []rwflow.Flow
	for _, c := range r.testbed.Accounts {
		flows = append(flows, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[0], Pool: rwtestbed.ModelPool,
			Engine: true, Concurrency: 4, MinTokens: 1, MaxTokens: 20,
		})
	}
	w := &rwworkload.Workload{Seed: 1, Name: "leaving", Flows: flows}
	w.Send = func(ctx context.Context, j rwjob.Job) bool {
		a := caller.Send(ctx, j)
		if ctx.Err() == nil {
			r.report.Add(j, a)
		}
		return a.Verdict == rwverdict.Complete
	}
	w.Run(ctx, time.Hour)
}

type execution struct {
	ID    string
	Start time.Time
}

// executions returns the engine's executions that started after the given time.
func (r *fixture) executions(engine *rwfleet.Proc, after time.Time) []execution {
	var all, late []execution
	require.NoError(r.t, rwfleet.Get(r.ctx, engine.Addr, "/log", &all))
	for _, e := range all {
		if e.Start.After(after) {
			late = append(late, e)
		}
	}
	return late
}

// waitUsed waits until the engine has executed two new requests per router on
// average, so that the routers are likely to be using it.
func (r *fixture) waitUsed(engine *rwfleet.Proc) {
	now := time.Now()
	for len(r.executions(engine, now)) < 2*len(r.testbed.Routers) {
		require.NoError(r.t, r.ctx.Err(), "%s is not used", engine.Name)
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *fixture) publishLeaving(engine *rwfleet.Proc) {
	record := r.testbed.UpstreamRecord(engine, rwtestbed.ModelPool, "engine", "leaving", 1)
	require.NoError(r.t, rwfleet.Publish(r.ctx, r.testbed.Platform.Addr, record))
}

// view returns a router's view, or an empty one if the router is paused.
func (r *fixture) view(p *rwfleet.Proc) (v rwview.View) {
	ctx, cancel := context.WithTimeout(r.ctx, viewTimeout)
	defer cancel()
	_ = rwfleet.Get(ctx, p.Ops, "/v1/view", &v)
	return v
}

// waitListed waits until some router lists the engine as leaving.
func (r *fixture) waitListed(engine *rwfleet.Proc) {
	for {
		for _, p := range r.testbed.Routers {
			for _, u := range r.view(p).Upstreams {
				if u.Name == engine.Name && u.State == "leaving" {
					return
				}
			}
		}
		require.NoError(r.t, r.ctx.Err(), "no router lists %s as leaving", engine.Name)
		time.Sleep(5 * time.Millisecond)
	}
}

// useStaleReplica keeps the replica at the current revision and connects routers
// to it.
func (r *fixture) useStaleReplica(routers ...*rwfleet.Proc) {
	var now struct{ Rev int64 }
	require.NoError(r.t, rwfleet.Get(r.ctx, r.testbed.Platform.Addr, "/v1/records", &now))
	require.NoError(r.t, rwfleet.PostAdmin(r.ctx, r.testbed.Platform.Addr, "stale", map[string]any{"rev": now.Rev}))
	for _, p := range routers {
		r.testbed.UseReplica(p.Name, true)
	}
}

func (r *fixture) disconnectPlatform() {
	for _, p := range r.testbed.Routers {
		r.testbed.SetPlatformLink(p.Name, rwlink.Link{Up: rwdirection.Direction{Stall: true}, Down: rwdirection.Direction{Stall: true}})
	}
}

func (r *fixture) restart(p *rwfleet.Proc) {
	p.Kill()
	require.NoError(r.t, r.testbed.StartRouter(p))
}

// partitionZone partitions a zone from the others in both directions.
func (r *fixture) partitionZone(zone string) {
	for _, other := range rwtestbed.Zones {
		if other != zone {
			r.testbed.Partition(zone, other)
			r.testbed.Partition(other, zone)
		}
	}
}

// Guards against a router that starts requests at an upstream later than the
// bound after it was published as leaving, with up to two faults. In each case
// every router can be reached from the platform or from a router that has the
// record.
func TestPublishedLeaving(t *testing.T) {
	cases := map[string]struct {
		before, after func(*fixture)
	}{
		"no fault":          {},
		"the platform ends": {after: func(r *fixture) { r.disconnectPlatform() }},
		"a router reads a stale replica": {
			before: func(r *fixture) { r.useStaleReplica(r.testbed.Routers[0]) },
		},
		"a zone reads a stale replica and the platform ends": {
			before: func(r *fixture) { r.useStaleReplica(r.testbed.Routers[:3]...) },
			after:  func(r *fixture) { r.disconnectPlatform() },
		},
		"a router restarts with a stale replica": {
			before: func(r *fixture) { r.useStaleReplica(r.testbed.Routers[0]) },
			after:  func(r *fixture) { r.restart(r.testbed.Routers[0]) },
		},
		"a router is paused and resumes after the bound": {
			before: func(r *fixture) { r.testbed.Routers[1].Signal(syscall.SIGSTOP) },
			after: func(r *fixture) {
				time.AfterFunc(leavingBound, func() { r.testbed.Routers[1].Signal(syscall.SIGCONT) })
			},
		},
		"the zone is partitioned": {
			before: func(r *fixture) { r.partitionZone(rwtestbed.Zones[0]) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			engine := r.testbed.Engines[0]
			r.waitUsed(engine)
			if c.before != nil {
				c.before(r)
			}
			published := time.Now()
			r.publishLeaving(engine)
			if c.after != nil {
				r.waitListed(engine)
				c.after(r)
			}
			r.check(engine, published)
		})
	}
}

// check observes the engine's log until observationTime after the bound.
// Another engine must have executed requests in this time, or an empty log
// would prove nothing.
func (r *fixture) check(engine *rwfleet.Proc, from time.Time) {
	limit := from.Add(leavingBound)
	time.Sleep(time.Until(limit.Add(observationTime)))
	require.Empty(r.t, r.executions(engine, limit), "published at %v", from)
	require.NotEmpty(r.t, r.executions(r.testbed.Engines[1], limit))
	require.Empty(r.t, r.report.WrongAnswers())
}

// Guards against a router that continues to use an engine that refuses new
// requests as leaving. The engine accepts requests again after the bound, so
// that every request that a router sends shows in its log.
func TestEngineRefusesAsLeaving(t *testing.T) {
	r := start(t)
	engine := r.testbed.Engines[0]
	r.waitUsed(engine)
	from := time.Now()
	require.NoError(t, rwfleet.PostAdmin(r.ctx, engine.Addr, "state", map[string]string{"state": "leaving"}))
	time.Sleep(time.Until(from.Add(leavingBound)))
	require.NoError(t, rwfleet.PostAdmin(r.ctx, engine.Addr, "state", map[string]string{"state": "live"}))
	r.check(engine, from)
}
