package rwfleetpolicy_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwrequest"
)

// Guards against a router that has just started and refuses forwarded calls
// with no_upstream because it hasn't computed the cells yet, and against
// requests that wait although their pool has no cells.
func TestRequestsWaitForTheFirstCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := rwfleetpolicy.New(rwidentity.Identity{Name: "ra", Zone: "za"}, 1)
		p.Now = time.Now
		q := &rwrequest.Request{ID: "1", Account: "varna", Kind: "order", Pool: "orders", Arrived: time.Now()}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Acquire(ctx, q)
		require.True(t, rwfault.Is(err, rwcode.DeadlineExceeded), "%v", err)
		require.Equal(t, context.DeadlineExceeded, ctx.Err())
		p.Update(nil, nil)
		_, err = p.Acquire(t.Context(), q)
		require.True(t, rwfault.Is(err, rwcode.NoUpstream), "%v", err)
	})
}
