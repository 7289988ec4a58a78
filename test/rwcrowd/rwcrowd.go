// Package rwcrowd plays crowds of callers that don't behave: bodies without an end or far
// over the limit, responses that aren't read, and connections and requests that are kept
// open at little cost.
package rwcrowd

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// farOver is the length of bodies far over the limit, as a multiple of it.
const farOver = 16

const (
	// slowInterval is the time between two sends of slow callers.
	slowInterval = 300 * time.Millisecond
	// slowBodyBytes is the length that slow callers announce, and wholeBodyBytes that of
	// complete bodies to an upstream that doesn't answer.
	slowBodyBytes, wholeBodyBytes = 60 << 10, 100 << 10
)

// Crowd is a number of callers that all do the same at once.
type Crowd struct {
	Name string
	Size int
	// send sends what the caller n sends. Its errors don't matter: the router may
	// close the connection at any time.
	send func(n int, w io.Writer) error
	// repeat is what each caller sends every slowInterval after that, or empty for
	// nothing more.
	repeat string
}

// Target is what callers send to a kind of router.
type Target struct {
	// Path and Fields are the path and the header fields of an ordinary request, each
	// field with its line end; LargePath is that of one with a long response.
	Path, LargePath, Fields string
	// StuckPath and StuckFields are those of a request to a service that never answers.
	StuckPath, StuckFields string
	// IDPrefix is the begin of the requests' ids.
	IDPrefix string
	// MaxBodyBytes is the limit of bodies, and Callers the number of callers that send
	// bodies.
	MaxBodyBytes, Callers int
}

// head returns the head of a request without its empty line, with additional fields.
func (g Target) head(path string, n int, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s-%d-%08x\r\n%s",
		path, g.IDPrefix, n, rand.Uint32(), fields)
}

// sendChunks sends a body of a length in chunks, and its end if it is to be complete.
func (g Target) sendChunks(w io.Writer, n, length, chunk int, complete bool) error {
	if _, err := io.WriteString(w, g.head(g.Path, n, g.Fields+"Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	// Many small chunks are sent with one write.
	perWrite := max(1, (64<<10)/len(one))
	part := []byte(strings.Repeat(one, perWrite))
	for sent := 0; sent+perWrite*chunk < length; sent += perWrite * chunk {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if complete {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// sendAnnounced announces a body of a length and sends a part of it.
func (g Target) sendAnnounced(w io.Writer, n, length, send int) error {
	if _, err := io.WriteString(w, g.head(g.Path, n, g.Fields+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))); err != nil {
		return err
	}
	part := bytes.Repeat([]byte("x"), 64<<10)
	for send > 0 {
		sent, err := w.Write(part[:min(len(part), send)])
		if err != nil {
			return err
		}
		send -= sent
	}
	return nil
}

// Crowds returns the callers that operators saw end a process, and others that make a
// router hold memory.
func (g Target) Crowds() []Crowd {
	return []Crowd{
		{Name: "large_chunks_that_stop_short_of_the_end", Size: g.Callers, send: func(n int, w io.Writer) error {
			return g.sendChunks(w, n, g.MaxBodyBytes, 64<<10, n%8 == 0)
		}},
		{Name: "very_small_chunks", Size: g.Callers, send: func(n int, w io.Writer) error {
			return g.sendChunks(w, n, g.MaxBodyBytes, 8, n%8 == 0)
		}},
		{Name: "far_over_the_limit_and_announced", Size: g.Callers, send: func(n int, w io.Writer) error {
			return g.sendAnnounced(w, n, farOver*g.MaxBodyBytes, farOver*g.MaxBodyBytes)
		}},
		{Name: "far_over_the_limit_in_chunks", Size: g.Callers, send: func(n int, w io.Writer) error {
			return g.sendChunks(w, n, farOver*g.MaxBodyBytes, 64<<10, true)
		}},
		{Name: "announced_and_never_sent_whole", Size: g.Callers, send: func(n int, w io.Writer) error {
			return g.sendAnnounced(w, n, g.MaxBodyBytes, g.MaxBodyBytes-1)
		}},
		{Name: "heads_without_end", Size: 450, send: func(n int, w io.Writer) error {
			_, err := io.WriteString(w, g.head(g.Path, n, g.Fields+"Label: "+strings.Repeat("x", 250<<10)))
			return err
		}},
		{Name: "responses_that_are_not_read", Size: 240, send: func(n int, w io.Writer) error {
			_, err := io.WriteString(w, g.head(g.LargePath, n, g.Fields+"Content-Length: 0\r\n\r\n"))
			return err
		}},
	}
}

// Silent returns a crowd whose connections stay open without a complete head.
func (g Target) Silent() []Crowd {
	return []Crowd{
		{Name: "connections_without_a_request", Size: g.Callers, send: func(int, io.Writer) error { return nil }},
		{Name: "heads_a_few_bytes_at_a_time", Size: g.Callers, repeat: "x", send: func(n int, w io.Writer) error {
			_, err := io.WriteString(w, g.head(g.Path, n, g.Fields+"Label: "))
			return err
		}},
	}
}

// SilentHTTP2 returns a crowd whose HTTP/2 connections stay open without a request.
func (g Target) SilentHTTP2() Crowd {
	const preface, emptySettings = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	return Crowd{Name: "http2_connections_without_a_request", Size: g.Callers, send: func(_ int, w io.Writer) error {
		_, err := io.WriteString(w, preface+emptySettings)
		return err
	}}
}

// Endless returns two callers that send without end: a line, and a body in chunks.
func (g Target) Endless() Crowd {
	return Crowd{Name: "senders_without_end", Size: 2, send: func(n int, w io.Writer) error {
		if n == 1 {
			return g.sendChunks(w, n, math.MaxInt, 64<<10, false)
		}
		for part := bytes.Repeat([]byte("x"), 64<<10); ; {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
	}}
}

// Slow returns crowds whose bodies arrive a byte at a time.
func (g Target) Slow() []Crowd {
	return []Crowd{
		{Name: "chunked_bodies_a_byte_at_a_time", Size: g.Callers, repeat: "1\r\nx\r\n", send: func(n int, w io.Writer) error {
			return g.sendChunks(w, n, 0, 1, false)
		}},
		{Name: "announced_bodies_a_byte_at_a_time", Size: g.Callers, repeat: "x", send: func(n int, w io.Writer) error {
			return g.sendAnnounced(w, n, slowBodyBytes, 1)
		}},
	}
}

// Stuck returns a crowd of complete requests to a service that never answers.
func (g Target) Stuck() Crowd {
	return Crowd{Name: "complete_bodies_to_a_service_that_hangs", Size: g.Callers, send: func(n int, w io.Writer) error {
		head := g.head(g.StuckPath, n, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", g.StuckFields, wholeBodyBytes))
		_, err := io.WriteString(w, head+strings.Repeat("x", wholeBodyBytes))
		return err
	}}
}

// Play lets the crowd send, all at once and each caller for no longer than limit, and
// returns its connections, which stay open, once each caller has sent all or can't send
// more. Callers that repeat what they send do so until their connections are closed.
func (c Crowd) Play(addr string, limit time.Duration) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	for n := range c.Size {
		senders.Go(func() {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = nc.SetWriteDeadline(time.Now().Add(limit))
			if c.send(n, nc) == nil && c.repeat != "" {
				go c.sendRepeatedly(nc)
			}
		})
	}
	senders.Wait()
	return conns
}

// sendRepeatedly sends until the connection is closed by either side.
func (c Crowd) sendRepeatedly(nc net.Conn) {
	_ = nc.SetWriteDeadline(time.Time{})
	for {
		time.Sleep(slowInterval)
		if _, err := io.WriteString(nc, c.repeat); err != nil {
			return
		}
	}
}
