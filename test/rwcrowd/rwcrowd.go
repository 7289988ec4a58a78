// Package rwcrowd plays crowds of callers that stay outside the published limits of a
// router: bodies without an end or far over the limit, and responses that aren't read.
package rwcrowd

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// farOver is the length of bodies far over the limit, as a multiple of it.
const farOver = 16

// Crowd is a number of callers that all do the same at once.
type Crowd struct {
	Name string
	Size int
	// send sends what the caller n sends. Its errors don't matter: the router may
	// close the connection at any time.
	send func(n int, w io.Writer) error
}

// Target is what callers send to a kind of router.
type Target struct {
	// Path and Fields are the path and the header fields of an ordinary request, each
	// field with its line end; LargePath is that of one with a long response.
	Path, LargePath, Fields string
	// IDPrefix is the begin of the requests' ids.
	IDPrefix string
	// MaxBodyBytes is the limit of bodies, and Callers the number of callers that send
	// bodies.
	MaxBodyBytes, Callers int
}

// head returns the head of a request without its empty line, with additional fields.
func (g Target) head(path string, n int, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s-%d-%08x\r\n%s%s",
		path, g.IDPrefix, n, rand.Uint32(), g.Fields, fields)
}

// sendChunks sends a body of a length in chunks, and its end if it is to be complete.
func (g Target) sendChunks(w io.Writer, n, length, chunk int, complete bool) error {
	if _, err := io.WriteString(w, g.head(g.Path, n, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
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
	if _, err := io.WriteString(w, g.head(g.Path, n, fmt.Sprintf("Content-Length: %d\r\n\r\n", length))); err != nil {
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
		{"large_chunks_that_stop_short_of_the_end", g.Callers, func(n int, w io.Writer) error {
			return g.sendChunks(w, n, g.MaxBodyBytes, 64<<10, n%8 == 0)
		}},
		{"very_small_chunks", g.Callers, func(n int, w io.Writer) error {
			return g.sendChunks(w, n, g.MaxBodyBytes, 8, n%8 == 0)
		}},
		{"far_over_the_limit_and_announced", g.Callers, func(n int, w io.Writer) error {
			return g.sendAnnounced(w, n, farOver*g.MaxBodyBytes, farOver*g.MaxBodyBytes)
		}},
		{"far_over_the_limit_in_chunks", g.Callers, func(n int, w io.Writer) error {
			return g.sendChunks(w, n, farOver*g.MaxBodyBytes, 64<<10, true)
		}},
		{"announced_and_never_sent_whole", g.Callers, func(n int, w io.Writer) error {
			return g.sendAnnounced(w, n, g.MaxBodyBytes, g.MaxBodyBytes-1)
		}},
		{"heads_without_end", 450, func(n int, w io.Writer) error {
			_, err := io.WriteString(w, g.head(g.Path, n, "Label: "+strings.Repeat("x", 250<<10)))
			return err
		}},
		{"responses_that_are_not_read", 240, func(n int, w io.Writer) error {
			_, err := io.WriteString(w, g.head(g.LargePath, n, "Content-Length: 0\r\n\r\n"))
			return err
		}},
	}
}

// Play lets the crowd send, all at once and each caller for no longer than limit, and
// returns its connections, which stay open, once each caller has sent all or can't send
// more.
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
			_ = c.send(n, nc)
		})
	}
	senders.Wait()
	return conns
}
