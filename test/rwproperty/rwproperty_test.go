// Package rwproperty_test tries to violate the properties of the design in a
// fleet of real processes. It compares the responses to callers with the logs of
// the upstreams.
package rwproperty_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwlink"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	// bin is the output folder of make build.
	bin = "../../bin"
	// orderConcurrency is the number of outstanding orders of each account.
	orderConcurrency = 2
	// leavingBound and configBound are the limits of P6 and P8 in the design.
	leavingBound = 3 * time.Second
	configBound  = 4 * time.Second
	step         = 5 * time.Millisecond
	// settleTime is the time for routers to find each other.
	settleTime = 2500 * time.Millisecond
	retries    = 6
)

// seed returns the seed of make prove, or 1.
func seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("REDWING_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

type completedRequest struct {
	job      rwjob.Job
	response rwresponse.Response
}

type fixture struct {
	t        *testing.T
	testbed  *rwtestbed.Testbed
	balancer *rwbalancer.Balancer
	caller   *rwcaller.Caller
	report   *rwreport.Report

	// faults is the log of injected faults.
	faults []string

	mu        sync.Mutex
	completed []completedRequest
}

func start(t *testing.T) *fixture { return startWith(t, false) }

// startWith starts a fleet. With fence, some services check fencing tokens.
func startWith(t *testing.T, fence bool) *fixture {
	s := &fixture{t: t, testbed: rwtestbed.New(bin, t.TempDir()), report: rwreport.New()}
	s.testbed.Step, s.testbed.CheckFencing = step, fence
	t.Cleanup(s.testbed.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, s.testbed.Start(ctx))
	s.balancer = rwbalancer.New(s.testbed.Addrs(), false, 200*time.Millisecond)
	s.caller = rwcaller.New(s.balancer.Pick, retries)
	t.Cleanup(s.caller.Close)
	go s.balancer.Run(t.Context())
	time.Sleep(settleTime)
	return s
}

// load sends the flows. The returned function waits for the last response.
func (s *fixture) load(flows []rwflow.Flow, duration time.Duration) (wait func()) {
	w := &rwworkload.Workload{Seed: seed(), Name: strconv.FormatInt(time.Now().UnixNano(), 36), Flows: flows}
	w.Send = func(ctx context.Context, j rwjob.Job) bool {
		a := s.caller.Send(ctx, j)
		s.report.Add(j, a)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.completed = append(s.completed, completedRequest{j, a})
		return a.Verdict == rwverdict.Complete
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), duration+20*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, duration)
	}()
	return func() {
		<-done
		cancel()
	}
}

// modelFlows keeps the given number of model requests of every account
// outstanding.
func (s *fixture) modelFlows(concurrency int) []rwflow.Flow {
	var out []rwflow.Flow
	for i, c := range s.testbed.Accounts {
		out = append(out, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%4], Pool: rwtestbed.ModelPool,
			Engine: true, Concurrency: concurrency, MinTokens: 5, MaxTokens: 60, Prompts: 3,
		})
	}
	return out
}

func (s *fixture) orderFlows() []rwflow.Flow {
	var out []rwflow.Flow
	for _, c := range s.testbed.Accounts {
		out = append(out, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Order, Pool: rwtestbed.OrderPool,
			Concurrency: orderConcurrency, Keyed: true,
		})
	}
	return out
}

func (s *fixture) publish(records ...rwrecord.Record) {
	require.NoError(s.t, rwfleet.Publish(s.t.Context(), s.testbed.Platform.Addr, records...))
}

func (s *fixture) admin(p *rwfleet.Proc, path string, value any) {
	require.NoError(s.t, rwfleet.PostAdmin(s.t.Context(), p.Addr, path, value))
}

// P3: guards against a damaged engine stream that reaches a caller as a
// complete response or as that of another request.
func TestDamagedStreamsNeverLookWhole(t *testing.T) {
	s := start(t)
	faults := []string{"truncate", "short", "abort", "duplicate", "reorder", "foreign", "malformed", "error"}
	wait := s.load(s.modelFlows(3), 8*time.Second)
	random := rand.New(rand.NewPCG(seed(), 3))
	for range 60 {
		p := s.testbed.Engines[random.IntN(len(s.testbed.Engines))]
		s.admin(p, "faults", map[string]any{
			"fault": faults[random.IntN(len(faults))], "after": random.IntN(8), "count": 1 + random.IntN(4),
		})
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range s.testbed.Engines {
		s.admin(p, "faults", map[string]any{"fault": ""})
	}
	wait()
	require.Empty(t, s.report.WrongAnswers())
	require.Greater(t, s.report.Count(rwverdict.Complete), 200)
	t.Log(s.report.Refusals())
}

type execution struct {
	Request, Key string
	Fence        int64
	Start        time.Time
}

// executions returns the executions by key.
func (s *fixture) executions() map[string][]execution {
	out := map[string][]execution{}
	for _, p := range s.testbed.Services {
		var log []execution
		require.NoError(s.t, rwfleet.Get(s.t.Context(), p.Addr, "/log", &log))
		for _, e := range log {
			out[e.Key] = append(out[e.Key], e)
		}
	}
	return out
}

// P4, P5: guards against a call that is executed twice, or that was executed
// although all its responses said not_run, while routers are killed, paused and
// partitioned and services drop connections.
func TestOrdersRunAtMostOnce(t *testing.T) {
	s := start(t)
	wait := s.load(s.orderFlows(), 16*time.Second)
	random := rand.New(rand.NewPCG(seed(), 5))
	for range 10 {
		s.injectFault(random)
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
	}
	s.testbed.Heal()
	wait()
	s.checkOrders()
}

// P5: guards against a service that checks fencing tokens and refuses calls of
// the current home router of their key. Every home router must be served after
// one router has restarted, and a refusal must reach the caller as not_run.
func TestFencedServiceServesEveryHome(t *testing.T) {
	s := startWith(t, true)
	wait := s.load(s.orderFlows(), 6*time.Second)
	time.Sleep(time.Second)
	s.testbed.Routers[0].Kill()
	require.NoError(t, s.testbed.StartRouter(s.testbed.Routers[0]))
	wait()
	s.checkOrders()
}

// checkOrders compares the responses to orders with the logs of the services.
func (s *fixture) checkOrders() {
	t := s.t
	ran := s.executions()
	complete := 0
	for _, r := range s.completed {
		e := ran[r.job.Key]
		if r.response.Verdict == rwverdict.Complete {
			complete++
		}
		if why := contradiction(r.response, len(e)); why != "" {
			t.Errorf("key %s %s\nanswer: %+v\nexecutions: %+v", r.job.Key, why, r.response, e)
		}
	}
	if t.Failed() {
		t.Log("faults: ", s.faults)
	}
	require.Empty(t, s.report.WrongAnswers())
	require.Greater(t, complete, 100)
	t.Log(len(s.completed), "orders", complete, "answered", s.report.Refusals())
}

// contradiction describes how a response disagrees with the number of
// executions.
func contradiction(a rwresponse.Response, n int) string {
	switch {
	case n > 1:
		return "was executed more than once"
	case a.Verdict == rwverdict.Complete && n == 0:
		return "has a complete response but was not executed"
	case a.Verdict != rwverdict.Complete && allNotRun(a.FailedOutcomes) && n > 0:
		return "was executed although every response said not_run"
	}
	return ""
}

func allNotRun(outcomes []string) bool {
	for _, c := range outcomes {
		if c != "not_run" {
			return false
		}
	}
	return true
}

// injectFault causes one fault, which ends before the call returns or is
// limited to a few requests.
func (s *fixture) injectFault(random *rand.Rand) {
	router := s.testbed.Routers[random.IntN(len(s.testbed.Routers))]
	service := s.testbed.Services[random.IntN(len(s.testbed.Services))]
	from, to := random.IntN(len(rwtestbed.Zones)), random.IntN(len(rwtestbed.Zones))
	note := func(what string) {
		s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+what)
	}
	switch random.IntN(5) {
	case 0:
		note("kill " + router.Name)
		router.Kill()
		time.Sleep(300 * time.Millisecond)
		require.NoError(s.t, s.testbed.StartRouter(router))
		note("start " + router.Name)
	case 1:
		note("pause " + router.Name)
		router.Signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		router.Signal(syscall.SIGCONT)
		note("resume " + router.Name)
	case 2:
		note("drop_after " + service.Name)
		s.admin(service, "faults", map[string]any{"fault": "drop_after", "count": 3})
	case 3:
		note("drop_before " + service.Name)
		s.admin(service, "faults", map[string]any{"fault": "drop_before", "count": 3})
	case 4:
		note("partition " + rwtestbed.Zones[from] + " " + rwtestbed.Zones[to])
		s.testbed.Partition(rwtestbed.Zones[from], rwtestbed.Zones[to])
		time.Sleep(time.Second)
		s.testbed.Heal()
		note("heal")
	}
}

// P6: guards against new requests at an engine after it was published as
// leaving, even when a stale replica and a restarted router report it as live.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s := start(t)
	engine := s.testbed.Engines[0]
	var before struct{ Rev int64 }
	require.NoError(t, rwfleet.Get(t.Context(), s.testbed.Platform.Addr, "/v1/records", &before))
	wait := s.load(s.modelFlows(4), 12*time.Second)
	time.Sleep(2 * time.Second)
	published := time.Now()
	s.publish(s.testbed.UpstreamRecord(engine, rwtestbed.ModelPool, "engine", "leaving", 1))
	time.Sleep(leavingBound)
	s.admin(s.testbed.Platform, "stale", map[string]any{"rev": before.Rev})
	for _, p := range s.testbed.Routers {
		s.testbed.UseReplica(p.Name, true)
	}
	restarted := s.testbed.Routers[1]
	restarted.Kill()
	require.NoError(t, s.testbed.StartRouter(restarted))
	wait()
	var log []execution
	require.NoError(t, rwfleet.Get(t.Context(), engine.Addr, "/log", &log))
	require.NotEmpty(t, log)
	for _, e := range log {
		require.Less(t, e.Start.Sub(published), leavingBound, "the engine got work %s after it was published as leaving", e.Start.Sub(published))
	}
	require.Empty(t, s.report.WrongAnswers())
}

// P7: guards against a shutdown that interrupts queued or streaming requests.
func TestShutdownInterruptsNothing(t *testing.T) {
	s := start(t)
	s.shutDown(s.modelFlows(5), 3)
}

// P7: guards against a shutdown that loses orders which other routers forward
// to the leaving router, or which it hands over.
func TestShutdownLosesNoOrder(t *testing.T) {
	s := start(t)
	s.shutDown(s.orderFlows(), 1)
	s.checkOrders()
}

// P7: guards against the loss of a handoff when the router that received it is
// shut down too, as when an operator shuts down a zone.
func TestShutdownOfZoneLosesNoOrder(t *testing.T) {
	s := start(t)
	s.shutDown(s.orderFlows(), 3)
	s.checkOrders()
}

// shutDown shuts down the first routers one after the other under load. Every
// request must get a complete response.
func (s *fixture) shutDown(flows []rwflow.Flow, count int) {
	t := s.t
	wait := s.load(flows, 10*time.Second)
	time.Sleep(time.Second)
	for _, p := range s.testbed.Routers[:count] {
		t.Log(time.Now().Format("15:04:05.000"), "stopping", p.Name)
		p.Signal(syscall.SIGTERM)
		require.True(t, p.Wait(10*time.Second), "%s did not exit", p.Name)
	}
	wait()
	var lost []completedRequest
	for _, r := range s.completed {
		if r.response.Verdict != rwverdict.Complete {
			lost = append(lost, r)
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d requests got no complete response %v, first: %+v", len(lost), len(s.completed), s.report.Refusals(), lost[0])
	}
	require.Greater(t, s.report.Count(rwverdict.Complete), 200)
}

// P8: guards against an accepted change that is reverted by a stale replica or
// a restarted router, and against a change that takes more than 4 s to reach
// the routers of a zone without a platform.
func TestConfigurationNeverReverts(t *testing.T) {
	s := start(t)
	c := s.testbed.Accounts[3]
	var before struct{ Rev int64 }
	require.NoError(t, rwfleet.Get(t.Context(), s.testbed.Platform.Addr, "/v1/records", &before))
	for _, p := range s.testbed.Routers {
		if p.Zone == rwtestbed.Zones[1] {
			s.testbed.SetPlatformLink(p.Name, rwlink.Link{Up: rwdirection.Direction{Stall: true}})
		}
	}
	c.Key = "changed-key"
	s.publish(rwtestbed.AccountRecord(c, 2))
	time.Sleep(configBound)
	checkActive := func(p *rwfleet.Proc) {
		require.True(t, s.accepts(p, "changed-key"), "%s refuses the new key", p.Name)
		require.False(t, s.accepts(p, "caller-key-03"), "%s accepts the old key", p.Name)
	}
	for _, p := range s.testbed.Routers {
		checkActive(p)
	}
	s.admin(s.testbed.Platform, "stale", map[string]any{"rev": before.Rev})
	for _, p := range s.testbed.Routers {
		s.testbed.UseReplica(p.Name, true)
	}
	restarted := s.testbed.Routers[0]
	restarted.Kill()
	require.NoError(t, s.testbed.StartRouter(restarted))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, rwfleet.WaitReady(ctx, restarted.Addr, "/readyz"))
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, p := range s.testbed.Routers {
			checkActive(p)
		}
	}
}

// accepts reports whether a router serves a call with the key.
func (s *fixture) accepts(p *rwfleet.Proc, key string) bool {
	caller := rwcaller.New(func(string, ...string) string { return p.Addr }, 0)
	defer caller.Close()
	ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
	defer cancel()
	a := caller.Send(ctx, rwjob.Job{CallerKey: key, Kind: rwtestbed.Lookup, Pool: rwtestbed.OrderPool, Body: "{}"})
	return a.Verdict == rwverdict.Complete
}

// P8: guards against an interruption of service by a change of schema versions.
// Every account, kind and engine moves to the other version under load, and
// half of the accounts move back. A published record of an unknown version must
// leave the last valid one active.
func TestSchemasMoveUnderLoad(t *testing.T) {
	s := start(t)
	const pause = 60 * time.Millisecond
	wait := s.load(append(s.modelFlows(3), s.orderFlows()...), 6*time.Second)
	time.Sleep(500 * time.Millisecond)
	for _, c := range s.testbed.Accounts {
		s.publish(rwtestbed.AccountRecord(c, 2))
		time.Sleep(pause)
	}
	for urgency, name := range rwtestbed.Kinds {
		s.publish(rwfleet.Record("kind", name, 2-urgency%2, otherSchemaValue(urgency, name)))
		time.Sleep(pause)
	}
	for _, e := range s.testbed.Engines {
		s.publish(toSchema2(t, s.testbed.UpstreamRecord(e, rwtestbed.ModelPool, "engine", "live", 1)))
		time.Sleep(pause)
	}
	for _, c := range s.testbed.Accounts[:len(s.testbed.Accounts)/2] {
		s.publish(rwtestbed.AccountRecord(c, 1))
		time.Sleep(pause)
	}
	s.publish(rwfleet.Record("account", s.testbed.Accounts[0].Name, 3, map[string]any{"future": true}))
	wait()
	for _, r := range s.completed {
		require.Equal(t, rwverdict.Complete, r.response.Verdict, "%s %s: %+v", r.job.Account, r.job.Kind, r.response)
	}
	require.Greater(t, s.report.Count(rwverdict.Complete), 200)
}

// otherSchemaValue returns the value of a kind in the schema version that it
// doesn't have at the start, which is 1 for even urgencies and 2 for odd ones.
func otherSchemaValue(urgency int, name string) map[string]any {
	v := map[string]any{"pool": rwtestbed.ModelPool, "idempotent": true}
	if urgency%2 == 0 {
		v["class"] = name
	} else {
		v["urgency"] = urgency
	}
	return v
}

// toSchema2 returns an upstream's record in schema version 2.
func toSchema2(t *testing.T, r rwrecord.Record) rwrecord.Record {
	v := map[string]any{}
	require.NoError(t, json.Unmarshal(r.Value, &v))
	v["pools"] = []any{v["pool"]}
	delete(v, "pool")
	return rwfleet.Record(r.Kind, r.Name, 2, v)
}
