//go:build !race

// With the race detector these thousands of goroutines under virtual time take
// minutes, and the runtime crashed in such tests (see the Makefile).

package rwedge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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

// The CPU time that a router of a shared fleet takes for system calls and for its own
// work on a request, on a whole core.
const (
	acceptCost   = 30 * time.Microsecond
	dialCost     = 60 * time.Microsecond
	ioCost       = 10 * time.Microsecond
	closeCost    = 10 * time.Microsecond
	kilobyteCost = time.Microsecond
	headCost     = 30 * time.Microsecond
	forwardCost  = 500 * time.Microsecond
	// sharedSize is the number of routers of a shared fleet.
	sharedSize = 8
	// shareWindow is the time over which accounts get their shares.
	shareWindow = 4 * time.Second
)

// processor is the CPU time of a machine, which its goroutines get in turn.
type processor struct {
	mu sync.Mutex
	// share is the part of a core that the machine has.
	share  float64
	freeAt time.Time
	// waits holds how long the machine took to begin each piece of work since the
	// last call of delay.
	waits []time.Duration
}

// reserve takes CPU time and returns when the work is done.
func (p *processor) reserve(cost time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	begin := now
	if p.freeAt.After(now) {
		begin = p.freeAt
	}
	p.waits = append(p.waits, begin.Sub(now))
	p.freeAt = begin.Add(time.Duration(float64(cost) / p.share))
	return p.freeAt
}

// use takes CPU time and waits until the work is done. The caller must not hold a
// lock, since virtual time stands still while a goroutine waits for one.
func (p *processor) use(cost time.Duration) { time.Sleep(time.Until(p.reserve(cost))) }

// delay returns the 90th percentile of the waits since its last call.
func (p *processor) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := p.waits
	p.waits = nil
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)*9/10]
}

// costlyConn is a connection of a router whose system calls take CPU time.
type costlyConn struct {
	net.Conn
	processor *processor
}

func bytesCost(n int) time.Duration { return ioCost + time.Duration(n)*kilobyteCost/1024 }

// Read implements net.Conn.
func (c *costlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.processor.use(bytesCost(n))
	return n, err
}

// Write implements net.Conn. Its caller may hold a lock.
func (c *costlyConn) Write(p []byte) (int, error) {
	c.processor.reserve(bytesCost(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn. Its caller may hold a lock.
func (c *costlyConn) Close() error {
	c.processor.reserve(closeCost)
	return c.Conn.Close()
}

type costlyListener struct {
	net.Listener
	processor *processor
}

// Accept implements net.Listener. A goroutine that finds connections waiting accepts
// one after the other before other goroutines run.
func (l *costlyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.processor.reserve(acceptCost)
	time.Sleep(time.Duration(float64(acceptCost) / l.processor.share))
	return &costlyConn{c, l.processor}, nil
}

// linkConn is the end of a link between routers whose reads and writes take CPU time.
type linkConn struct {
	net.Conn
	processor *processor
	cost      time.Duration
}

// Read implements net.Conn. It doesn't wait: connections in memory have no buffers, so
// that the other end would hold a lock meanwhile.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.processor.reserve(c.cost)
	return n, err
}

// Write implements net.Conn. Its caller may hold a lock.
func (c *linkConn) Write(p []byte) (int, error) {
	c.processor.reserve(c.cost)
	return c.Conn.Write(p)
}

type linkListener struct {
	net.Listener
	processor *processor
	cost      time.Duration
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, processor: l.processor, cost: l.cost}, nil
}

// sharedFleet is a fleet of small routers in one zone, with one route and one
// upstream that has room for everything, for a bubble of testing/synctest.
type sharedFleet struct {
	t       *testing.T
	network *testNetwork
	size    int
	edges   []*Edge
	// processors are those of the routers' machines.
	processors []*processor
	// messageCost is the CPU time of a read or a write on a link between routers.
	messageCost time.Duration
	// arrived holds when requests arrived at the upstream.
	mu      sync.Mutex
	arrived []time.Time
}

// newSharedFleet starts the routers, which stop at the end of the test, and waits
// until each of them is ready and knows the others. The upstream responds after a
// time.
func newSharedFleet(t *testing.T, work time.Duration) *sharedFleet {
	f := &sharedFleet{t: t, network: newTestNetwork(t), size: sharedSize}
	upstream := f.network.serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.arrived = append(f.arrived, time.Now())
		f.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "response")
	})
	f.start(map[string]rwcatalog.Decoded{
		"config": {Config: rwrouteconfig.New(1, rwrouteconfig.Limits{}, []rwrouteconfig.Route{{
			Name: "route", Host: "h", Prefix: "/", Kind: rwrouteconfig.Safe, MaxAttempts: 2, Timeout: 8 * time.Second,
			Split: []rwrouteconfig.Weight{{Service: "s", Weight: 1}},
		}}, []rwrouteconfig.Service{{Name: "s"}}, map[string]rwrouteconfig.Account{"key-a": {Name: "a"}, "key-b": {Name: "b"}})},
		"instance": {Instance: &rwinstance.Instance{ID: "i", Service: "s", Zone: "z", Slots: 100_000, Addr: upstream}},
	}, func(name string) rwdialect.Dialect { return fleetDialect(name, callerPatience) })
	return f
}

// start starts the routers with the records of the store.
func (f *sharedFleet) start(items map[string]rwcatalog.Decoded, newDialect func(name string) rwdialect.Dialect) {
	t, size := f.t, f.size
	batch := rwstorewatch.Batch{}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		batch.Rev++
		batch.Items = append(batch.Items, rwitem.Item{Key: key, Rev: batch.Rev})
	}
	signals := make(chan os.Signal, size)
	stopped := make(chan error, size)
	for i := range size {
		d := fleetDeployment(i)
		d.MemoryBytes, d.MaxDescriptors, d.ShareWindow = fleetMemory, 4100, shareWindow
		p := &processor{share: fleetCapacity / 1000.0}
		dialect := newDialect(d.Name)
		decode, encode := dialect.Decode, dialect.Encode
		dialect.Decode = func(r *http.Request) rwinboundrequest.Request {
			p.use(headCost)
			return decode(r)
		}
		dialect.Encode = func(q rwinboundrequest.Request, o rwdialect.ForwardOptions) http.Header {
			p.use(forwardCost)
			return encode(q, o)
		}
		e := New(Config{
			Deployment: d, Reload: func() (rwdeployment.Deployment, error) { return d, nil },
			Dialect: dialect, Key: "0123456789abcdef", Out: io.Discard, Signals: signals,
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
				l, err := f.network.Listen(addr)
				switch {
				case err != nil:
					return nil, err
				case addr == d.Peer:
					return &linkListener{l, p, f.messageCost}, nil
				default:
					return &costlyListener{l, p}, nil
				}
			},
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				p.use(dialCost)
				c, err := f.network.Dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &costlyConn{c, p}, nil
			},
			SchedulingDelay: p.delay,
		})
		// A link between routers holds a lock while it opens.
		e.peers.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := f.network.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &linkConn{Conn: c, processor: p, cost: f.messageCost}, nil
		}
		f.edges, f.processors = append(f.edges, e), append(f.processors, p)
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
		require.Eventually(t, func() bool { return e.ready() && len(e.gossip.Live("")) == size }, 10*time.Second, 50*time.Millisecond)
	}
}

const (
	// callerPatience is how long callers wait for a response, and readPatience how
	// long until a router has read their request, or accepted their connection.
	callerPatience = 8 * time.Second
	readPatience   = time.Second
	// callerBody is the size of a request's body.
	callerBody = 10 << 10
)

// send sends a request on a new connection, and once more if it is refused or fails,
// as callers do. The load balancer's hash leads both to the same router. It reports
// whether the request was served.
func (f *sharedFleet) send(key, id string, router int) bool {
	deadline := time.Now().Add(callerPatience)
	for range 2 {
		status, after, err := f.try(key, id, router, deadline)
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(after)
	}
	return false
}

// try sends a request on a new connection, as exchange does.
func (f *sharedFleet) try(key, id string, router int, deadline time.Time) (status int, after time.Duration, err error) {
	c, err := f.open(router)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	return c.exchange(key, id, deadline)
}

// openCaller is a caller's connection.
type openCaller struct {
	net.Conn
	responses *bufio.Reader
}

// open opens a connection of a caller to a router.
func (f *sharedFleet) open(router int) (*openCaller, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), readPatience)
	defer cancel()
	conn, err := f.network.Dial(ctx, "tcp", fleetDeployment(router).Front)
	if err != nil {
		return nil, err
	}
	return &openCaller{conn, bufio.NewReader(receive(conn))}, nil
}

// exchange sends a request and returns the status of its response and the retry delay.
func (c *openCaller) exchange(key, id string, deadline time.Time) (status int, after time.Duration, err error) {
	_ = c.SetWriteDeadline(time.Now().Add(readPatience))
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, key, callerBody, make([]byte, callerBody))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, 0, err
	}
	// A refusal may come before the body is read.
	_ = c.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if s, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		after = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, after, err
}

// load sends requests at an even rate, and returns how many were sent first and how
// many of these were served, by the second in which they were sent first.
func (f *sharedFleet) load(key string, router, perSecond, seconds int) (asked, got []int) {
	asked, got = make([]int, seconds), make([]int, seconds)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range perSecond * seconds {
		at := i / perSecond
		asked[at]++
		wg.Go(func() {
			if f.send(key, fmt.Sprintf("%s-%d-%d", key, router, i), router) {
				mu.Lock()
				defer mu.Unlock()
				got[at]++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return asked, got
}

// Guards against an account whose callers all reach one small router, and that gets
// less than half of what it asks over the whole fleet while other routers and the
// upstream have room.
func TestAccountGetsItsShareThroughOneRouter(t *testing.T) {
	const (
		size, seconds, smallRate = sharedSize, 7, 20
		// window is the number of seconds over which the account must get half of
		// what it asks.
		window = 6
	)
	for name, c := range map[string]struct {
		// rate is the number of requests a second, and work how long each of them
		// takes.
		rate int
		work time.Duration
	}{
		"more requests than the router's CPU time takes": {rate: 1300, work: 600 * time.Millisecond},
		"more requests than the router's memory takes":   {rate: 900, work: 2400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSharedFleet(t, c.work)
				var wg sync.WaitGroup
				for router := 1; router < size; router++ {
					wg.Go(func() {
						asked, got := f.load("key-b", router, smallRate, seconds)
						for s := range seconds {
							assert.GreaterOrEqual(t, 2*got[s], asked[s], "the small account at router %d, second %d", router, s)
						}
					})
				}
				asked, got := f.load("key-a", 0, c.rate, seconds)
				wg.Wait()
				t.Logf("the large account by second: asked %v, got %v", asked, got)
				for i, e := range f.edges {
					t.Logf("router %d: %+v", i, e.relay.Stats())
				}
				for s := range seconds - window + 1 {
					assert.GreaterOrEqual(t, 2*sum(got[s:s+window]), sum(asked[s:s+window]), "the large account over the whole fleet, from second %d", s)
				}
			})
		})
	}
}

// Guards against a burst on kept connections that takes all CPU time of the router that
// an account's callers reach, so that few of its requests arrive at upstreams in time.
func TestBurstOnKeptConnectionsIsServed(t *testing.T) { testBurst(t, 200, 650) }

// Guards against the same with a burst of five times what the router serves.
func TestBurstOnManyKeptConnectionsIsServed(t *testing.T) { testBurst(t, 300, 1000) }

// testBurst plays a burst of requests at a rate a second, the first of which come on kept
// connections.
func testBurst(t *testing.T, kept, rate int) {
	// span is the part of a second in which half of what it asks has to arrive.
	const span = time.Second / 2
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFleet(t, 1300*time.Millisecond)
		var wg sync.WaitGroup
		callers := make([]*openCaller, kept)
		for i := range callers {
			wg.Go(func() {
				c, err := f.open(0)
				if !assert.NoError(t, err) {
					return
				}
				callers[i] = c
				status, _, err := c.exchange("key-a", fmt.Sprintf("kept-%d", i), time.Now().Add(callerPatience))
				assert.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		require.False(t, t.Failed())
		time.Sleep(time.Second)
		begin := time.Now()
		for i := range rate {
			wg.Go(func() {
				id := fmt.Sprintf("burst-%d", i)
				if i < kept {
					defer func() { _ = callers[i].Close() }()
					status, after, err := callers[i].exchange("key-a", id, time.Now().Add(callerPatience))
					if err == nil && status == http.StatusOK {
						return
					}
					time.Sleep(after)
				}
				f.send("key-a", id, 0)
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		wg.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		early := 0
		for _, at := range f.arrived {
			if since := at.Sub(begin); since >= 0 && since < span {
				early++
			}
		}
		t.Logf("%d of the requests of the first %v arrived in it; %+v", early, span, f.edges[0].relay.Stats())
		asked := int(time.Duration(rate) * span / time.Second)
		require.GreaterOrEqual(t, 2*early, asked)
	})
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// Guards against an account that is refused as often as a much larger one at the same
// router, which other routers serve as well, while no router has room.
func TestSmallAccountBesideALargerOneIsServed(t *testing.T) {
	const size, seconds, smallRate, hotRate, otherRate = sharedSize, 8, 60, 650, 220
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFleet(t, 600*time.Millisecond)
		var wg sync.WaitGroup
		var large atomic.Int64
		for router := range size {
			rate := otherRate
			if router == 0 {
				rate = hotRate
			}
			wg.Go(func() {
				_, got := f.load("key-b", router, rate, seconds)
				large.Add(int64(sum(got)))
			})
		}
		asked, got := f.load("key-a", 0, smallRate, seconds)
		wg.Wait()
		t.Logf("by second: asked %v, got %v; the large account %d of %d", asked, got, large.Load(), seconds*(hotRate+(size-1)*otherRate))
		for s := range seconds - 5 {
			assert.GreaterOrEqual(t, 2*sum(got[s:s+6]), sum(asked[s:s+6]), "from second %d", s)
		}
	})
}

// Guards against an account that is refused at a router whose CPU time other work takes,
// while the other routers are idle.
func TestAccountOfARouterWithOtherWorkIsServed(t *testing.T) {
	const (
		seconds, rate = 8, 30
		// workCost is the CPU time of a piece of other work, of which there are workRate
		// a second. Together they take 95% of the machine.
		workCost = 365 * time.Microsecond
		workRate = 500
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFleet(t, 600*time.Millisecond)
		go func() {
			for t.Context().Err() == nil {
				f.processors[0].reserve(workCost)
				time.Sleep(time.Second / workRate)
			}
		}()
		asked, got := f.load("key-a", 0, rate, seconds)
		t.Logf("by second: asked %v, got %v; %+v", asked, got, f.edges[0].relay.Stats())
		for s := range seconds - 5 {
			assert.GreaterOrEqual(t, 5*sum(got[s:s+6]), 4*sum(asked[s:s+6]), "from second %d", s)
		}
	})
}
