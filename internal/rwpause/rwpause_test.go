package rwpause_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwpause"
)

// Guards against a missed pause that only one of the two clocks shows, after
// which the process would act on stale state, and against false alarms by late
// ticks.
func TestTick(t *testing.T) {
	const interval = 50 * time.Millisecond
	epoch := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name       string
		mono, wall time.Duration
		late       time.Duration
		paused     bool
	}{
		{"on time", interval, interval, 0, false},
		{"early", 0, 0, 0, false},
		{"busy machine", time.Second, time.Second, 950 * time.Millisecond, false},
		{"at the limit", time.Second + interval, time.Second + interval, time.Second, false},
		{"stopped process", 3 * time.Second, 3 * time.Second, 2950 * time.Millisecond, true},
		{"suspended VM, monotonic clock stopped", interval, time.Minute, time.Minute - interval, true},
		{"wall clock set back during a pause", 2 * time.Second, -time.Hour, 1950 * time.Millisecond, true},
		{"wall clock set back", interval, -time.Hour, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := rwpause.New(interval)
			_, paused := p.Tick(time.Hour, epoch)
			require.False(t, paused, "the first tick has nothing to compare with")
			late, paused := p.Tick(time.Hour+c.mono, epoch.Add(c.wall))
			require.Equal(t, c.late, late)
			require.Equal(t, c.paused, paused)
			_, paused = p.Tick(time.Hour+c.mono+interval, epoch.Add(c.wall+interval))
			require.False(t, paused, "one pause must be reported once")
		})
	}
}
