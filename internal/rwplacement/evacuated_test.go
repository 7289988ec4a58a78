package rwplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuated engine that gets a request or is copied from, and
// against one that has lost what is known of its cache when its zone returns.
func TestEvacuatedEngineGetsNothing(t *testing.T) {
	p := placer("a")
	require.Equal(t, "a", p.Submit(at(0), request("1", "acc", "s", 1000)).Engine)
	p.FirstEvent(at(200), "1")
	p.SetEngines([]Engine{{ID: "a", Evacuated: true}, {ID: "b"}})
	d := p.Submit(at(1000), request("2", "acc", "s", 1000))
	require.Equal(t, Granted, d.Verdict)
	require.Equal(t, "b", d.Engine)
	require.Empty(t, d.Source)
	p.Ended(at(1100), "1", Served)
	p.SetEngines([]Engine{{ID: "a"}, {ID: "c"}})
	d = p.Submit(at(9000), request("3", "acc", "s", 1000))
	require.Equal(t, "a", d.Engine)
	require.Equal(t, 13_000, d.CachedTokens)
}

// Guards against requests that wait for their whole target, or run in the zone, after
// the only engines of the cell were evacuated.
func TestQueueOfAnEvacuatedCellIsRefusedAtOnce(t *testing.T) {
	p := New(Spec{Slots: 1, KVCapacity: 1_000_000, Window: 2 * time.Second})
	p.SetEngines([]Engine{{ID: "a"}})
	require.Equal(t, Granted, p.Submit(at(0), request("1", "acc", "s", 100)).Verdict)
	waiting := request("2", "acc", "s", 100)
	waiting.Target = 5 * time.Second
	require.Equal(t, Queued, p.Submit(at(1), waiting).Verdict)
	p.SetEngines([]Engine{{ID: "a", Evacuated: true}})
	p.Ended(at(2), "1", Served)
	decided := p.Tick(at(3))
	require.Len(t, decided, 1)
	require.Equal(t, NoEngine, decided[0].Verdict)
	require.Positive(t, decided[0].RetryAfter)
	require.Zero(t, p.QueueLength())
}
