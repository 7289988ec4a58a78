package rwfront

import (
	"context"
	"net/http"
	"sync"
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

// setSoftware lets the upstreams run the given versions. Grants respect the
// version of a request.
func (f *fleet) setSoftware(software map[string]string) {
	before := f.front.Published()
	var list []rwinstance.Instance
	for _, service := range []string{"plain", "model"} {
		for _, in := range before.Usable(service) {
			in.Software = software[in.ID]
			list = append(list, in)
		}
	}
	snapshot := rwconfigsnapshot.New(before.Config, 2, time.Now(), list)
	f.front.Published = func() *rwconfigsnapshot.Snapshot { return snapshot }
	f.front.Acquire = func(_ context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
		for _, in := range snapshot.Usable(service) {
			avoided := false
			for _, id := range r.Avoid {
				avoided = avoided || id == in.ID
			}
			if !avoided && (r.Software == "" || r.Software == in.Software) {
				return rwbroker.Grant{Instance: in}, nil
			}
		}
		return rwbroker.Grant{}, rwfault.New(rwcode.NoUpstream, service).WithRetryAfter(time.Second)
	}
}

// Guards against a caller's resumption that runs at another version or service
// than the one that began its stream, and against one that is not refused at once
// when its origin is not known or doesn't serve.
func TestCallerResumesAtTheOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		origin rworigin.Origin
		fault  *rwfault.Fault
		want   string
		code   rwcode.Code
	}{
		"first version":  {rworigin.Origin{Service: "model", Software: "v1"}, nil, "m", rwcode.None},
		"second version": {rworigin.Origin{Service: "model", Software: "v2"}, nil, "n", rwcode.None},
		"has left":       {rworigin.Origin{Service: "model", Software: "v3"}, nil, "", rwcode.SoftwareUnavailable},
		"other service":  {rworigin.Origin{Service: "plain", Software: "v1"}, nil, "", rwcode.SoftwareUnavailable},
		"unknown":        {rworigin.Origin{}, rwfault.New(rwcode.OriginUnknown, "s1").WithRetryAfter(time.Second), "", rwcode.OriginUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serve(t, map[string]http.HandlerFunc{"a": respond(200, "x"), "m": events(3, 5, true), "n": events(3, 5, true)})
				f.setSoftware(map[string]string{"a": "v1", "m": "v1", "n": "v2"})
				f.front.FindOrigin = func(_ context.Context, service string, r rwplacement.Request, id string) (rworigin.Origin, *rwfault.Fault) {
					require.Equal(t, "model", service)
					require.Equal(t, "s1", id)
					require.Equal(t, "s1", r.Stream)
					return c.origin, c.fault
				}
				status, body, h, err := f.send(t, "/stream/x", "X-After", "2", "X-Resumes", "s1")
				require.NoError(t, err)
				if c.code != rwcode.None {
					require.Equal(t, http.StatusServiceUnavailable, status)
					require.Equal(t, c.code.String()+"\n", body)
					require.NotEmpty(t, h.Get("Retry-After"))
					require.Zero(t, f.runs())
					return
				}
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, map[string][]string{c.want: {"r1@2"}}, f.ran)
			})
		})
	}
}

// Guards against a stream that begins unrecorded, or that is recorded under the
// id of a later attempt, and against a router's own resumption at another version
// while the one that began the stream serves, after it has left, or once its
// upstream is known to have started again with another version.
func TestRouterResumesAtTheOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		software  map[string]string
		uncertain bool
		complete  bool
		// recorded is the upstream at which the stream was recorded last.
		recorded string
	}{
		"serves":    {map[string]string{"m": "v1", "n": "v1"}, false, true, "n"},
		"has left":  {map[string]string{"m": "v1", "n": "v2"}, false, false, "m"},
		"uncertain": {map[string]string{"m": "v1", "n": "v1"}, true, false, "m"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := serve(t, map[string]http.HandlerFunc{"m": events(1, 2, false), "n": events(3, 5, true)})
				f.setSoftware(c.software)
				var mu sync.Mutex
				begun := map[string]rworigin.Origin{}
				f.front.Begun = func(id string, o rworigin.Origin) {
					mu.Lock()
					defer mu.Unlock()
					begun[id] = o
				}
				f.front.OriginUncertain = func(id string) bool {
					require.Equal(t, "r1", id)
					return c.uncertain
				}
				_, _, _, err := f.send(t, "/stream/x")
				require.Equal(t, c.complete, err == nil)
				if !c.complete {
					require.Empty(t, f.ran["n"])
				}
				mu.Lock()
				defer mu.Unlock()
				require.Equal(t, map[string]rworigin.Origin{"r1": {Service: "model", Software: "v1", Upstream: c.recorded}}, begun)
			})
		})
	}
}
