package rwssereader

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// read returns the raw events, their ids and the final error.
func read(r io.Reader) ([]string, []int64, error) {
	var raw []string
	var ids []int64
	events := New(r)
	for {
		e, err := events.Next()
		if err != nil {
			return raw, ids, err
		}
		raw, ids = append(raw, string(e.Raw)), append(ids, e.ID)
	}
}

// Guards against changing bytes, whatever the line ends and the sizes of reads.
func TestEventsAreUnchanged(t *testing.T) {
	const in = "id: 1\ndata: a\n\nweight-versions: 3\nid:2\ndata: b\ndata: c\n\n: note\n\nid: x\r\ndata: d\r\n\r\n"
	raw, ids, err := read(iotest.OneByteReader(strings.NewReader(in)))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, in, strings.Join(raw, ""))
	require.Equal(t, []int64{1, 2, -1, -1}, ids)
}

// Guards against treating a stream that breaks within an event as complete, and
// against forwarding a partial event.
func TestBrokenEvent(t *testing.T) {
	for _, in := range []string{"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\n"} {
		raw, _, err := read(strings.NewReader(in))
		require.True(t, rwfault.Is(err, rwcode.UpstreamTruncated))
		require.Len(t, raw, 1)
	}
	_, _, err := read(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(errors.New("reset"))))
	require.True(t, rwfault.Is(err, rwcode.UpstreamTruncated))
}

// Guards against a caller of Next that takes the end within an event for the end
// after one, because the fault wraps io.EOF.
func TestEndWithinAnEventIsNotEOF(t *testing.T) {
	for _, in := range []string{"id: 1\nda", "id: 1\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		_, _, err := read(strings.NewReader(in))
		require.NotErrorIs(t, err, io.EOF)
	}
}

// Guards against an upstream that makes the router buffer any number of bytes.
func TestEndlessEvent(t *testing.T) {
	_, _, err := read(strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4)))
	require.Error(t, err)
}

// Guards against panics and against changing bytes.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\n\nid:\n")
	f.Fuzz(func(t *testing.T, in string) {
		raw, _, err := read(strings.NewReader(in))
		require.Error(t, err)
		require.True(t, strings.HasPrefix(in, strings.Join(raw, "")))
	})
}

// Guards against text that isn't taken for malformed, and against fields and comments that
// are.
func TestMalformedEvents(t *testing.T) {
	for in, want := range map[string]Event{
		"id: 1\ndata: a\n\n":                       {ID: 1},
		"weight-versions: 3\nid:2\r\ndata\r\n\r\n": {ID: 2},
		": note\n\n":                               {ID: -1, Comment: true},
		"\n":                                       {ID: -1, Comment: true},
		"HTTP/1.1 500 Error\r\nid: 3\r\n\r\n":      {ID: 3, Malformed: true},
		"Content-Type: text/plain\n\n":             {ID: -1, Malformed: true},
		"internal error\n\n":                       {ID: -1, Malformed: true},
	} {
		e, err := New(strings.NewReader(in)).Next()
		require.NoError(t, err)
		require.Equal(t, in, string(e.Raw))
		e.Raw = nil
		require.Equal(t, want, e, "%q", in)
	}
}
