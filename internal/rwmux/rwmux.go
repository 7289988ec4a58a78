// Package rwmux carries many streams over one kept connection between two routers.
// Opening a stream costs no connection, and what many streams send at about the
// same time is written and read with one system call.
//
// The side that dialed opens streams, and the other one accepts or declines each.
// A stream has a window in both directions, so that one whose reader is slow
// doesn't hold up the others.
package rwmux

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The types of frames. A frame is its type, the id of its stream and the length of
// its payload, and the payload.
const (
	// frameOpen opens a stream. frameAccept accepts one, with the greeting as its
	// payload, and frameDecline declines it.
	frameOpen    = 'o'
	frameAccept  = 'a'
	frameDecline = 'x'
	// frameData carries bytes of a stream, frameEnd says that no further ones
	// come, and frameStop that no further ones are read.
	frameData = 'd'
	frameEnd  = 'e'
	frameStop = 's'
	// frameReset breaks a stream off.
	frameReset = 'r'
	// frameLinger says that closing the sending end breaks the stream off, or with a
	// payload that it doesn't any more.
	frameLinger = 'g'
	// frameCredit extends the window of a stream by the number in its payload.
	frameCredit = 'c'
	// frameAlive belongs to no stream and shows that the router runs.
	frameAlive = 'l'
)

const (
	headerBytes = 9
	// window is the number of bytes of a stream that may be sent before its reader
	// takes them, and maxPayload the number of them in a frame.
	window     = 64 << 10
	maxPayload = 16 << 10
	// maxQueued is the number of bytes that wait to be written from which on
	// streams wait to send more.
	maxQueued = 256 << 10
	// maxSpare is the size up to which a buffer is kept for the next write.
	maxSpare   = 64 << 10
	readBuffer = 32 << 10
	// writeTimeout bounds a write to a router that doesn't read.
	writeTimeout = 2 * time.Second
	// aliveInterval is how often an accepting router shows that it runs.
	aliveInterval = 400 * time.Millisecond
	// flushTimeout bounds how long Shutdown writes what is queued.
	flushTimeout = 250 * time.Millisecond
	// magicTimeout bounds the time until the first bytes of an accepted connection.
	// Routers of the release before wait 180 ms for an answer on one that they relay,
	// and pass a router over that closes it before.
	magicTimeout = 150 * time.Millisecond
	// maxWaiting is the number of accepted streams that wait for their server.
	maxWaiting = 256
)

// magic begins a connection.
const magic = "RWMUX1\r\n"

// The failures of Open.
var (
	// ErrDeclined says that the other router declined the stream.
	ErrDeclined = errors.New("the router declined the stream")
	// ErrClosed says that the connection has ended.
	ErrClosed = errors.New("the connection between the routers has ended")
)

var errMalformed = errors.New("malformed frame")

// Mux is one end of a connection. Its methods may be called concurrently.
type Mux struct {
	conn net.Conn
	// greet decides whether to accept a stream, and returns the greeting. It is nil
	// at the end that opens streams.
	greet    func() ([]byte, bool)
	incoming chan *Stream
	// heardAt is when the last frame came, in nanoseconds since start.
	heardAt atomic.Int64
	start   time.Time
	// running is closed when the first frame has come, ended when the connection
	// has ended, and written when the writer has.
	running, ended, written chan struct{}

	mu sync.Mutex
	// queued is signalled if there is something to write, drained if there is not.
	queued, drained *sync.Cond
	out, spare      []byte
	streams         map[uint32]*Stream
	lastID          uint32
	// closing is whether the connection ends once all is written; failed is
	// whether it has ended.
	closing, failed bool
}

// NewClient returns the end of a connection that opens streams.
func NewClient(conn net.Conn) *Mux {
	m := newMux(conn)
	m.out = append(m.out, magic...)
	go m.write()
	go m.read(bufio.NewReaderSize(conn, readBuffer))
	return m
}

// NewServer returns the end of a connection that accepts streams. For each one it
// calls greet, which returns the greeting and whether to accept it.
func NewServer(conn net.Conn, greet func() ([]byte, bool)) *Mux {
	m := newMux(conn)
	m.greet, m.incoming = greet, make(chan *Stream, maxWaiting)
	go m.write()
	go func() {
		r := bufio.NewReaderSize(conn, readBuffer)
		got := make([]byte, len(magic))
		_ = conn.SetReadDeadline(time.Now().Add(magicTimeout))
		if _, err := io.ReadFull(r, got); err != nil || string(got) != magic {
			m.fail()
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		m.send(frameAlive, 0, nil)
		go m.showAlive()
		m.read(r)
	}()
	return m
}

func newMux(conn net.Conn) *Mux {
	m := &Mux{
		conn: conn, start: time.Now(), running: make(chan struct{}), ended: make(chan struct{}), written: make(chan struct{}),
		streams: map[uint32]*Stream{},
	}
	m.queued, m.drained = sync.NewCond(&m.mu), sync.NewCond(&m.mu)
	return m
}

// Accept returns the next accepted stream. It fails with ErrClosed.
func (m *Mux) Accept() (*Stream, error) {
	select {
	case s := <-m.incoming:
		return s, nil
	case <-m.ended:
		return nil, ErrClosed
	}
}

// Open opens a stream and returns it with the other end's greeting. It fails with
// ErrDeclined, ErrClosed or the error of the context. No byte has been sent on a
// stream that failed.
func (m *Mux) Open(ctx context.Context) (*Stream, []byte, error) {
	m.mu.Lock()
	if m.failed || m.closing {
		m.mu.Unlock()
		return nil, nil, ErrClosed
	}
	m.lastID++
	s := newStream(m, m.lastID)
	s.answer = make(chan []byte, 1)
	m.streams[s.id] = s
	m.append(frameOpen, s.id, nil)
	m.mu.Unlock()
	select {
	case greeting, ok := <-s.answer:
		if !ok {
			return nil, nil, ErrDeclined
		}
		return s, greeting, nil
	case <-m.ended:
		return nil, nil, ErrClosed
	case <-ctx.Done():
		_ = s.SetLinger(0)
		_ = s.Close()
		return nil, nil, ctx.Err()
	}
}

// Ended is closed when the connection has ended.
func (m *Mux) Ended() <-chan struct{} { return m.ended }

// Running is closed when the first frame of the other end has come.
func (m *Mux) Running() <-chan struct{} { return m.running }

// Heard returns when the last frame of the other end came, or the zero time.
func (m *Mux) Heard() time.Time {
	if at := m.heardAt.Load(); at > 0 {
		return m.start.Add(time.Duration(at))
	}
	return time.Time{}
}

// Streams returns the number of open streams.
func (m *Mux) Streams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}

// Shutdown writes what is queued and ends the connection. Streams that are still
// open break off.
func (m *Mux) Shutdown() {
	m.mu.Lock()
	m.closing = true
	m.queued.Broadcast()
	m.mu.Unlock()
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-m.written:
	case <-timer.C:
	}
	m.fail()
}

// fail ends the connection and breaks its streams off.
func (m *Mux) fail() {
	m.mu.Lock()
	if m.failed {
		m.mu.Unlock()
		return
	}
	m.failed = true
	broken := m.streams
	m.streams = map[uint32]*Stream{}
	m.queued.Broadcast()
	m.drained.Broadcast()
	m.mu.Unlock()
	_ = m.conn.Close()
	close(m.ended)
	for _, s := range broken {
		s.breakOff()
	}
}

// append queues a frame. The caller must hold the lock.
func (m *Mux) append(kind byte, id uint32, payload []byte) {
	m.out = append(m.out, kind)
	m.out = binary.BigEndian.AppendUint32(m.out, id)
	m.out = binary.BigEndian.AppendUint32(m.out, uint32(len(payload)))
	m.out = append(m.out, payload...)
	m.queued.Signal()
}

// send queues a frame.
func (m *Mux) send(kind byte, id uint32, payload []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failed {
		m.append(kind, id, payload)
	}
}

// sendData queues bytes of a stream once there is room. It reports whether the
// connection goes on.
func (m *Mux) sendData(id uint32, payload []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.out) >= maxQueued && !m.failed {
		m.drained.Wait()
	}
	if m.failed {
		return false
	}
	m.append(frameData, id, payload)
	return true
}

// write writes what is queued until the connection ends.
func (m *Mux) write() {
	defer close(m.written)
	for {
		m.mu.Lock()
		for len(m.out) == 0 && !m.failed && !m.closing {
			m.queued.Wait()
		}
		batch := m.out
		if m.failed || len(batch) == 0 {
			m.mu.Unlock()
			return
		}
		m.out, m.spare = m.spare[:0], nil
		m.drained.Broadcast()
		m.mu.Unlock()
		_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := m.conn.Write(batch); err != nil {
			// The streams say that they broke off.
			m.fail()
			return
		}
		if cap(batch) <= maxSpare {
			m.mu.Lock()
			m.spare = batch
			m.mu.Unlock()
		}
	}
}

// showAlive sends a frame at an interval until the connection ends.
func (m *Mux) showAlive() {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-ticker.C:
			m.send(frameAlive, 0, nil)
		}
	}
}

// read handles frames until the connection ends.
func (m *Mux) read(r *bufio.Reader) {
	defer m.fail()
	var header [headerBytes]byte
	var buf [maxPayload]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return
		}
		kind, id := header[0], binary.BigEndian.Uint32(header[1:])
		n := binary.BigEndian.Uint32(header[5:])
		if n > maxPayload {
			return
		}
		payload := buf[:n]
		if _, err := io.ReadFull(r, payload); err != nil {
			return
		}
		if m.heardAt.Swap(int64(max(time.Since(m.start), 1))) == 0 {
			if m.greet == nil && kind != frameAlive {
				// It is a router of the release before or another program.
				return
			}
			close(m.running)
		}
		if err := m.handle(kind, id, payload); err != nil {
			return
		}
	}
}

func (m *Mux) handle(kind byte, id uint32, payload []byte) error {
	switch kind {
	case frameAlive:
		return nil
	case frameOpen:
		return m.accept(id)
	}
	m.mu.Lock()
	s := m.streams[id]
	if kind == frameDecline {
		delete(m.streams, id)
	}
	m.mu.Unlock()
	if s == nil {
		// This end has closed the stream.
		return nil
	}
	return s.handle(kind, payload)
}

// accept accepts or declines a stream.
func (m *Mux) accept(id uint32) error {
	if m.greet == nil {
		return errMalformed
	}
	greeting, ok := m.greet()
	if !ok || len(m.incoming) == cap(m.incoming) {
		m.send(frameDecline, id, nil)
		return nil
	}
	s := newStream(m, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed {
		return ErrClosed
	}
	m.streams[id] = s
	m.append(frameAccept, id, greeting)
	// Only this goroutine sends, so there is room.
	m.incoming <- s
	return nil
}

func (m *Mux) remove(id uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.streams, id)
}

// errBroken is the error of a stream that broke off.
var errBroken error = syscall.ECONNRESET
