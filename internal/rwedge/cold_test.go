package rwedge

import (
	"bytes"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwrouteconfig"
)

// Guards against cold upstreams that the router doesn't notice, whose bound it doesn't
// show, or whose every entry it logs as a change of the upstreams.
func TestColdUpstreamIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEdge()
		var out bytes.Buffer
		e.log = e.log.Output(&out)
		e.cold.Overage, e.cold.Slack = 1.5, 5
		service := rwrouteconfig.Service{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 6.8}
		config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{service}, nil)
		in := rwinstance.Instance{ID: "a", Service: "s", StartMillis: 1}
		e.catalog.Decode = func(it rwitem.Item) (rwcatalog.Decoded, error) {
			if it.Key == "config" {
				return rwcatalog.Decoded{Config: config}, nil
			}
			decoded := in
			return rwcatalog.Decoded{Instance: &decoded}, nil
		}
		rev := int64(0)
		update := func(key string) {
			rev++
			e.updateCatalog("store", func(now time.Time) (bool, map[string]error) {
				e.catalog.Advance(now, rwrevision.Revision{Rev: rev})
				return e.catalog.Apply(now, []rwitem.Item{{Key: key, Rev: rev, Value: []byte("x")}})
			})
			e.reportCold(time.Now())
		}
		update("config")
		update("a")
		require.NotContains(t, out.String(), `"event":606`)
		out.Reset()
		for in.Cold = 3 * time.Second; in.Cold > 0; in.Cold -= time.Second {
			update("a")
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("upstream cold")))
		require.Zero(t, bytes.Count(out.Bytes(), []byte("upstreams changed")))

		in.Cold = 2 * time.Second
		update("a")
		e.cold.PlainTaken(time.Now(), "s", "a", "x")
		w := httptest.NewRecorder()
		e.writeMetrics(w, nil)
		for _, line := range []string{"upstreams_cold 1\n", "cold_ms_a 2000\n", "cold_used_a 1\n", "cold_limit_a 5\n", "cold_sent 1\n"} {
			require.Contains(t, w.Body.String(), line)
		}
		time.Sleep(2 * time.Second)
		e.reportCold(time.Now())
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("upstream warm")), out.String())
	})
}

// Guards against a router that isn't told of its own pause: its steady clock may have
// stood still.
func TestPauseReachesTheColdBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEdge()
		e.cold.Overage, e.cold.Slack = 1.5, 5
		for range 20 {
			e.cold.ObserveRouters(time.Now(), []rwidentity.Identity{e.self})
			time.Sleep(200 * time.Millisecond)
		}
		ranks := func() bool {
			time.Sleep(100 * time.Millisecond)
			return e.cold.Ranks(time.Now(), "s", "cell", func(rwidentity.Identity) float64 { return 1 })
		}
		require.True(t, ranks())
		e.gossip.OnResume(time.Second)
		require.False(t, ranks())
	})
}

// Guards against requests to an upstream whose zone has just been taken back that are
// placed before the router takes the upstream for cold.
func TestReturnedUpstreamIsColdOnceItIsUsable(t *testing.T) {
	const upstreams = 200
	e := newEdge()
	service := rwrouteconfig.Service{Name: "s", ColdStart: time.Hour, ColdPerSecond: 6.8}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{service}, nil)
	e.catalog.Decode = func(it rwitem.Item) (rwcatalog.Decoded, error) {
		if it.Key == "config" {
			return rwcatalog.Decoded{Config: config}, nil
		}
		if zone, ok := strings.CutPrefix(it.Key, "evacuate/"); ok {
			return rwcatalog.Decoded{Evacuated: zone}, nil
		}
		return rwcatalog.Decoded{Instance: &rwinstance.Instance{ID: it.Key, Service: "s", Zone: it.Key, StartMillis: 1}}, nil
	}
	apply := func(items ...rwitem.Item) {
		e.updateCatalog("peer", func(now time.Time) (bool, map[string]error) { return e.catalog.Apply(now, items) })
	}
	items := []rwitem.Item{{Key: "config", Rev: 1, Value: []byte("x")}}
	for i := range upstreams {
		for _, key := range []string{strconv.Itoa(i), "evacuate/" + strconv.Itoa(i)} {
			items = append(items, rwitem.Item{Key: key, Rev: 1, Value: []byte("x")})
		}
	}
	apply(items...)
	for i := range upstreams {
		id := strconv.Itoa(i)
		started, coldAtFirst := make(chan struct{}), make(chan bool)
		go func() {
			close(started)
			for {
				if _, usable := e.published.Load().Instance(id); usable {
					coldAtFirst <- e.cold.ColdOf(time.Now(), "s")[id] > 0
					return
				}
			}
		}()
		<-started
		apply(rwitem.Item{Key: "evacuate/" + id, Rev: 2, Deleted: true})
		require.True(t, <-coldAtFirst, "upstream %s", id)
	}
}
