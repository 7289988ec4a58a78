//go:build !race

// See share_test.go.

package rwedge

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	// considerCost is the CPU time for looking at an engine for a request, and
	// messageCost that for a read or a write on a link between routers.
	considerCost = time.Microsecond
	messageCost  = 40 * time.Microsecond
	// ownTokens is the part of a prompt that no other request shares, and prefillRate
	// what an engine reads a second.
	ownTokens   = 6000
	prefillRate = 64_000
	// modelTarget is the objective of a request.
	modelTarget = 1200 * time.Millisecond
)

// newModelFleet starts a fleet whose upstreams are engines of one cell, which take their
// requests one after the other. Deciding on requests and messages between routers take
// CPU time.
func newModelFleet(t *testing.T, engines int) *sharedFleet {
	f := &sharedFleet{t: t, network: newTestNetwork(t), size: sharedSize, messageCost: messageCost}
	accounts := map[string]rwrouteconfig.Account{}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		accounts["key-"+name] = rwrouteconfig.Account{Name: name}
	}
	items := map[string]rwcatalog.Decoded{
		"config": {Config: rwrouteconfig.New(1, rwrouteconfig.Limits{}, []rwrouteconfig.Route{{
			Name: "route", Host: "h", Prefix: "/", Kind: rwrouteconfig.Safe, MaxAttempts: 1, Timeout: callerPatience, Target: modelTarget,
			Split: []rwrouteconfig.Weight{{Service: "model", Weight: 1}},
		}}, []rwrouteconfig.Service{{Name: "model", Engine: &rwrouteconfig.Engine{Slots: 32, KVCapacity: 450_000}}}, accounts)},
	}
	for i := range engines {
		id := fmt.Sprintf("engine%02d", i)
		items[id] = rwcatalog.Decoded{Instance: &rwinstance.Instance{ID: id, Service: "model", Zone: "z", Slots: 32, Addr: f.serveEngine()}}
	}
	f.start(items, func(name string) rwdialect.Dialect {
		d := fleetDialect(name, callerPatience)
		decode := d.Decode
		d.Decode = func(r *http.Request) rwinboundrequest.Request {
			q := decode(r)
			q.Prompt = rwprompt.Prompt{
				Parts: []rwprompt.Part{{ID: "shared-" + strconv.Itoa(len(q.ID)%7), Tokens: 350}, {ID: q.ID, Tokens: ownTokens}},
				Input: 350 + ownTokens, MaxOutput: 50,
			}
			return q
		}
		return d
	})
	for i, e := range f.edges {
		go func() {
			for t.Context().Err() == nil {
				considered := 0
				for _, l := range e.broker.Loads(0) {
					considered += l.Considered
				}
				f.processors[i].use(time.Duration(considered) * considerCost)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return f
}

// serveEngine serves an engine until the end of the test and returns its address.
func (f *sharedFleet) serveEngine() string {
	var mu sync.Mutex
	var freeAt time.Time
	return f.network.serveUpstream(f.t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		if now := time.Now(); freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(ownTokens * time.Second / prefillRate)
		done := freeAt
		mu.Unlock()
		time.Sleep(time.Until(done))
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "response")
	})
}

// owner returns the router that owns the only cell, once a request has come.
func (f *sharedFleet) owner() int {
	require.True(f.t, f.send("key-e", "first", 0))
	for i, e := range f.edges {
		if len(e.broker.Loads(0)) > 0 {
			return i
		}
	}
	require.Fail(f.t, "no router owns the cell")
	return 0
}

// Guards against an account whose callers all reach the owner of a cell, a small machine,
// and that gets less than half of what it asks for while larger accounts ask for more than
// the engines serve.
func TestAccountOfABusyOwnerIsServed(t *testing.T) {
	const engines, seconds, rate, largeRate = 18, 8, 25, 14
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, engines)
		owner := f.owner()
		var wg sync.WaitGroup
		served := make(map[string]int)
		var mu sync.Mutex
		for router := range f.size {
			if router == owner {
				continue
			}
			for _, name := range []string{"a", "b", "c", "d"} {
				wg.Go(func() {
					_, got := f.load("key-"+name, router, largeRate, seconds)
					mu.Lock()
					defer mu.Unlock()
					served[name] += sum(got)
				})
			}
		}
		asked, got := f.load("key-e", owner, rate, seconds)
		wg.Wait()
		t.Logf("by second: asked %v, got %v; large accounts %v; %+v", asked, got, served, f.edges[owner].relay.Stats())
		for s := range seconds - 5 {
			assert.GreaterOrEqual(t, 2*sum(got[s:s+6]), sum(asked[s:s+6]), "from second %d", s)
		}
	})
}
