package rwdrain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwfleet"
)

// signalStarts is the number of starts that get SIGTERM at each moment. The
// instant from which the signal is handled differs from start to start.
const signalStarts = 20

// firstRequest is a request that a router refuses before it has a configuration.
const firstRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// Guards against a router that SIGTERM in the first moments of its start kills,
// with the requests that it has accepted. The test polls without a pause, so it
// doesn't run beside the others.
func TestSignalDuringStart(t *testing.T) {
	cases := map[string]func(*testing.T, string, string) net.Conn{
		"first log line":   awaitLog,
		"first connection": sendFirstRequest,
	}
	for name, await := range cases {
		t.Run(name, func(t *testing.T) {
			var failures []string
			for i := range signalStarts {
				if f := signalStart(t, fmt.Sprintf("router-%d", i), await); f != "" {
					failures = append(failures, f)
				}
			}
			require.Empty(t, failures, "%d of %d starts", len(failures), signalStarts)
		})
	}
}

// signalStart sends SIGTERM to a router at a moment of its start, and returns
// what is wrong with its exit or with its response to a request that was sent
// before the signal. There is no platform, so that the request is refused.
func signalStart(t *testing.T, name string, await func(t *testing.T, addr, log string) net.Conn) string {
	dir := t.TempDir()
	f := rwfleet.New(bin, dir)
	defer f.Close()
	p, err := rwfleet.NewRouter(name, "za")
	require.NoError(t, err)
	platform, err := rwfleet.FreeAddr()
	require.NoError(t, err)
	require.NoError(t, f.StartRouter(p, platform, "--drain", "100ms"))
	conn := await(t, p.Addr, dir+"/"+name+".log")
	p.Signal(syscall.SIGTERM)
	var failures []string
	if conn != nil {
		defer func() { _ = conn.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			failures = append(failures, "no response: "+err.Error())
		} else {
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				failures = append(failures, resp.Status)
			}
		}
		_ = conn.Close()
	}
	if !p.Wait(exitTimeout) {
		failures = append(failures, "no exit")
	} else if state := p.ExitState(); !state.Success() {
		failures = append(failures, state.String())
	}
	return strings.Join(failures, "; ")
}

// awaitLog returns once the router has written to its log, which it does before
// it accepts callers.
func awaitLog(t *testing.T, _, log string) net.Conn {
	for deadline := time.Now().Add(exitTimeout); ; {
		if info, err := os.Stat(log); err == nil && info.Size() > 0 {
			return nil
		}
		require.True(t, time.Now().Before(deadline), "no log line")
	}
}

// sendFirstRequest sends a request as soon as the router accepts callers.
func sendFirstRequest(t *testing.T, addr, _ string) net.Conn {
	for deadline := time.Now().Add(exitTimeout); ; {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			require.NoError(t, conn.SetDeadline(deadline))
			_, err = io.WriteString(conn, firstRequest)
			require.NoError(t, err)
			return conn
		}
		require.True(t, time.Now().Before(deadline), "%v", err)
	}
}
