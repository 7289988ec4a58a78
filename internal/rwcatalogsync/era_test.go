package rwcatalogsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

// Guards against a router that starts after the store returned from a copy and never
// learns what others know from before, because its revision is theirs.
func TestRouterAsksOnceForWhatTheCopyLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := fleet(t, 4)
		rev := rwrevision.Revision{Era: 2, Rev: 5}
		r[0].Apply("store", rev, []rwitem.Item{{Key: "a", Era: 1, Rev: 9}, {Key: "b", Era: 2, Rev: 5}})
		r[1].Apply("store", rev, []rwitem.Item{{Key: "b", Era: 2, Rev: 5}})
		observe := func() {
			r[1].ObserveRev(r[0].self, rev)
			time.Sleep(pullDelay + pullPause)
			synctest.Wait()
		}
		observe()
		require.Len(t, r[1].items, 3)
		observe()
		require.Len(t, r[1].items, 3, "it asked again")
	})
}

// Guards against a router that waits for its next listing in a fleet whose readers
// run a release that names no era.
func TestRevisionWithoutAnEraMakesARouterList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := fleet(t, 4)
		listed := 0
		r[1].Refresh = func() { listed++ }
		r[1].Apply("store", rwrevision.Revision{Era: 1, Rev: 5}, nil)
		r[1].ObserveRev(r[0].self, at(5))
		require.Zero(t, listed)
		r[1].ObserveRev(r[0].self, at(6))
		require.Equal(t, 1, listed)
		require.Equal(t, rwrevision.Revision{Era: 1, Rev: 5}, r[1].revision())
	})
}
