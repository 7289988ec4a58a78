package rwsink

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a log reader that stops reading and thereby blocks requests.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := New(w)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = s.Run(ctx); close(done) }()
		for range 10 {
			for range 1000 {
				_, err := s.WriteLevel(zerolog.InfoLevel, []byte("x\n"))
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
		}
		require.Positive(t, s.Dropped.Load())
		cancel()
		require.NoError(t, r.Close())
		<-done
	})
}

// Guards against a flood of lines that costs more than the requests, and against
// warnings that are dropped because of informational lines.
func TestVolumeIsBoundedByLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		for range 3 * infoRate {
			_, _ = s.WriteLevel(zerolog.InfoLevel, []byte("info\n"))
		}
		for range 5 {
			_, _ = s.WriteLevel(zerolog.WarnLevel, []byte("warn\n"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, s.Run(ctx))
		require.Equal(t, infoRate, strings.Count(out.String(), "info"))
		require.Equal(t, 5, strings.Count(out.String(), "warn"))
		require.EqualValues(t, 2*infoRate, s.Dropped.Load())
	})
}

// Guards against counts that are missing just when there is a flood to explain.
func TestFloodDoesNotDisplaceSummaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		for range 3 * infoRate {
			_, _ = s.WriteLevel(zerolog.InfoLevel, []byte("info\n"))
		}
		log := zerolog.New(s.Summaries())
		for range 2 * summaryRate {
			log.Info().Msg("summary")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, s.Run(ctx))
		require.Equal(t, summaryRate, strings.Count(out.String(), "summary"))
	})
}
