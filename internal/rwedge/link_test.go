//go:build !race

// With the race detector these thousands of goroutines under virtual time take
// minutes, and the runtime crashed in such tests (see the Makefile).

package rwedge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbandwidth"
	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwlinknetwork"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwstorewatch"
)

const (
	// narrowLink is the rate of a router's link in bits per second, and promptBytes
	// the size of a prompt.
	narrowLink  = 10e6
	promptBytes = 17_000
	// linkTarget is the objective of a request and linkDeadline its caller's patience.
	linkTarget   = 500 * time.Millisecond
	linkDeadline = 4 * time.Second
	engineCount  = 10
	callersIP    = "10.9.0.1"
)

// linkedFleet is a fleet of routers with narrow links in one zone, engines with room
// for everything, and a load balancer, for a bubble of testing/synctest.
type linkedFleet struct {
	t       *testing.T
	network *rwlinknetwork.Network
	edges   []*Edge

	mu sync.Mutex
	// missed holds how many readiness checks in a row each router has missed.
	missed []int
	// failures counts the attempts that weren't served, by what ended them.
	failures map[string]int
}

func linkedAddr(router, port int) string { return fmt.Sprintf("10.1.%d.1:%d", router, port) }

func linkedIP(router int) string { return fmt.Sprintf("10.1.%d.1", router) }

// linkedDeployment returns the settings of a router.
func linkedDeployment(i int) rwdeployment.Deployment {
	d := fleetDeployment(i)
	d.Front, d.Ready, d.Peer = linkedAddr(i, 7001), linkedAddr(i, 7002), linkedAddr(i, 7003)
	d.Metrics, d.Relay = linkedAddr(i, 7004), linkedAddr(i, 7005)
	d.Seeds = []string{linkedAddr(0, 7003)}
	d.MemoryBytes, d.MaxDescriptors, d.LinkBitsPerSecond = fleetMemory, 4100, narrowLink
	return d
}

// newLinkedFleet starts the routers, which stop at the end of the test, and waits
// until each of them is ready and knows the others.
func newLinkedFleet(t *testing.T, size int) *linkedFleet {
	f := &linkedFleet{t: t, network: &rwlinknetwork.Network{}, missed: make([]int, size), failures: map[string]int{}}
	t.Cleanup(func() { time.Sleep(time.Minute) })
	items := map[string]rwcatalog.Decoded{
		"config": {Config: rwrouteconfig.New(1, rwrouteconfig.Limits{}, []rwrouteconfig.Route{{
			Name: "route", Host: "h", Prefix: "/", Kind: rwrouteconfig.Safe, MaxAttempts: 2, Timeout: linkDeadline, Target: linkTarget,
			Split: []rwrouteconfig.Weight{{Service: "model", Weight: 1}},
		}}, []rwrouteconfig.Service{{Name: "model", Engine: &rwrouteconfig.Engine{Slots: 1000, KVCapacity: 1e8}}},
			map[string]rwrouteconfig.Account{"key-a": {Name: "a"}})},
	}
	batch := rwstorewatch.Batch{Items: []rwitem.Item{{Key: "config", Rev: 1}}, Rev: 1}
	for i := range engineCount {
		key := "engine" + strconv.Itoa(i)
		items[key] = rwcatalog.Decoded{Instance: &rwinstance.Instance{ID: key, Service: "model", Zone: "z", Slots: 1000, Addr: f.serveEngine(i)}}
		batch.Rev++
		batch.Items = append(batch.Items, rwitem.Item{Key: key, Rev: batch.Rev})
	}
	signals, stopped := make(chan os.Signal, size), make(chan error, size)
	for i := range size {
		d := linkedDeployment(i)
		e := New(Config{
			Deployment: d, Reload: func() (rwdeployment.Deployment, error) { return d, nil },
			Dialect: linkedDialect(d.Name), Key: "0123456789abcdef", Out: io.Discard, Signals: signals,
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
			Listen: func(addr string) (net.Listener, error) {
				if addr == d.Front {
					link := rwbandwidth.New(narrowLink)
					return f.network.Listen(addr, link.ReceiveBuffer(), link.Backlog())
				}
				return f.network.Listen(addr, 0, minBacklog)
			},
			Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return f.network.Dial(ctx, linkedIP(i), addr)
			},
			SchedulingDelay: func() time.Duration { return 0 },
		})
		e.peers.Handle("clock", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) { return time.Now(), nil })
		f.edges = append(f.edges, e)
		go func() { stopped <- e.Run() }()
	}
	t.Cleanup(func() {
		for range size {
			signals <- syscall.SIGTERM
		}
		for range size {
			assert.NoError(t, <-stopped)
		}
	})
	for _, e := range f.edges {
		require.Eventually(t, func() bool { return e.ready() && len(e.gossip.Live("")) == size }, 20*time.Second, 50*time.Millisecond)
	}
	// Links between routers open with the first messages.
	time.Sleep(time.Second)
	for i := range size {
		f.network.SetRate(linkedIP(i), narrowLink/8)
		go f.checkReadiness(i)
	}
	return f
}

// serveEngine serves an engine until the end of the test and returns its address.
func (f *linkedFleet) serveEngine(i int) string {
	l, err := f.network.Listen(fmt.Sprintf("10.2.%d.1:80", i), 0, minBacklog)
	require.NoError(f.t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "response")
	})}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// linkedDialect returns the dialect of a router, with a prompt in each request.
func linkedDialect(name string) rwdialect.Dialect {
	d := fleetDialect(name, linkDeadline)
	decode := d.Decode
	d.Decode = func(r *http.Request) rwinboundrequest.Request {
		q := decode(r)
		q.Prompt = rwprompt.Prompt{Parts: []rwprompt.Part{{ID: "shared-" + r.Header.Get("X-Part"), Tokens: 200}, {ID: q.ID, Tokens: 50}}, Input: 250, MaxOutput: 10}
		return q
	}
	return d
}

// checkReadiness asks a router each second whether it is ready, as the load balancer
// does.
func (f *linkedFleet) checkReadiness(router int) {
	for f.t.Context().Err() == nil {
		time.Sleep(time.Second)
		status, _ := f.exchange(linkedAddr(router, 7002), time.Now().Add(time.Second), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		f.mu.Lock()
		f.missed[router]++
		if status == http.StatusOK {
			f.missed[router] = 0
		}
		f.mu.Unlock()
	}
}

// route returns the router that the load balancer chooses for a caller: the first one
// while it is in rotation, since all callers of the account have the same hash there.
func (f *linkedFleet) route(request int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []int
	for i, n := range f.missed {
		if n < 2 {
			in = append(in, i)
		}
	}
	if len(in) == 0 || in[0] == 0 {
		return 0
	}
	return in[request%len(in)]
}

// exchange sends a request on a new connection and returns the status and the retry
// delay of its response, or 0 if there is none.
func (f *linkedFleet) exchange(addr string, deadline time.Time, request string) (int, time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := f.network.Dial(ctx, callersIP, addr)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(deadline)
	go func() { _, _ = io.WriteString(c, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, 0
	}
	if resp.StatusCode != http.StatusOK {
		f.mu.Lock()
		f.failures[strconv.Itoa(resp.StatusCode)+" "+string(bytes.TrimSpace(body))]++
		f.mu.Unlock()
	}
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(after * float64(time.Second))
}

// send sends a request, and once more if it is refused. It reports whether it was
// served within the objective.
func (f *linkedFleet) send(i int) bool {
	begin := time.Now()
	for attempt := range 2 {
		head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nX-Id: %d-%d\r\nX-Part: %d\r\nX-Key: key-a\r\nContent-Length: %d\r\n\r\n", i, attempt, i%40, promptBytes)
		status, after := f.exchange(linkedAddr(f.route(i), 7001), begin.Add(linkDeadline), head+string(make([]byte, promptBytes)))
		if status == http.StatusOK {
			return time.Since(begin) < linkTarget
		}
		if status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(after)
	}
	return false
}

// Guards against a router whose link is full and that then is alone: the prompts of
// an account that the load balancer sends there hold up the answers of owners and the
// probes of members, and the router refuses what the others have room for.
func TestFullLinkKeepsTheRouterInTouch(t *testing.T) {
	const (
		size, seconds = 17, 6
		// overload is how many times what the link carries is asked.
		overload = 5
		bound    = 50 * time.Millisecond
		// noticed is the second from which new connections go elsewhere, and usable
		// the fraction of the link that is used until then.
		noticed, usable = 3, 0.5
	)
	synctest.Test(t, func(t *testing.T) {
		f := newLinkedFleet(t, size)
		linkRate := narrowLink / 8
		perSecond := int(overload * linkRate / promptBytes)
		var mu sync.Mutex
		served, lost := make([]int, seconds), 0
		var ways []time.Duration
		var wg sync.WaitGroup
		begin := time.Now()
		wg.Go(func() {
			for i := 0; time.Since(begin) < seconds*time.Second; i++ {
				time.Sleep(20 * time.Millisecond)
				wg.Go(func() {
					start := time.Now()
					var there time.Time
					err := f.edges[0].peers.Call(context.Background(), linkedAddr(1+i%(size-1), 7003), "clock", true, &there)
					assert.NoError(t, err)
					mu.Lock()
					defer mu.Unlock()
					ways = append(ways, there.Sub(start), time.Since(there))
				})
				for _, e := range f.edges {
					if len(e.gossip.Live("")) < size {
						lost++
					}
				}
			}
		})
		for i := range perSecond * seconds {
			wg.Go(func() {
				if f.send(i) {
					mu.Lock()
					defer mu.Unlock()
					served[i/perSecond]++
				}
			})
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		wg.Wait()
		slices.Sort(ways)
		t.Logf("asked %d a second, served by second %v; attempts by failure %v", perSecond, served, f.failures)
		t.Logf("control messages each way: median %v, 99th percentile %v", ways[len(ways)/2], ways[len(ways)*99/100])
		require.Zero(t, lost, "a live router was taken for lost")
		require.Less(t, ways[len(ways)*99/100], bound)
		// The load balancer takes two checks to notice that the router is out of
		// rotation.
		for second := noticed; second < seconds; second++ {
			require.GreaterOrEqual(t, float64(served[second]), 0.9*float64(perSecond), "second %d", second)
		}
		carried := 0.0
		for _, n := range served[:noticed] {
			carried += float64(n)
		}
		require.GreaterOrEqual(t, carried, usable*float64(noticed)*linkRate/promptBytes, "what the link carries is used")
	})
}
