package rwssereader

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless repeats a text without end and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(e.text, len(p)/len(e.text)+1))
	e.read += n
	return n, nil
}

// Guards against an event without end that takes more memory than a request may:
// rwedge admits requests in progress on the assumption of 160 KiB each, 30% of the
// memory of the machine in all.
func TestEndlessEventTakesTheMemoryOfARequestAtMost(t *testing.T) {
	for name, text := range map[string]string{"line": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			in := &endless{text: text}
			_, err := New(in).Next()
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
			require.LessOrEqual(t, in.read, 160<<10)
		})
	}
}
