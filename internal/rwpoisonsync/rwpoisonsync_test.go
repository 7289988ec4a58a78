package rwpoisonsync

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcrash"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
)

// fleet is routers that share what they know of crashes, on a network in memory.
type fleet struct {
	routers []*Syncer
	mu      sync.Mutex
	live    []rwidentity.Identity
	// freed counts the parts that routers freed.
	freed int
}

// newFleet starts routers of which the first few are live.
func newFleet(t *testing.T, size, live int) *fleet {
	var network rwmemnetwork.Network
	// Lets calls in progress end, which have timeouts.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	f := &fleet{}
	for i := range size {
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		id := rwidentity.Identity{Name: "r" + strconv.Itoa(i), Zone: "z", Addr: l.Addr().String()}
		peers := rwpeer.New(id, "0123456789abcdef", nil, zerolog.Nop(), rwmetric.New())
		peers.Dial = network.Dial
		s := New(peers)
		s.Live = func() []rwidentity.Identity {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.live
		}
		s.OnHarmful = func(string, string, string) {}
		s.OnFreed = func(string, string, string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.freed++
		}
		f.routers = append(f.routers, s)
		if i < live {
			f.mu.Lock()
			f.live = append(f.live, id)
			f.mu.Unlock()
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = peers.Serve(ctx, l) })
		group.Go(func() { _ = s.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			group.Wait()
		})
	}
	return f
}

// crash lets engines crash under one part, each seen by another router.
func (f *fleet) crash(from, n int) {
	for i := range n {
		up := "e" + strconv.Itoa(from+i)
		f.routers[i%len(f.live)].AddCrash(rwcrash.Crash{Service: "s", Upstream: up, StartMillis: 1, Prompt: up, Parts: []string{"first", "bad"}})
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *fleet) refuses(i int, id string) bool {
	_, _, ok := f.routers[i].Harmful("s", []string{id})
	return ok
}

// Guards against routers of which each has to see several crashes itself, and against
// blaming a part on which only another router has seen responses.
func TestRoutersShareCrashesAndResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.routers[2].AddResponse("s", []string{"first"})
		f.crash(0, 3)
		time.Sleep(time.Second)
		for i := range f.routers {
			require.True(t, f.refuses(i, "bad"), i)
			require.False(t, f.refuses(i, "first"), i)
		}
		f.routers[1].AddResponse("s", []string{"bad"})
		time.Sleep(time.Second)
		for i := range f.routers {
			require.False(t, f.refuses(i, "bad"), i)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(t, len(f.routers), f.freed)
	})
}

// Guards against a router that starts amid such requests and lets engines crash again
// before it refuses them.
func TestRouterThatJoinsLearnsHarmfulParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		f.routers[0].AddResponse("s", []string{"first"})
		f.crash(0, 4)
		time.Sleep(time.Second)
		require.False(t, f.refuses(2, "bad"))
		f.mu.Lock()
		f.live = append(f.live[:len(f.live):len(f.live)], f.routers[2].self)
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		require.True(t, f.refuses(2, "bad"))
	})
}

// Guards against parts that stay blamed for connections that broke while their engines
// went on, as one router learns from their later responses.
func TestRoutersShareProofOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.routers[0].AddResponse("s", []string{"first"})
		f.crash(0, 3)
		f.routers[0].AddAlive("s", "e0", 1, time.Now())
		time.Sleep(time.Second)
		for i := range f.routers {
			require.False(t, f.refuses(i, "bad"), i)
		}
	})
}
