package rwfront

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwplacement"
)

// withEvacuated returns a snapshot in which exactly the given upstreams are evacuated.
func withEvacuated(before *rwconfigsnapshot.Snapshot, ids ...string) *rwconfigsnapshot.Snapshot {
	var list []rwinstance.Instance
	for _, service := range []string{"plain", "model"} {
		for _, in := range append(before.Usable(service), before.Evacuated(service)...) {
			in.Evacuated = false
			for _, id := range ids {
				in.Evacuated = in.Evacuated || in.ID == id
			}
			list = append(list, in)
		}
	}
	return rwconfigsnapshot.New(before.Config, before.Rev+1, time.Now(), list)
}

// publisher replaces the handler's snapshot by one that the returned function changes.
func publisher(f *fleet) func(ids ...string) {
	var p atomic.Pointer[rwconfigsnapshot.Snapshot]
	p.Store(f.front.Published())
	f.front.Published = p.Load
	return func(ids ...string) { p.Store(withEvacuated(p.Load(), ids...)) }
}

// Guards against new requests and retries that reach an evacuated upstream, and
// against one that gets no work after its zone was taken back.
func TestEvacuatedUpstreamGetsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evacuate func(ids ...string)
		var failing atomic.Bool
		f := serve(t, map[string]http.HandlerFunc{
			"a": respond(200, "a"),
			"b": func(w http.ResponseWriter, r *http.Request) {
				if failing.Load() {
					// The zone of the other upstream is evacuated while this one works.
					evacuate("a")
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				respond(200, "b")(w, r)
			},
		})
		evacuate = publisher(f)
		evacuate("a")
		for i := range 20 {
			status, body, _, err := f.send(t, "/unsafe/x", "X-Id", strconv.Itoa(i))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "b", body)
		}
		require.Empty(t, f.ran["a"])

		failing.Store(true)
		status, _, _, err := f.send(t, "/safe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status, "it ran, so it isn't refused")
		require.Empty(t, f.ran["a"])

		evacuate("b")
		status, body, _, err := f.send(t, "/safe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "a", body)
	})
}

// Guards against a request that waits, or is told another reason, while all upstreams
// of its service are evacuated.
func TestServiceInEvacuatedZonesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "a"), "b": respond(200, "b"), "m": events(1, 2, true)})
		evacuate := publisher(f)
		evacuate("a", "b", "m")
		start := time.Now()
		status, body, h, err := f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "zone_evacuated\n", body)
		after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 1.25*evacuatedRetryAfter.Seconds(), after, 0.25*evacuatedRetryAfter.Seconds())
		require.Zero(t, time.Since(start))
		require.Zero(t, f.runs())
		require.Equal(t, "1", f.front.Metrics.Refusals.Get("zone_evacuated").String())
		evacuate()
		status, _, _, err = f.send(t, "/unsafe/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

// Guards against a stream's caller who is told that a version is gone while its
// upstreams come back with their zone, and against a resumption in the zone.
func TestResumptionInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"m": events(3, 4, true), "n": events(3, 4, true)})
		f.setSoftware(map[string]string{"m": "v1", "n": "v2"})
		f.front.FindOrigin = func(context.Context, string, rwplacement.Request, string) (rworigin.Origin, *rwfault.Fault) {
			return rworigin.Origin{Service: "model", Software: "v1"}, nil
		}
		evacuate := publisher(f)
		evacuate("m")
		status, body, _, err := f.send(t, "/stream/x", "X-Resumes", "r0", "X-After", "2")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "zone_evacuated\n", body)
		require.Zero(t, f.runs())
		evacuate("n")
		status, _, _, err = f.send(t, "/stream/x", "X-Resumes", "r0", "X-After", "2")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, f.ran["m"], 1)
	})
}

// Guards against a grant that was made before the evacuation became known and is used
// after it, and against a loop over owners that don't learn of it.
func TestGrantOnItsWayWhileTheZoneIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := serve(t, map[string]http.HandlerFunc{"m": events(1, 2, true), "n": events(1, 2, true)})
		evacuate := publisher(f)
		acquire, slow := f.front.Acquire, true
		f.front.Acquire = func(ctx context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			g, fault := acquire(ctx, service, r)
			if slow {
				evacuate(g.Instance.ID)
				slow = false
			}
			return g, fault
		}
		status, _, _, err := f.send(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, f.ran["m"])
		require.Len(t, f.ran["n"], 1)
		require.Equal(t, "1", f.front.Metrics.Counters.Get("evacuation_moved").String())

		known := f.front.Published().Usable("model")[0]
		evacuate("m", "n")
		f.front.Acquire = func(context.Context, string, rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			return rwbroker.Grant{Instance: known}, nil
		}
		status, body, _, err := f.send(t, "/once/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, rwcode.ZoneEvacuated.String()+"\n", body)
		require.Equal(t, 1, f.runs())
	})
}
