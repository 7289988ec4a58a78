package rwfailure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a failure rate that never decays, and against one failure that
// counts as several.
func TestRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	require.Zero(t, r.At(now))
	r.Record(now, true, 0.25)
	require.InDelta(t, 0.25, r.At(now), 1e-9)
	for range 20 {
		r.Record(now, true, 0.25)
	}
	require.InDelta(t, 1, r.At(now), 0.01)
	require.InDelta(t, 0.5, r.At(now.Add(halfLife)), 0.01)
	r.Record(now, false, 0.25)
	require.InDelta(t, 0.75, r.At(now), 0.01)
}
