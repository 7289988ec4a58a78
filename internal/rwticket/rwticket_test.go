package rwticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwticket"
)

const fleetKey = "0123456789abcdef"

// Guards against encoding or decoding that changes the content of a ticket.
func TestTicketRoundTrip(t *testing.T) {
	want := rwticket.Ticket{Name: "router.1", Inc: 7, Issued: time.UnixMicro(1_800_000_000_000_001)}
	key := want.Sign(fleetKey, "random")
	require.True(t, rwticket.Is(key))
	got, err := rwticket.Parse(fleetKey, key)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against forged tickets, which could name a router that never issued
// them.
func TestForgedTicketIsRejected(t *testing.T) {
	key := rwticket.Ticket{Name: "a", Inc: 7}.Sign(fleetKey, "random")
	other := rwticket.Ticket{Name: "b", Inc: 7}.Sign("another-fleet-key", "random")
	for _, k := range []string{key + "x", key[:len(key)-1], other, "rwt1.", "rwt1..", "rwt1.e30."} {
		_, err := rwticket.Parse(fleetKey, k)
		require.True(t, rwfault.Is(err, rwcode.TicketInvalid), "%s: %v", k, err)
	}
}
