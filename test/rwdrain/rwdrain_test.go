// Package rwdrain_test tests graceful shutdown with real processes.
package rwdrain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwview"
	"redwingworks.example/test/rwbalancer"
	"redwingworks.example/test/rwcaller"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwresponse"
	"redwingworks.example/test/rwtestaccount"
	"redwingworks.example/test/rwtestbed"
	"redwingworks.example/test/rwverdict"
	"redwingworks.example/test/rwworkload"
)

const (
	// bin is the output folder of make build.
	bin = "../../bin"
	// detectionDelay is the time until the load balancer reacts to a router that
	// is not ready; the interval of its polls adds up to 100 ms. The rest of
	// drainTime is a reserve for busy machines.
	detectionDelay = 500 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	drainTime      = 1500 * time.Millisecond
	// idleTime is how long a connection is idle before a shutdown closes it
	// (settleTime of rwserver).
	idleTime = 100 * time.Millisecond
	// exitTimeout only prevents a router that never exits from blocking the
	// test.
	exitTimeout = 40 * time.Second
	// step and maxTokens result in streams of up to 2 s.
	step      = 10 * time.Millisecond
	maxTokens = 200
	// clock is the format of times in messages, to compare with the logs.
	clock = "15:04:05.000"
	// workloadName is the prefix of the idempotency keys that callers generate.
	workloadName = "drain"
)

// fixture is a fleet under load from all accounts.
type fixture struct {
	t        *testing.T
	ctx      context.Context
	testbed  *rwtestbed.Testbed
	balancer *rwbalancer.Balancer
	report   *rwreport.Report
	logs     string
	stop     func()

	mu        sync.Mutex
	completed []completedRequest
	probes    []probe
}

type completedRequest struct {
	job      rwjob.Job
	response rwresponse.Response
	ended    time.Time
}

// probe is a readiness check by the load balancer.
type probe struct {
	addr  string
	began time.Time
	ready bool
}

// start starts a fleet and, once every router executes calls with keys, its
// load, which runs until stop is called.
func start(t *testing.T) *fixture {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &fixture{t: t, ctx: ctx, logs: t.ArtifactDir(), report: rwreport.New()}
	r.testbed = rwtestbed.New(bin, r.logs)
	r.testbed.Step, r.testbed.Drain = step, drainTime
	t.Cleanup(r.testbed.Close)
	require.NoError(t, r.testbed.Start(ctx))
	for _, p := range r.testbed.Routers {
		r.waitForKeys(p)
	}
	r.balancer = rwbalancer.New(r.testbed.Addrs(), false, detectionDelay)
	r.recordProbes()
	go r.balancer.Run(ctx)
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { r.load(loadCtx) })
	r.stop = func() {
		stop()
		load.Wait()
	}
	t.Cleanup(r.stop)
	return r
}

// recordProbes makes the load balancer record its readiness checks.
func (r *fixture) recordProbes() {
	ready := r.balancer.Ready
	r.balancer.Ready = func(ctx context.Context, addr string) bool {
		p := probe{addr: addr, began: time.Now()}
		p.ready = ready(ctx, addr)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.probes = append(r.probes, p)
		return p.ready
	}
}

// waitForKeys waits until calls with keys are executed through a router. A new
// fleet refuses them for some time.
func (r *fixture) waitForKeys(p *rwfleet.Proc) {
	caller := rwcaller.New(func(string, ...string) string { return p.Addr }, 0)
	defer caller.Close()
	c := r.testbed.Accounts[0]
	for good, n := 0, 0; good < len(r.testbed.Routers); n++ {
		key := fmt.Sprintf("first-%s-%d", p.Name, n)
		a := caller.Send(r.ctx, rwjob.Job{Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Order, Pool: rwtestbed.OrderPool, Key: key, Body: `"x"`})
		good++
		if a.Verdict != rwverdict.Complete {
			require.NoError(r.t, r.ctx.Err(), "calls with keys are not executed: %+v", a)
			good = 0
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func flows(clients []rwtestaccount.Account) []rwflow.Flow {
	var out []rwflow.Flow
	for _, c := range clients {
		f := rwflow.Flow{Account: c.Name, CallerKey: c.Key}
		for _, kind := range rwtestbed.Kinds {
			m := f
			m.Kind, m.Pool, m.Engine = kind, rwtestbed.ModelPool, true
			m.Concurrency, m.MinTokens, m.MaxTokens = 1, 1, maxTokens
			out = append(out, m)
		}
		lookup, keyed, ticket := f, f, f
		lookup.Kind, lookup.Pool, lookup.Rate = rwtestbed.Lookup, rwtestbed.OrderPool, 2
		keyed.Kind, keyed.Pool, keyed.Rate, keyed.Keyed = rwtestbed.Order, rwtestbed.OrderPool, 2, true
		ticket.Kind, ticket.Pool, ticket.Rate = rwtestbed.Order, rwtestbed.OrderPool, 1
		out = append(out, lookup, keyed, ticket)
	}
	return out
}

// load sends requests until the context ends and then waits for the outstanding
// responses.
func (r *fixture) load(ctx context.Context) {
	caller := rwcaller.New(r.balancer.Pick, 0)
	defer caller.Close()
	w := &rwworkload.Workload{Seed: 1, Name: workloadName, Flows: flows(r.testbed.Accounts)}
	w.Send = func(_ context.Context, j rwjob.Job) bool {
		a := rwresponse.Response{Verdict: rwverdict.Refused, Code: "no_ticket"}
		if j.Kind == rwtestbed.Order && j.Key == "" {
			j.Key = r.newTicket(j)
		}
		if j.Kind != rwtestbed.Order || j.Key != "" {
			a = caller.Send(r.ctx, j)
		}
		r.report.Add(j, a)
		r.mu.Lock()
		r.completed = append(r.completed, completedRequest{j, a, time.Now()})
		r.mu.Unlock()
		return a.Verdict == rwverdict.Complete
	}
	w.Run(ctx, time.Hour)
}

func (r *fixture) newTicket(j rwjob.Job) string {
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+r.balancer.Pick(j.Account)+"/v1/tickets", nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+j.CallerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var ticket struct{ Key string }
	_ = json.NewDecoder(resp.Body).Decode(&ticket)
	return ticket.Key
}

func getView(ctx context.Context, t *testing.T, p *rwfleet.Proc) rwview.View {
	var v rwview.View
	require.NoError(t, rwfleet.Get(ctx, p.Ops, "/v1/view", &v))
	return v
}

// waitBusy waits until the router has both waiting and running requests.
func (r *fixture) waitBusy(p *rwfleet.Proc) {
	for {
		v := getView(r.ctx, r.t, p)
		if v.Waiting > 0 && v.Running > 0 {
			return
		}
		require.NoError(r.t, r.ctx.Err(), "%s never had waiting requests", p.Name)
		time.Sleep(5 * time.Millisecond)
	}
}

// terminate sends SIGTERM to a router once it is busy and waits for its exit.
func (r *fixture) terminate(p *rwfleet.Proc) {
	r.waitBusy(p)
	p.Signal(syscall.SIGTERM)
	exited := p.Wait(exitTimeout)
	if !exited {
		// The router writes the stacks of its goroutines to its log.
		p.Signal(syscall.SIGQUIT)
		p.Wait(exitTimeout)
	}
	require.True(r.t, exited, "%s did not exit", p.Name)
}

// count returns the number of requests that match the filter.
func (r *fixture) count(in func(rwjob.Job) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.completed {
		if in(e.job) {
			n++
		}
	}
	return n
}

// failures lists the responses that are not complete and match the filter.
func (r *fixture) failures(match func(completedRequest) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, e := range r.completed {
		if e.response.Verdict != rwverdict.Complete && match(e) {
			out = append(out, fmt.Sprintf("%s %s key %q at %s: %s %s %s %s; picked %s, sent %s on a connection unused for %v, ended %s", e.job.Account, e.job.Kind, e.job.Key,
				e.response.Router, e.response.Verdict, e.response.Code, e.response.Outcome, e.response.Detail,
				e.response.Picked.Format(clock), e.response.Sent.Format(clock), e.response.Unused, e.ended.Format(clock)))
		}
	}
	return out
}

// Guards against interrupted, refused or failed requests while all routers are
// replaced one after the other: streams, queued requests, plain calls, and
// at-most-once calls with a key or a ticket.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	r := start(t)
	for _, p := range r.testbed.Routers {
		began := time.Now()
		r.terminate(p)
		ended := time.Since(began)
		require.NoError(t, r.testbed.StartRouter(p))
		require.NoError(t, rwfleet.WaitReady(r.ctx, p.Addr, "/readyz"))
		t.Logf("%s: exit after %v, ready after %v, failed so far: %v", p.Name, ended, time.Since(began), r.report.Refusals())
	}
	r.stop()
	require.Empty(t, r.report.WrongAnswers())
	groups := map[string]func(rwjob.Job) bool{
		"model and plain calls": func(j rwjob.Job) bool { return j.Kind != rwtestbed.Order },
		"calls with a ticket":   func(j rwjob.Job) bool { return j.Kind == rwtestbed.Order && !hasCallerKey(j) },
		"calls with a key":      hasCallerKey,
	}
	for name, in := range groups {
		t.Run(name, func(t *testing.T) {
			require.Greater(t, r.count(in), 100)
			require.Empty(t, strings.Join(r.failures(func(e completedRequest) bool { return in(e.job) }), "\n"))
		})
	}
}

// hasCallerKey reports whether the caller generated the key of a call itself.
func hasCallerKey(j rwjob.Job) bool { return strings.HasPrefix(j.Key, workloadName) }

// Guards against a shutdown that waits for a dead or paused router, or that
// fails the requests of the stopping router because of it. At-most-once calls only count
// if their connection broke, since the other router may hold their keys.
//
// A router promises to accept what is sent within drainTime of its announcement.
// On a machine that is short of CPU time, the load balancer and the callers of
// this test may send later. The router may then refuse, but not fail, a request.
func TestShutdownBesideAnotherFault(t *testing.T) {
	t.Parallel()
	cases := map[string]syscall.Signal{
		"another router is dead":   syscall.SIGKILL,
		"another router is frozen": syscall.SIGSTOP,
	}
	for name, signal := range cases {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			other, stopped := r.testbed.Routers[0], r.testbed.Routers[1]
			r.waitBusy(other)
			other.Signal(signal)
			r.terminate(stopped)
			other.Signal(syscall.SIGCONT)
			r.stop()
			require.Empty(t, r.report.WrongAnswers())
			announced := r.announcement(stopped)
			require.Empty(t, r.lateReady(stopped, announced), "ready after its announcement at %s", announced.Format(clock))
			var late int
			require.Empty(t, strings.Join(r.failures(func(e completedRequest) bool {
				if e.response.Router != stopped.Addr || e.job.Kind == rwtestbed.Order && e.response.Verdict != rwverdict.Broken {
					return false
				}
				if isLateRefusal(e.response, announced) {
					late++
					return false
				}
				return true
			}), "\n"), "announced at %s", announced.Format(clock))
			t.Logf("%d requests were sent over %v after the announcement and refused", late, drainTime)
		})
	}
}

// announcement returns when a router began to stop, according to its log.
func (r *fixture) announcement(p *rwfleet.Proc) time.Time {
	data, err := os.ReadFile(filepath.Join(r.logs, p.Name+".log"))
	require.NoError(r.t, err)
	for line := range bytes.Lines(data) {
		var entry struct {
			Event rwlog.Event
			Time  time.Time
		}
		if json.Unmarshal(line, &entry) == nil && entry.Event == rwlog.StopRequested {
			return entry.Time
		}
	}
	require.Fail(r.t, "no line about the signal", p.Name)
	return time.Time{}
}

// lateReady lists the readiness checks that a stopping router passed so late that
// a load balancer which notices in time could still send requests to it after
// drainTime.
func (r *fixture) lateReady(p *rwfleet.Proc, announced time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, q := range r.probes {
		if q.addr == p.Addr && q.ready && q.began.Sub(announced) > drainTime-detectionDelay-pollInterval {
			out = append(out, q.began.Format(clock))
		}
	}
	return out
}

// isLateRefusal reports whether a request was sent later than a stopping router
// has to accept it, and did not run: it was refused as draining or by the closed
// port, the caller saw the connection close before it sent the request, or the
// request crossed the close of a connection that was unused for idleTime.
func isLateRefusal(a rwresponse.Response, announced time.Time) bool {
	switch {
	case a.Sent.Sub(announced) <= drainTime:
		return false
	case a.Verdict == rwverdict.Refused:
		return a.Code == "draining" && a.Outcome == "not_run" && a.Tokens == 0
	case a.Verdict != rwverdict.Broken || a.RequestID != "":
		return false
	case strings.Contains(a.Detail, syscall.ECONNREFUSED.Error()), strings.Contains(a.Detail, "server closed idle connection"):
		return true
	}
	cut := strings.Contains(a.Detail, "EOF") || strings.Contains(a.Detail, syscall.ECONNRESET.Error())
	return cut && a.Unused >= idleTime
}

// Guards against a router without peers that drops its queue at shutdown
// because no owner grants slots.
func TestLoneRouterServesItsQueue(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f := rwfleet.New(bin, t.TempDir())
	t.Cleanup(f.Close)
	platform, err := f.StartPlatform()
	require.NoError(t, err)
	engine, err := f.StartEngine("engine", 1, step)
	require.NoError(t, err)
	engine.Zone, engine.PublishedPeer = "za", engine.Addr
	router, err := rwfleet.NewRouter("router", "za")
	require.NoError(t, err)
	client := rwtestaccount.Account{Name: "varna", Key: "caller-key", Share: 1}
	require.NoError(t, rwfleet.WaitReady(ctx, platform.Addr, "/v1/records"))
	require.NoError(t, rwfleet.Publish(ctx, platform.Addr, []rwrecord.Record{
		rwtestbed.AccountRecord(client, 1),
		rwfleet.Record("kind", "now", 1, map[string]any{"urgency": 0, "pool": rwtestbed.ModelPool, "idempotent": true}),
		(&rwtestbed.Testbed{Slots: 1}).UpstreamRecord(engine, rwtestbed.ModelPool, "engine", "live", 1),
		rwfleet.VMRecord(router, "live"),
	}...))
	require.NoError(t, f.StartRouter(router, platform.Addr, "--drain", "100ms"))
	require.NoError(t, rwfleet.WaitReady(ctx, router.Addr, "/readyz"))
	caller := rwcaller.New(func(string, ...string) string { return router.Addr }, 0)
	defer caller.Close()
	const requests = 8
	responses := make(chan rwresponse.Response, requests)
	for range requests {
		go func() {
			responses <- caller.Send(ctx, rwjob.Job{
				Account: client.Name, CallerKey: client.Key, Kind: "now", Pool: rwtestbed.ModelPool,
				Engine: true, Stream: true, Tokens: 60,
			})
		}()
	}
	for v := (rwview.View{}); v.Running < 1 || v.Waiting < requests/2; v = getView(ctx, t, router) {
		require.NoError(t, ctx.Err(), "%+v", v)
		time.Sleep(5 * time.Millisecond)
	}
	router.Signal(syscall.SIGTERM)
	for range requests {
		a := <-responses
		require.Equal(t, rwverdict.Complete, a.Verdict, "%+v", a)
	}
	require.True(t, router.Wait(exitTimeout))
}

// issuer is a router that has issued tickets for calls that another one forwards
// to it.
type issuer struct {
	*rwfleet.Proc
	*rwcaller.Caller
	ctx context.Context
	// jobs are calls with a ticket of this router.
	jobs []rwjob.Job
}

// startIssuer starts two routers and a service that works on each call for some
// time.
func startIssuer(t *testing.T, drain, callTime time.Duration, tickets int) *issuer {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	f := rwfleet.New(bin, t.TempDir())
	t.Cleanup(f.Close)
	platform, err := f.StartPlatform()
	require.NoError(t, err)
	service, err := f.StartService("orders", "--delay", callTime.String())
	require.NoError(t, err)
	service.Zone, service.PublishedPeer = "za", service.Addr
	client := rwtestaccount.Account{Name: "varna", Key: "caller-key", Share: 1}
	records := []rwrecord.Record{
		rwtestbed.AccountRecord(client, 1),
		rwfleet.Record("kind", rwtestbed.Order, 1, map[string]any{"urgency": 0, "pool": rwtestbed.OrderPool, "idempotent": false, "repeat": 60}),
		(&rwtestbed.Testbed{Slots: 4}).UpstreamRecord(service, rwtestbed.OrderPool, "service", "live", 1),
	}
	var routers []*rwfleet.Proc
	for _, name := range []string{"issuer", "entry"} {
		p, err := rwfleet.NewRouter(name, "za")
		require.NoError(t, err)
		routers = append(routers, p)
		records = append(records, rwfleet.VMRecord(p, "live"))
	}
	require.NoError(t, rwfleet.WaitReady(ctx, platform.Addr, "/v1/records"))
	require.NoError(t, rwfleet.Publish(ctx, platform.Addr, records...))
	for _, p := range routers {
		require.NoError(t, f.StartRouter(p, platform.Addr, "--drain", drain.String()))
	}
	for _, p := range routers {
		require.NoError(t, rwfleet.WaitReady(ctx, p.Addr, "/readyz"))
	}
	entry := routers[1]
	i := &issuer{Proc: routers[0], ctx: ctx, Caller: rwcaller.New(func(string, ...string) string { return entry.Addr }, 0)}
	t.Cleanup(i.Close)
	r := &fixture{t: t, ctx: ctx, balancer: rwbalancer.New([]string{i.Addr}, false, detectionDelay)}
	for range tickets {
		job := rwjob.Job{Account: client.Name, CallerKey: client.Key, Kind: rwtestbed.Order, Pool: rwtestbed.OrderPool, Body: `"x"`}
		job.Key = r.newTicket(job)
		require.NotEmpty(t, job.Key)
		i.jobs = append(i.jobs, job)
	}
	return i
}

// Guards against a router that exits while it executes a call with its ticket
// that another router forwarded: the call may run although its caller gets no
// result.
func TestForwardedCallOutlivesShutdown(t *testing.T) {
	t.Parallel()
	const drain, callTime = 800 * time.Millisecond, 2 * time.Second
	i := startIssuer(t, drain, callTime, 1)
	i.Signal(syscall.SIGTERM)
	time.Sleep(drain / 2)
	a := i.Send(i.ctx, i.jobs[0])
	// A refusal is fine if it is true that the call did not run.
	refused := a.Verdict == rwverdict.Refused && a.Outcome == "not_run"
	require.True(t, a.Verdict == rwverdict.Complete || refused, "%+v", a)
	require.True(t, i.Wait(exitTimeout))
}

// Guards against a router that still begins forwarded calls while it waits for
// those in progress to end, so that it either never exits or cuts the last ones.
func TestForwardedCallAfterDrainIsRefused(t *testing.T) {
	t.Parallel()
	const drain, callTime = 800 * time.Millisecond, 3 * time.Second
	i := startIssuer(t, drain, callTime, 2)
	i.Signal(syscall.SIGTERM)
	time.Sleep(drain / 2)
	first := make(chan rwresponse.Response, 1)
	go func() { first <- i.Send(i.ctx, i.jobs[0]) }()
	time.Sleep(drain/2 + callTime/2)
	a := i.Send(i.ctx, i.jobs[1])
	require.Equal(t, rwverdict.Refused, a.Verdict, "%+v", a)
	require.Equal(t, "draining", a.Code, "%+v", a)
	require.Equal(t, "not_run", a.Outcome, "%+v", a)
	a = <-first
	require.Equal(t, rwverdict.Complete, a.Verdict, "%+v", a)
	require.True(t, i.Wait(exitTimeout))
}
