// Package rwkeys_test tests non-idempotent calls with real processes.
package rwkeys_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwkey"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwvmlist"
	"redwingworks.example/test/rwfleet"
)

const (
	callerKey = "test-caller-key"
	account   = "varna"
	// repeatSeconds is the time for which the kind's keys may be retried. It is
	// short because a new fleet refuses keys for this long.
	repeatSeconds = 3
	testTimeout   = 60 * time.Second
	waitTimeout   = 15 * time.Second
)

var bin string

func TestMain(m *testing.M) { os.Exit(build(m)) }

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rwkeys")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, p := range []string{"rwrouter", "rwservice", "rwplatform"} {
		c := exec.Command("go", "build", "-o", filepath.Join(dir, p), ".")
		c.Dir = filepath.Join("..", "..", "cmd", p)
		if out, err := c.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	bin = dir
	return m.Run()
}

type fixture struct {
	t        *testing.T
	ctx      context.Context
	fleet    *rwfleet.Fleet
	platform *rwfleet.Proc
	service  *rwfleet.Proc
	routers  map[string]*rwfleet.Proc
	live     []string
}

type response struct {
	status  int
	body    string
	code    string
	outcome string
}

// start runs a fleet of four routers and waits until each of them executes new
// keys.
func start(t *testing.T, delay time.Duration, window int) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f := &fixture{t: t, ctx: ctx, fleet: rwfleet.New(bin, t.TempDir()), routers: map[string]*rwfleet.Proc{}}
	t.Cleanup(f.fleet.Close)
	var err error
	f.platform, err = f.fleet.StartPlatform()
	require.NoError(t, err)
	f.service, err = f.fleet.StartService("orders", "--delay", delay.String())
	require.NoError(t, err)
	require.NoError(t, rwfleet.WaitReady(ctx, f.platform.Addr, "/v1/records"))
	require.NoError(t, rwfleet.WaitReady(ctx, f.service.Addr, "/log"))
	sum := sha256.Sum256([]byte(callerKey))
	records := []rwrecord.Record{
		rwfleet.Record("account", account, 1, map[string]any{"share": 1, "keys": []string{hex.EncodeToString(sum[:])}}),
		rwfleet.Record("kind", "order", 1, map[string]any{"urgency": 0, "pool": "orders", "idempotent": false, "repeat": repeatSeconds}),
		rwfleet.Record("upstream", "orders", 1, map[string]any{
			"pool": "orders", "zone": "za", "addr": f.service.Addr, "type": "service", "window": window, "state": "live", "inc": 1,
		}),
	}
	for _, n := range []string{"ra", "rb", "rc", "rd"} {
		p, err := rwfleet.NewRouter(n, "za")
		require.NoError(t, err)
		f.routers[n] = p
		f.live = append(f.live, n)
		records = append(records, rwfleet.VMRecord(p, "live"))
	}
	f.publish(records...)
	for _, n := range f.live {
		f.startRouter(n)
	}
	for _, n := range f.live {
		f.waitForNewKeys(n, f.live[0])
	}
	return f
}

func (f *fixture) publish(records ...rwrecord.Record) {
	f.t.Helper()
	require.NoError(f.t, rwfleet.Publish(f.ctx, f.platform.Addr, records...))
}

func (f *fixture) startRouter(name string) {
	f.t.Helper()
	p := f.routers[name]
	require.NoError(f.t, f.fleet.StartRouter(p, f.platform.Addr, "--drain", "200ms"))
	if err := rwfleet.WaitReady(f.ctx, p.Addr, "/readyz"); err != nil {
		require.NoError(f.t, err, "the router's output:\n%s", f.fleet.Output(p))
	}
}

// unpublish removes a router from the published list.
func (f *fixture) unpublish(name string) {
	f.t.Helper()
	f.publish(rwrecord.Record{Kind: "vm", Name: name, Schema: 1, Deleted: true})
	var rest []string
	for _, n := range f.live {
		if n != name {
			rest = append(rest, n)
		}
	}
	f.live = rest
}

var sequence int

// newKey returns a new key whose home router is the given one.
func (f *fixture) newKey(home string) string {
	l := rwvmlist.New(1, f.live, f.live)
	for {
		sequence++
		k := fmt.Sprintf("key-%d", sequence)
		if l.Home(rwkey.Scope(account, k)) == home {
			return k
		}
	}
}

// call sends a call and returns the response. The status is 0 if there was
// none.
func (f *fixture) call(via, key, body string) response {
	ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.routers[via].Addr+"/v1/call/orders/new", strings.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Redwing-Kind", "order")
	req.Header.Set("Redwing-Deadline", "3000")
	req.Header.Set("Idempotency-Key", key)
	return do(req)
}

func do(req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	a := response{status: resp.StatusCode, body: string(data)}
	var e struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(data, &e) == nil {
		a.code, a.outcome = e.Error.Code, e.Error.Outcome
	}
	return a
}

func (f *fixture) newTicket(via string) string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.routers[via].Addr+"/v1/tickets", nil)
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	var t struct{ Key string }
	require.NoError(f.t, json.Unmarshal([]byte(do(req).body), &t))
	require.NotEmpty(f.t, t.Key)
	return t.Key
}

// executions returns the number of executions by key.
func (f *fixture) executions() map[string]int {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.service.Addr+"/log", nil)
	require.NoError(f.t, err)
	var log []struct{ Key string }
	require.NoError(f.t, json.Unmarshal([]byte(do(req).body), &log))
	out := map[string]int{}
	for _, e := range log {
		out[e.Key]++
	}
	return out
}

// waitForNewKeys waits until the home router executes new keys.
func (f *fixture) waitForNewKeys(home, via string) {
	f.t.Helper()
	var last response
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last = f.call(via, f.newKey(home), "x"); last.status == http.StatusOK {
			return
		}
	}
	require.Fail(f.t, "new keys are not executed", "home %s via %s: %+v", home, via, last)
}

func (f *fixture) checkExecutions() {
	f.t.Helper()
	for k, n := range f.executions() {
		require.LessOrEqual(f.t, n, 1, "key %s was executed %d times", k, n)
	}
}

// Guards against a second execution when the home router is killed during the
// call and callers retry with the key through the other routers.
func TestHomeKilledDuringCall(t *testing.T) {
	f := start(t, 500*time.Millisecond, 64)
	keys := []string{f.newKey("rb"), f.newKey("rb"), f.newKey("rb")}
	var first sync.WaitGroup
	for i, k := range keys {
		via := []string{"ra", "rb", "rc"}[i]
		first.Go(func() { f.call(via, k, "x") })
	}
	for len(f.executions()) < 4+len(keys) {
		time.Sleep(10 * time.Millisecond)
	}
	f.routers["rb"].Kill()
	first.Wait()
	for _, k := range keys {
		for _, via := range []string{"ra", "rc", "rd"} {
			a := f.call(via, k, "x")
			require.Equal(t, "unknown", a.outcome, "%+v", a)
		}
	}
	f.unpublish("rb")
	for _, n := range f.live {
		f.waitForNewKeys(n, "rd")
	}
	for _, k := range keys {
		a := f.call("rd", k, "x")
		require.Equal(t, "unknown", a.outcome, "%+v", a)
	}
	f.checkExecutions()
}

// Guards against a second execution by a home router that is paused, loses its
// keys to another home router through a change of the VM list, and resumes.
func TestHomeFrozenOverListChange(t *testing.T) {
	f := start(t, 20*time.Millisecond, 64)
	paused := f.routers["rb"]
	var keys []string
	for range 24 {
		keys = append(keys, f.newKey("rb"))
	}
	var first sync.WaitGroup
	for i, k := range keys {
		via := f.live[i%len(f.live)]
		first.Go(func() { f.call(via, k, "x") })
	}
	time.Sleep(3 * time.Millisecond)
	paused.Signal(syscall.SIGSTOP)
	f.unpublish("rb")
	for _, n := range f.live {
		f.waitForNewKeys(n, "ra")
	}
	for _, k := range keys {
		f.call("rc", k, "x")
	}
	paused.Signal(syscall.SIGCONT)
	first.Wait()
	for _, k := range keys {
		f.call("rb", k, "x")
		f.call("rd", k, "x")
	}
	f.checkExecutions()
}

// Guards against a home router that is paused after a witness has stored the
// intent of a call and before the call gets a slot, and that sends the call by
// its old VM list when it resumes.
func TestHomeFrozenBetweenTraceAndSending(t *testing.T) {
	f := start(t, 1500*time.Millisecond, 1)
	blocker, k := f.newKey("rb"), f.newKey("rb")
	var first sync.WaitGroup
	first.Go(func() { f.call("rb", blocker, "x") })
	for f.executions()[blocker] == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	first.Go(func() { f.call("rb", k, "x") })
	time.Sleep(300 * time.Millisecond)
	f.routers["rb"].Signal(syscall.SIGSTOP)
	f.unpublish("rb")
	f.waitForNewKeys("ra", "rc")
	for _, via := range f.live {
		a := f.call(via, k, "x")
		require.Equal(t, "unknown", a.outcome, "%+v", a)
	}
	f.routers["rb"].Signal(syscall.SIGCONT)
	first.Wait()
	time.Sleep(2 * time.Second)
	require.Zero(t, f.executions()[k])
	f.checkExecutions()
}

// Guards against a home router that executes a key again after losing its memory,
// and against one that refuses new keys although all other routers still have
// their memory.
func TestHomeRestartsWithoutMemory(t *testing.T) {
	f := start(t, 5*time.Millisecond, 64)
	forwarded, own := f.newKey("rc"), f.newKey("rc")
	require.Equal(t, http.StatusOK, f.call("ra", forwarded, "x").status)
	require.Equal(t, http.StatusOK, f.call("rc", own, "x").status)
	f.routers["rc"].Kill()
	began := time.Now()
	f.startRouter("rc")
	f.waitForNewKeys("rc", "rd")
	require.Less(t, time.Since(began), repeatSeconds*time.Second)
	for _, k := range []string{forwarded, own} {
		for _, via := range f.live {
			a := f.call(via, k, "x")
			require.Equal(t, "unknown", a.outcome, "%+v", a)
		}
	}
	f.checkExecutions()
}

// Guards against lost responses, second executions and refused new keys while
// the routers are shut down and restarted one after the other.
func TestRollingRestart(t *testing.T) {
	f := start(t, 5*time.Millisecond, 64)
	for i, n := range f.live {
		via := f.live[(i+1)%len(f.live)]
		done := f.newKey(n)
		first := f.call(via, done, "x")
		require.Equal(t, http.StatusOK, first.status)
		f.routers[n].Signal(syscall.SIGTERM)
		require.True(t, f.routers[n].Wait(waitTimeout))
		require.Equal(t, first, f.call(via, done, "x"), "the next router must have the response")
		require.Equal(t, http.StatusOK, f.call(via, f.newKey(n), "x").status, "the next router must execute new keys")
		f.startRouter(n)
		f.waitForNewKeys(n, via)
		require.Equal(t, first, f.call(via, done, "x"), "the new incarnation must get the response back")
	}
	f.checkExecutions()
}

// Guards against a ticket that is executed by another router or incarnation,
// and against two different calls with the same key.
func TestTicketsAndOtherBodies(t *testing.T) {
	f := start(t, 5*time.Millisecond, 64)
	k := f.newTicket("ra")
	first := f.call("rb", k, "x")
	require.Equal(t, http.StatusOK, first.status, "%+v", first)
	require.Equal(t, first, f.call("ra", k, "x"))
	require.Equal(t, "bad_request", f.call("rc", k, "y").code)
	unused := f.newTicket("ra")
	f.routers["ra"].Kill()
	f.startRouter("ra")
	for _, via := range f.live {
		require.Equal(t, "unknown", f.call(via, unused, "x").outcome)
	}
	require.Equal(t, "ticket_invalid", f.call("rb", k+"x", "x").code)
	opaque := f.newKey("rd")
	require.Equal(t, http.StatusOK, f.call("rb", opaque, "x").status)
	require.Equal(t, "bad_request", f.call("rc", opaque, strconv.Quote("other")).code)
	f.checkExecutions()
}
