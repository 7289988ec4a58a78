package rwedge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwstorewatch"
)

const (
	fleetSize = 6
	// fleetMemory is the memory of a machine of the fleet.
	fleetMemory = 184 << 20
	// fleetCapacity is the number of requests that a router of the fleet forwards
	// a second without delay, one for each thousandth of a core.
	fleetCapacity = 192
	// fleetDelay is how long goroutines wait for CPU time at a router that
	// forwarded more than its capacity within fleetDelayWindow.
	fleetDelay       = 30 * time.Millisecond
	fleetDelayWindow = 100 * time.Millisecond
)

// testFleet is a fleet of routers in one zone, with one route and one upstream,
// for a bubble of testing/synctest.
type testFleet struct {
	t       *testing.T
	network *testNetwork
	client  *http.Client
	edges   []*Edge

	// work is how long the upstream takes for a request, and memory the memory of a
	// machine, or 0 for no bound.
	work   time.Duration
	memory int64

	mu sync.Mutex
	// forwarded holds by the name of a router when an upstream got each of its
	// requests.
	forwarded map[string][]time.Time
}

// fleetDeployment returns the settings of a router.
func fleetDeployment(i int) rwdeployment.Deployment {
	addr := func(host, port int) string { return fmt.Sprintf("10.1.0.%d:%d", host+1, port) }
	return rwdeployment.Deployment{
		Name: "r" + strconv.Itoa(i), Zone: "z", CPUMillis: fleetCapacity, Grace: defaultGrace,
		Front: addr(i, 7001), Ready: addr(i, 7002), Peer: addr(i, 7003), Metrics: addr(i, 7004), Relay: addr(i, 7005),
		Seeds:      []string{addr(0, 7003)},
		RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second,
	}
}

// newTestFleet returns a fleet whose routers are bounded by CPU time alone.
func newTestFleet(t *testing.T) *testFleet { return startTestFleet(t, 0, 0) }

// startTestFleet starts the routers, which stop at the end of the test, and waits
// until each of them is ready and knows the others.
func startTestFleet(t *testing.T, work time.Duration, memory int64) *testFleet {
	f := &testFleet{t: t, network: newTestNetwork(t), work: work, memory: memory, forwarded: map[string][]time.Time{}}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}}
	upstream := f.network.serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		name := r.Header.Get("X-Router")
		f.forwarded[name] = append(f.forwarded[name], time.Now())
		f.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(f.work):
		case <-r.Context().Done():
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "response")
	})
	items := map[string]rwcatalog.Decoded{
		"config": {Config: rwrouteconfig.New(1, rwrouteconfig.Limits{}, []rwrouteconfig.Route{{
			Name: "route", Host: "h", Prefix: "/", Kind: rwrouteconfig.Safe, MaxAttempts: 2, Timeout: 5*time.Second + work,
			Split: []rwrouteconfig.Weight{{Service: "s", Weight: 1}},
		}}, []rwrouteconfig.Service{{Name: "s"}}, map[string]rwrouteconfig.Account{"key-a": {Name: "a"}, "key-b": {Name: "b"}})},
		"instance": {Instance: &rwinstance.Instance{ID: "i", Service: "s", Zone: "z", Slots: 1000, Addr: upstream}},
	}
	batch := rwstorewatch.Batch{Items: []rwitem.Item{{Key: "config", Rev: 1}, {Key: "instance", Rev: 2}}, Rev: 2}
	signals := make(chan os.Signal, fleetSize)
	stopped := make(chan error, fleetSize)
	for i := range fleetSize {
		d := fleetDeployment(i)
		d.MemoryBytes = memory
		e := New(Config{
			Deployment: d, Reload: func() (rwdeployment.Deployment, error) { return d, nil },
			Dialect: fleetDialect(d.Name, 3*time.Second+work), Key: "0123456789abcdef", Out: io.Discard, Signals: signals,
			Prefixes: []string{""},
			List: func(context.Context, string) (rwstorewatch.Batch, error) {
				b := batch
				b.ReadAt = time.Now()
				return b, nil
			},
			Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (rwstorewatch.Batch, error) {
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
				return rwstorewatch.Batch{Rev: after}, ctx.Err()
			},
			Decode: func(it rwitem.Item) (rwcatalog.Decoded, error) { return items[it.Key], nil },
			Listen: f.network.Listen, Dial: f.network.Dial,
			SchedulingDelay: func() time.Duration { return f.schedulingDelay(d.Name) },
		})
		f.edges = append(f.edges, e)
		go func() { stopped <- e.Run() }()
	}
	t.Cleanup(func() {
		for range fleetSize {
			signals <- syscall.SIGTERM
		}
		for range fleetSize {
			assert.NoError(t, <-stopped)
		}
	})
	for _, e := range f.edges {
		require.Eventually(t, func() bool { return e.ready() && len(e.gossip.Live("")) == fleetSize }, 10*time.Second, 50*time.Millisecond)
	}
	return f
}

// fleetDialect returns the dialect of a router, which names itself to upstreams. Callers
// wait for the given time.
func fleetDialect(name string, timeout time.Duration) rwdialect.Dialect {
	return rwdialect.Dialect{
		Decode: func(r *http.Request) rwinboundrequest.Request {
			return rwinboundrequest.Request{
				ID: r.Header.Get("X-Id"), Key: r.Header.Get("X-Key"), Host: r.Host, Path: r.URL.Path, Target: r.RequestURI,
				Method: r.Method, Timeout: timeout, Header: http.Header{},
			}
		},
		Encode: func(q rwinboundrequest.Request, _ rwdialect.ForwardOptions) http.Header {
			return http.Header{"X-Router": {name}, "X-Id": {q.ID}}
		},
		Inspect: func(r *http.Response) rwdialect.ResponseInfo {
			return rwdialect.ResponseInfo{RequestID: r.Header.Get("X-Id"), Authentic: true}
		},
	}
}

// schedulingDelay returns how long goroutines of a router wait for CPU time. Only
// forwarded requests take CPU time; refusals take none.
func (f *testFleet) schedulingDelay(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, begin := f.forwarded[name], time.Now().Add(-fleetDelayWindow)
	n := 0
	for n < len(list) && list[len(list)-1-n].After(begin) {
		n++
	}
	if float64(n) > fleetCapacity*fleetDelayWindow.Seconds() {
		return fleetDelay
	}
	return 0
}

// send sends a request on a new connection, and once more after the retry delay
// if it is refused with 503. It reports whether the request was served, and logs why
// it wasn't.
func (f *testFleet) send(router int, key, id string) bool { return f.sendBy(f.client, router, key, id) }

// sendBy is send with the first attempt on a connection of a client.
func (f *testFleet) sendBy(client *http.Client, router int, key, id string) (served bool) {
	var outcomes []string
	defer func() {
		if !served {
			f.t.Logf("request %s: %s", id, strings.Join(outcomes, ", "))
		}
	}()
	for range 2 {
		outcomes = append(outcomes, time.Now().Format("05.000"))
		req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+fleetDeployment(router).Front+"/x", strings.NewReader("prompt"))
		if !assert.NoError(f.t, err) {
			return false
		}
		req.Host = "h"
		req.Header.Set("X-Id", id)
		req.Header.Set("X-Key", key)
		resp, err := client.Do(req)
		client = f.client
		if err != nil {
			outcomes = append(outcomes, err.Error())
			return false
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		outcomes = append(outcomes, fmt.Sprintf("%s %s %v", resp.Status, bytes.TrimSpace(body), err))
		if resp.StatusCode != http.StatusServiceUnavailable {
			return err == nil && resp.StatusCode == http.StatusOK
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if !assert.NoError(f.t, err) {
			return false
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
	return false
}

// load sends requests to a router at an even rate, and returns by second how
// many were sent first then, and how many of these were served.
func (f *testFleet) load(router int, key string, perSecond, seconds int) (sent, served []int) {
	sent, served = make([]int, seconds), make([]int, seconds)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range perSecond * seconds {
		second := i / perSecond
		sent[second]++
		wg.Go(func() {
			if f.send(router, key, fmt.Sprintf("%s-%d-%d", key, router, i)) {
				mu.Lock()
				defer mu.Unlock()
				served[second]++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return sent, served
}

// forwardedBySecond returns how many requests each router forwarded in each
// second from a time on.
func (f *testFleet) forwardedBySecond(begin time.Time, seconds int) [][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts [][]int
	for i := range fleetSize {
		list := make([]int, seconds)
		for _, at := range f.forwarded[fleetDeployment(i).Name] {
			if s := int(at.Sub(begin) / time.Second); s < seconds {
				list[s]++
			}
		}
		counts = append(counts, list)
	}
	return counts
}

// Guards against an account that gets far less than it asks because the load
// balancer directs all its callers to one router, while other routers have room.
func TestAccountOfOneSaturatedRouterIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			seconds = 6
			// window is the number of seconds over which the account must get half
			// of what it asks.
			window = 2
			// largeRate and smallRate are requests a second.
			largeRate = 4 * fleetCapacity
			smallRate = fleetCapacity / 16
		)
		f := newTestFleet(t)
		begin := time.Now()
		var wg sync.WaitGroup
		for router := 1; router < fleetSize; router++ {
			wg.Go(func() {
				sent, served := f.load(router, "key-b", smallRate, seconds)
				assert.Equal(t, sent, served, "requests of the small account at router %d, by second", router)
			})
		}
		sent, served := f.load(0, "key-a", largeRate, seconds)
		wg.Wait()
		t.Logf("large account by second: sent %v, served %v", sent, served)
		t.Logf("forwarded by router and second: %v", f.forwardedBySecond(begin, seconds))
		for s := range seconds - window + 1 {
			asked, got := 0, 0
			for i := range window {
				asked += sent[s+i]
				got += served[s+i]
			}
			assert.GreaterOrEqual(t, 2*got, asked, "requests of the large account that were served, from second %d", s)
		}
	})
}
