package rwdrain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwfleet"
)

// addressStarts is the number of starts beside each taken address. The order in
// which the services start differs from start to start.
const addressStarts = 20

// Guards against a router that accepts callers although it can't listen for other
// routers or for operators: it ends at once, with the requests that it has
// accepted; and against one that doesn't say why. The test polls without a pause, so it doesn't run beside the others.
func TestStartBesideTakenAddress(t *testing.T) {
	cases := map[string]func(*rwfleet.Proc) string{
		"other routers": func(p *rwfleet.Proc) string { return p.Peer },
		"operators":     func(p *rwfleet.Proc) string { return p.Ops },
	}
	for name, addr := range cases {
		t.Run(name, func(t *testing.T) {
			accepted, lost := 0, 0
			for range addressStarts {
				f := rwfleet.New(bin, t.TempDir())
				t.Cleanup(f.Close)
				p, err := rwfleet.NewRouter("router", "za")
				require.NoError(t, err)
				taken, err := net.Listen("tcp", addr(p))
				require.NoError(t, err)
				platform, err := rwfleet.FreeAddr()
				require.NoError(t, err)
				require.NoError(t, f.StartRouter(p, platform))
				for !p.Wait(0) {
					a, l := sendRequest(t, p.Addr)
					accepted, lost = accepted+a, lost+l
				}
				require.Equal(t, 1, p.ExitState().ExitCode())
				require.Regexp(t, `"event":109,.*`+addr(p), f.Output(p), "the log doesn't tell why the router ended")
				require.NoError(t, taken.Close())
			}
			require.Zero(t, accepted, "connections in %d starts, %d of them without a response", addressStarts, lost)
		})
	}
}

// sendRequest returns the number of connections that it could open, and of those
// that got no response.
func sendRequest(t *testing.T, addr string) (accepted, lost int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(exitTimeout)))
	// A request that can't be written gets no response either.
	_, _ = io.WriteString(conn, firstRequest)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 1, 1
	}
	_ = resp.Body.Close()
	return 1, 0
}
