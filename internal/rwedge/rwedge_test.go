package rwedge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bounds that add up to more memory than the machine has: with
// 0.7 and 0.25, a router was killed at its memory limit in a flood. The
// program's own pages are 15 MB of the 184 MB of the smallest machine, and the
// sockets to upstreams come on top.
func TestMemoryBoundsAddUp(t *testing.T) {
	require.LessOrEqual(t, memoryLimitRatio+callerMemoryRatio, 0.8)
	require.LessOrEqual(t, requestMemoryRatio, memoryLimitRatio/2, "live requests may use at most half of the collector's limit")
}
