package rwplacement

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against engines that look slow because one router reports their first events
// late: requests of all routers were refused while engines stood empty.
func TestLateReportsOfOneRouterDontSlowEngines(t *testing.T) {
	const lag = 400
	p := placer("a", "b")
	submit := func(ms int, id, router string) Decision {
		r := request(id, "acc-"+router, "s-"+router, 500)
		r.Router, r.Target = router, 300*time.Millisecond
		return p.Submit(at(ms), r)
	}
	// Caches the shared parts of all routers.
	for i, router := range []string{"full", "sound-1", "sound-2"} {
		id := "first-" + router
		require.Equal(t, Granted, submit(1000*i, id, router).Verdict)
		p.FirstEvent(at(1000*i+150), id)
		p.Ended(at(1000*i+200), id, Served)
	}
	// first holds when the routers report the first events.
	first := map[int][]string{}
	refused := map[string]int{}
	for ms := 3000; ms < 8000; ms += 10 {
		for _, id := range first[ms] {
			p.FirstEvent(at(ms), id)
			p.Ended(at(ms), id, Served)
		}
		p.Tick(at(ms))
		router, late := "full", lag
		switch {
		case ms%100 == 0:
			router, late = "sound-1", 0
		case ms%100 == 50:
			router, late = "sound-2", 0
		case ms%20 != 0:
			continue
		}
		id := router + "-" + strconv.Itoa(ms)
		if d := submit(ms, id, router); d.Verdict == Granted {
			due := min(ms+int(d.Forecast.Milliseconds())/10*10, ms+60) + late
			first[due] = append(first[due], id)
		} else {
			refused[router]++
		}
	}
	require.Empty(t, refused)
	for _, e := range p.engines {
		require.Less(t, e.model.FirstEventDelay(), 100*time.Millisecond)
	}
}
