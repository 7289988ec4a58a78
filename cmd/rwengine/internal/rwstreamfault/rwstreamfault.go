// Package rwstreamfault writes the event stream of a request and injects the fault
// that a test has set.
package rwstreamfault

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// Fault is a fault to inject into a stream. The zero value injects none.
type Fault struct {
	// Fault is the name of the fault, one of faultNames, or empty.
	Fault string `json:"fault"`
	// After is the index of the chunk at which the fault occurs, except for
	// error.
	After int `json:"after"`
	// Count is the number of requests to which the fault applies; 0 is all.
	Count int `json:"count"`
}

// faultNames lists the faults: a stream that ends early (cleanly, with an end
// marker, or by a broken connection), a duplicate chunk, two chunks in reverse
// order, a chunk with another request's id, malformed JSON, a stream that stalls
// without an end, and an error status before any chunk.
var faultNames = []string{"truncate", "short", "abort", "duplicate", "reorder", "foreign", "malformed", "stall", "error"}

// Valid reports whether the name of the fault is known or empty.
func (f Fault) Valid() bool { return f.Fault == "" || slices.Contains(faultNames, f.Fault) }

// Write writes the chunks of one request as tokens arrive, and then the end marker.
// It returns early if the context ends, the request is cancelled, or the fault ends
// the stream.
func (f Fault) Write(ctx context.Context, w http.ResponseWriter, id string, length int, tokens <-chan int) {
	if f.Fault == "error" {
		http.Error(w, "injected error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Redwing-Request", id)
	flush := http.NewResponseController(w)
	held := ""
	for {
		select {
		case <-ctx.Done():
			return
		case i, ok := <-tokens:
			if !ok {
				// The request was cancelled: end without the last chunk.
				return
			}
			text, more := f.apply(ctx, w, formatChunk(id, i, length), id, i, length)
			if !more {
				return
			}
			if f.Fault == "reorder" && i == f.After && i+1 < length {
				held = text
				continue
			}
			_, _ = io.WriteString(w, text+held)
			held = ""
			_ = flush.Flush()
			if i+1 == length {
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
				return
			}
		}
	}
}

// apply applies the fault to a chunk. It returns the text to write and whether the
// stream continues.
func (f Fault) apply(ctx context.Context, w io.Writer, text, id string, i, length int) (string, bool) {
	if i != f.After {
		return text, true
	}
	switch f.Fault {
	case "truncate":
		return "", false
	case "short":
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return "", false
	case "abort":
		panic(http.ErrAbortHandler)
	case "duplicate":
		return text + text, true
	case "foreign":
		return formatChunk("other-"+id, i, length), true
	case "malformed":
		return "data: {\"id\":\n\n", true
	case "stall":
		<-ctx.Done()
		return "", false
	}
	return text, true
}

func formatChunk(id string, i, length int) string {
	end := ""
	if i+1 == length {
		end = fmt.Sprintf(",\"finish\":\"stop\",\"usage\":%d", length)
	}
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"text\":\"%s/%d \"%s}\n\n", id, i, id, i, end)
}
