package rwflood

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwtestaccount"
	"redwingworks.example/test/rwtestbed"
)

func requests(at ...float64) arrivals {
	var out arrivals
	for _, s := range at {
		out = append(out, arrival{time.Unix(0, int64(s*float64(time.Second))), 30})
	}
	return out
}

// Guards against counting a burst that the constant rate can't serve in time, and
// against leaving out requests that it can serve.
func TestWithin(t *testing.T) {
	require.Equal(t, 60, requests(0, 3).tokensServedAt(15))
	require.Equal(t, 60, requests(0, 0).tokensServedAt(15))
	require.Equal(t, 60, requests(0, 0, 0).tokensServedAt(15), "the third ends after 6 s")
	require.Zero(t, requests(0).tokensServedAt(5))
	require.Equal(t, 30, requests(2, 2).tokensServedAt(10), "the second ends after 6 s")
}

// Guards against guaranteed rates that don't add up to the capacity.
func TestRatesDueAddUpToTheCapacity(t *testing.T) {
	fleet := rwtestbed.New("", "")
	fleet.Engines = []*rwfleet.Proc{{}}
	fleet.Accounts = []rwtestaccount.Account{{Name: "a", Share: 3}, {Name: "b", Share: 1}}
	sum := 0.0
	for _, c := range fleet.Accounts {
		for _, kind := range rwtestbed.Kinds {
			sum += guaranteedRate(fleet, flowKey{c.Name, kind})
		}
	}
	require.InDelta(t, capacity(fleet)*meanTokens, sum, 1e-6)
	require.InDelta(t, 3*8, guaranteedRate(fleet, flowKey{"a", "now"})/guaranteedRate(fleet, flowKey{"b", "batch"}), 1e-9)
}

// Guards against a loss of service that is hidden by the surplus of another flow,
// and against counting the requests of the flood.
func TestTake(t *testing.T) {
	fleet := rwtestbed.New("", "")
	fleet.Engines = []*rwfleet.Proc{{}}
	fleet.Accounts = []rwtestaccount.Account{{Name: "a", Share: 1}, {Name: "b", Share: 1}}
	f := &Result{Kept: 1, Phases: map[string]float64{}}
	before := served{{"a", "soon"}: requests(0), {"b", "soon"}: requests(0), {"a", "batch"}: requests(0, 1)}
	during := served{{"a", "soon"}: requests(0, 1)}
	f.addPhase(fleet, phase{"p", 3, true}, before, during)
	require.InDelta(t, 0.5, f.Kept, 1e-9)
	require.Equal(t, "p soon", f.Worst)
}
