package rwprefillwindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const ms = time.Millisecond

// Guards against a pause between events as long as all prompts that are prefilled one
// after the other.
func TestBusyCountsThePromptsBefore(t *testing.T) {
	var w Window
	require.Zero(t, w.Busy(at(0), 100*ms, 400*ms))
	w.Add(at(0), 100*ms)
	w.Add(at(0), 100*ms)
	require.Equal(t, 200*ms, w.Busy(at(0), 100*ms, 400*ms))
	require.Equal(t, 100*ms, w.Busy(at(0), 300*ms, 400*ms), "the window begins 100 ms later")
	require.Zero(t, w.Busy(at(0), 500*ms, 400*ms), "the prompt fills the window by itself")
}

// Guards against an engine that is kept from work by what it did long ago.
func TestBusyForgets(t *testing.T) {
	var w Window
	w.Add(at(0), 300*ms)
	require.Equal(t, 50*ms, w.Busy(at(550), 100*ms, 400*ms))
	require.Zero(t, w.Busy(at(600), 100*ms, 400*ms))
	w.Busy(at(2_000), 100*ms, 400*ms)
	require.Empty(t, w.spans)
}
