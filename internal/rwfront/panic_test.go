package rwfront

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwexchange"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwplacement"
)

// Guards against an upstream that counts as busier by one for good because an
// attempt at it panicked.
func TestPanicEndsTheAttempt(t *testing.T) {
	pool := rwconn.New(dialect().Inspect)
	pool.Dial = func(context.Context, string, string) (net.Conn, error) { panic(http.ErrAbortHandler) }
	f := &Handler{Dialect: dialect(), Pool: pool, InFlight: new(rwinflight.Table)}
	var ends []rwplacement.End
	dest := destination{id: "a", end: func(e rwplacement.End) { ends = append(ends, e) }}
	require.Panics(t, func() {
		_ = f.tryUpstream(t.Context(), httptest.NewRecorder(), &rwexchange.Exchange{}, dest)
	})
	require.Equal(t, []rwplacement.End{rwplacement.Failed}, ends)
}
