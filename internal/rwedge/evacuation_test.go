package rwedge

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwstorewatch"
)

// zoneLine has the fields of the lines about evacuations.
type zoneLine struct {
	Event     rwlog.Event
	Zone      string
	Upstreams int
	Held      bool
	Took      float64
}

// Guards against an evacuation that doesn't show in the log and the metrics, shows
// again with each listing, or doesn't say that its zone is unknown.
func TestEvacuationIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := New(Config{
			Deployment: rwdeployment.Deployment{Name: "r", Zone: "z"}, Out: &out,
			Decode: func(it rwitem.Item) (rwcatalog.Decoded, error) {
				if zone, ok := strings.CutPrefix(it.Key, "evacuate/"); ok {
					return rwcatalog.Decoded{Evacuated: zone}, nil
				}
				return rwcatalog.Decoded{Instance: &rwinstance.Instance{ID: it.Key, Service: "s", Zone: string(it.Value)}}, nil
			},
		})
		rev, era := int64(0), int64(1)
		show := func(keys ...string) {
			rev++
			b := rwstorewatch.Batch{Rev: rev, Era: era}
			for _, key := range keys {
				b.Items = append(b.Items, rwitem.Item{Key: key, Value: []byte("x"), Rev: 1, Era: era})
			}
			e.onList("", b)
		}
		metrics := func() string {
			w := httptest.NewRecorder()
			e.writeMetrics(w, nil)
			return w.Body.String()
		}
		show("a", "b")
		show("a", "b", "evacuate/x")
		show("a", "b", "evacuate/x")
		time.Sleep(1500 * time.Millisecond)
		require.Contains(t, metrics(), "zone_evacuated_ms_x 1500\n")
		require.Contains(t, metrics(), "upstreams_evacuated 2\n")
		require.Contains(t, metrics(), "zones_evacuated 1\n")
		show("a", "b", "evacuate/x", "evacuate/none")
		show("a", "b", "evacuate/none")
		show("a", "b")
		require.Contains(t, metrics(), "zones_evacuated 0\n")
		require.NotContains(t, metrics(), "zone_evacuated_ms_")
		show("a", "b", "evacuate/y")
		era, rev = 2, 0
		show("a", "b")
		time.Sleep(time.Minute)
		e.updateCatalog("time", func(now time.Time) (bool, map[string]error) { return e.catalog.Tick(now), nil })

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, e.sink.Run(ctx))
		var lines []zoneLine
		for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var l zoneLine
			require.NoError(t, json.Unmarshal([]byte(text), &l), text)
			if l.Event >= rwlog.ZoneEvacuated && l.Event <= rwlog.ZoneUnknown {
				lines = append(lines, l)
			}
		}
		require.Equal(t, []zoneLine{
			{Event: rwlog.ZoneEvacuated, Zone: "x", Upstreams: 2},
			{Event: rwlog.ZoneEvacuated, Zone: "none"},
			{Event: rwlog.ZoneUnknown, Zone: "none"},
			{Event: rwlog.ZoneTakenBack, Zone: "x", Upstreams: 2, Took: 1500},
			{Event: rwlog.ZoneTakenBack, Zone: "none"},
			{Event: rwlog.ZoneEvacuated, Zone: "y"},
			{Event: rwlog.ZoneUnknown, Zone: "y"},
			{Event: rwlog.ZoneEvacuated, Zone: "y", Held: true},
			{Event: rwlog.ZoneUnknown, Zone: "y"},
			{Event: rwlog.ZoneTakenBack, Zone: "y", Took: 60000},
		}, lines)
	})
}

// Guards against a store that is read too rarely for one of the two deadlines.
func TestShorterDeadlineBoundsTheInterval(t *testing.T) {
	for _, c := range []struct{ config, evacuate, want time.Duration }{
		{3 * time.Second, 5 * time.Second, 3 * time.Second}, {3 * time.Second, time.Second, time.Second},
		{0, time.Second, time.Second}, {3 * time.Second, 0, 3 * time.Second}, {0, 0, 0},
	} {
		require.Equal(t, c.want, applyDeadline(rwdeployment.Deployment{ConfigDeadline: c.config, EvacuateDeadline: c.evacuate}))
	}
}
