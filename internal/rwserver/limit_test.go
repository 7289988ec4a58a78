package rwserver

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections without a request, and idle ones, that keep new ones out,
// in each protocol, and against the loss of a request in progress to a new connection.
func TestConnectionsWithoutRequestGiveWay(t *testing.T) {
	const maxOpen, crowded = 6, 3
	for name, useTLS := range map[string]bool{"cleartext": false, "TLS": true} {
		for proto, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2.0": true} {
			t.Run(name+" "+proto, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				f := newStoppedFixture(t, useTLS, l, new(net.Dialer).DialContext, longHeaderTimeout)
				f.server.LimitConns(maxOpen, crowded)
				f.start()
				finish := f.startSlow(f.client(http2), proto)
				for range 4 * maxOpen {
					f.connect()
					f.requireServed(f.client(http2), proto)
					require.Eventually(t, func() bool { return f.server.limiter.Open() <= crowded }, testTimeout, time.Millisecond)
				}
				finish()
			})
		}
	}
}
