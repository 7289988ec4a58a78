package rwedge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// fullWork is how long the upstream takes for a request, and fullRate a rate of
	// requests a second for which a router has the CPU time. Together they are more
	// requests in progress than a router has places for.
	fullWork = 4 * time.Second
	fullRate = fleetCapacity * 7 / 8
)

// assertServed checks that all requests were served, given their numbers by the second in
// which they were sent first.
func assertServed(t *testing.T, f *testFleet, asked, got []int) {
	for i, e := range f.edges {
		t.Logf("router %d: %+v", i, e.relay.Stats())
	}
	assert.Equal(t, asked, got, "requests that were served, by second")
}

// Guards against an account that is refused by the router which all its callers reach,
// because the account's service has all the places that it may have there, while other
// routers have places. Callers send a refused request once more.
func TestAccountOfOneFullRouterIsServed(t *testing.T) {
	const seconds = 14
	t.Run("new connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startTestFleet(t, fullWork, fleetMemory)
			asked, got := f.load(0, "key-a", fullRate, seconds)
			assertServed(t, f, asked, got)
		})
	})
	t.Run("kept connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startTestFleet(t, fullWork, fleetMemory)
			const callers = 700
			asked, got := make([]int, seconds), make([]int, seconds)
			begin := time.Now()
			var mu sync.Mutex
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					kept := &http.Transport{DialContext: f.network.Dial}
					defer kept.CloseIdleConnections()
					for n := 0; ; n++ {
						second := int(time.Since(begin) / time.Second)
						if second >= seconds {
							return
						}
						served := f.sendBy(&http.Client{Transport: kept}, 0, "key-a", fmt.Sprintf("%d-%d", caller, n))
						mu.Lock()
						asked[second]++
						if served {
							got[second]++
						}
						mu.Unlock()
					}
				})
				time.Sleep(time.Second / fullRate)
			}
			wg.Wait()
			assertServed(t, f, asked, got)
		})
	})
}
