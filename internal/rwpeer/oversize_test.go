package rwpeer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
)

// buffer is a bytes.Buffer for several goroutines.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), `"event":502`)
}

// Guards against a message that is dropped without a log line because it is too large,
// and against a caller that waits for its timeout since the answer was.
func TestOversizeIsLogged(t *testing.T) {
	var log buffer
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := rwpeer.New(rwidentity.Identity{Name: "b", Inc: 1}, key, nil, zerolog.New(&log), rwmetric.New())
	large := strings.Repeat("x", 2<<20)
	b.Handle("large", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) { return large, nil })
	b.Handle("small", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) { return "ok", nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = b.Serve(ctx, l)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	a, to := serve(t, "a", key), end{peers: b, addr: l.Addr().String()}
	start := time.Now()
	_, err = call(t, a, to, "large", nil)
	require.True(t, rwfault.Is(err, rwcode.PeerSize), "%v", err)
	require.Less(t, time.Since(start), limit)
	require.Equal(t, 1, log.lines())
	out, err := call(t, a, to, "small", nil)
	require.NoError(t, err)
	require.Equal(t, "ok", out)

	_, err = call(t, to, a, "echo", large)
	require.Error(t, err)
	require.Equal(t, 2, log.lines())
	b.Notify(a.addr, "echo", large)
	require.Eventually(t, func() bool { return log.lines() == 3 }, limit, time.Millisecond)
}
