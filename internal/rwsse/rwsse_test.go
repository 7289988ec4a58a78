package rwsse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// collect returns the data of all events and the error at the end of the stream.
func collect(r io.Reader) (out []string, end error) {
	lines := New(r)
	for {
		data, err := lines.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(data))
	}
}

// Guards against a truncated last line that is returned as a complete one, and
// against unbounded memory use.
func TestReader(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		want   []string
		code   rwcode.Code
	}{
		"complete":                 {"data: a\n\ndata:b\r\n\r\ndata: [DONE]\n\n", []string{"a", "b", "[DONE]"}, rwcode.None},
		"no final line break":      {"data: a\n\ndata: [DONE]", []string{"a", "[DONE]"}, rwcode.None},
		"other fields":             {": ping\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, rwcode.None},
		"empty":                    {"", nil, rwcode.None},
		"truncated":                {"data: a\n\ndata: {\"id\"", []string{"a"}, rwcode.UpstreamTruncated},
		"truncated in the field":   {"data: a\n\nda", []string{"a"}, rwcode.UpstreamTruncated},
		"line too long":            {"data: " + strings.Repeat("x", MaxLineBytes), nil, rwcode.UpstreamMalformed},
		"longest line":             {"data:" + strings.Repeat("x", MaxLineBytes-6) + "\n", []string{strings.Repeat("x", MaxLineBytes-6)}, rwcode.None},
		"other line is too long":   {":" + strings.Repeat("x", MaxLineBytes), nil, rwcode.UpstreamMalformed},
		"truncated marker's field": {"data: [DONE", nil, rwcode.UpstreamTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			got, end := collect(strings.NewReader(c.stream))
			require.Equal(t, c.want, got)
			if c.code == rwcode.None {
				require.Equal(t, io.EOF, end)
				return
			}
			require.True(t, rwfault.Is(end, c.code))
		})
	}
}

// Guards against a broken connection that is reported as the end of the stream.
func TestBrokenConnection(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("data: a\n"), iotest.ErrReader(io.ErrUnexpectedEOF))
	got, end := collect(broken)
	require.Equal(t, []string{"a"}, got)
	require.True(t, rwfault.Is(end, rwcode.UpstreamTruncated))
}

// Guards against data that depends on how the stream is split into reads, and
// against data with a line break.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("data: a\r\n\r\n: ping\r\ndata:b\r\n"))
	f.Add([]byte("event: error\ndata: {}\n"))
	f.Add([]byte("data: {\"id\""))
	f.Fuzz(func(t *testing.T, stream []byte) {
		got, end := collect(bytes.NewReader(stream))
		slow, slowEnd := collect(iotest.OneByteReader(bytes.NewReader(stream)))
		require.Equal(t, got, slow)
		require.Equal(t, errors.Is(end, io.EOF), errors.Is(slowEnd, io.EOF))
		for _, data := range got {
			require.NotContains(t, data, "\n")
		}
	})
}
