package rwedge

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwshutdown"
	"redwingworks.example/internal/rwstorewatch"
)

// Guards against a router that a signal in the first moments of its start kills
// without a drain.
func TestSignalsDuringStart(t *testing.T) {
	const addr = "127.0.0.1:0"
	var out bytes.Buffer
	e := New(Config{
		Deployment: rwdeployment.Deployment{
			Name: "r", Zone: "z", Front: addr, Ready: addr, Peer: addr, Metrics: addr, Grace: rwshutdown.MinGrace,
		},
		Prefixes: []string{"p"},
		Reload:   func() (rwdeployment.Deployment, error) { return rwdeployment.Deployment{}, nil },
		List:     func(context.Context, string) (rwstorewatch.Batch, error) { return rwstorewatch.Batch{}, nil },
		Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (rwstorewatch.Batch, error) {
			<-ctx.Done()
			return rwstorewatch.Batch{}, ctx.Err()
		},
		Out: &out,
	})
	// This registration keeps the signals from killing the test, and tells when
	// they have been delivered.
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(received)
	var once sync.Once
	e.log = e.log.Hook(zerolog.HookFunc(func(*zerolog.Event, zerolog.Level, string) {
		// The first line is written before the parts of the router start.
		once.Do(func() {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				assert.NoError(t, syscall.Kill(os.Getpid(), s))
				assert.Equal(t, s, <-received)
			}
		})
	}))
	// Only SIGTERM ends Run. There is no time limit, because the signals and the
	// listeners are those of the operating system and a slow machine takes long.
	require.NoError(t, e.Run())
	var events []rwlog.Event
	for _, l := range logLines(t, e, &out) {
		events = append(events, l.Event)
	}
	require.Subset(t, events, []rwlog.Event{rwlog.SettingsReloaded, rwlog.StopRequested, rwlog.DrainFinished, rwlog.Stopped})
}
