package rwmux

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Stream is one end of a stream. It is a net.Conn that ends as a TCP connection
// does: in order in each direction, or with a reset, which the other end sees as
// ECONNRESET.
type Stream struct {
	mux *Mux
	id  uint32
	// answer receives the greeting of the other end and is closed if that end
	// declines the stream. It is nil at the accepting end.
	answer chan []byte

	mu sync.Mutex
	// changed is signalled when a read or a write that waits may go on.
	changed *sync.Cond
	// unread are received bytes, and consumed the number of those read for which
	// the window of the other end was not extended yet.
	unread   []byte
	consumed int
	// sendWindow is the number of bytes that may be sent now.
	sendWindow int
	// readErr and writeErr are the errors with which reading, after the unread
	// bytes, and writing end.
	readErr, writeErr error
	// closed is whether this end was closed, endSent whether frameEnd was sent,
	// resetOnClose whether Close breaks the stream off, and otherResets whether
	// that of the other end does.
	closed, endSent, resetOnClose, otherResets bool
	readDeadline, writeDeadline                deadline
}

// deadline is a time from which on reads or writes fail.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func newStream(m *Mux, id uint32) *Stream {
	s := &Stream{mux: m, id: id, sendWindow: window}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// handle handles a frame. It fails if the other end violates the protocol.
func (s *Stream) handle(kind byte, payload []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changed.Broadcast()
	switch kind {
	case frameAccept:
		if s.answer == nil {
			return errMalformed
		}
		select {
		case s.answer <- append([]byte(nil), payload...):
		default:
			return errMalformed
		}
	case frameDecline:
		if s.answer == nil {
			return errMalformed
		}
		close(s.answer)
	case frameData:
		if len(s.unread)+s.consumed+len(payload) > window {
			return errMalformed
		}
		s.unread = append(s.unread, payload...)
	case frameEnd:
		if s.readErr == nil {
			s.readErr = io.EOF
		}
	case frameStop:
		if s.writeErr == nil {
			s.writeErr = syscall.EPIPE
		}
	case frameReset:
		s.readErr, s.writeErr = errBroken, errBroken
	case frameLinger:
		s.otherResets = len(payload) == 0
	case frameCredit:
		if len(payload) != 4 {
			return errMalformed
		}
		s.sendWindow += int(binary.BigEndian.Uint32(payload))
	default:
		return errMalformed
	}
	return nil
}

// breakOff ends the stream as its connection has ended.
func (s *Stream) breakOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readErr == nil {
		// An end that came before is one in order.
		s.readErr = errBroken
	}
	if s.writeErr == nil {
		s.writeErr = errBroken
	}
	s.changed.Broadcast()
}

// Read implements net.Conn.
func (s *Stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		case len(s.unread) > 0:
			n := copy(p, s.unread)
			s.take(n)
			return n, nil
		case s.readErr != nil:
			return 0, s.readErr
		}
		s.changed.Wait()
	}
}

// Next waits for bytes and returns all that have arrived, without a copy. It fails
// like Read.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.closed:
			return nil, net.ErrClosed
		case s.readDeadline.passed():
			return nil, os.ErrDeadlineExceeded
		case len(s.unread) > 0:
			next := s.unread
			s.take(len(next))
			return next, nil
		case s.readErr != nil:
			return nil, s.readErr
		}
		s.changed.Wait()
	}
}

// take removes bytes that were read, and extends the window of the other end. The
// caller must hold the lock.
func (s *Stream) take(n int) {
	if n == len(s.unread) {
		s.unread = nil
	} else {
		s.unread = s.unread[n:]
	}
	s.consumed += n
	if s.consumed < window/2 || s.readErr != nil {
		return
	}
	var credit [4]byte
	binary.BigEndian.PutUint32(credit[:], uint32(s.consumed))
	s.consumed = 0
	s.mux.send(frameCredit, s.id, credit[:])
}

// Write implements net.Conn.
func (s *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := s.reserve(min(len(p)-sent, maxPayload))
		if err != nil {
			return sent, err
		}
		if !s.mux.sendData(s.id, p[sent:sent+n]) {
			return sent, errBroken
		}
		sent += n
	}
	return sent, nil
}

// reserve waits until bytes may be sent and returns their number, n at most.
func (s *Stream) reserve(n int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.writeErr != nil:
			return 0, s.writeErr
		case s.endSent:
			return 0, syscall.EPIPE
		case s.writeDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case s.sendWindow > 0:
			n = min(n, s.sendWindow)
			s.sendWindow -= n
			return n, nil
		}
		s.changed.Wait()
	}
}

// CloseWrite ends the direction in which this end sends.
func (s *Stream) CloseWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	s.end()
	return nil
}

// end sends frameEnd once. The caller must hold the lock.
func (s *Stream) end() {
	if !s.endSent {
		s.endSent = true
		s.mux.send(frameEnd, s.id, nil)
	}
}

// SetLinger sets whether Close breaks the stream off, which it does for 0 seconds.
func (s *Stream) SetLinger(seconds int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resets := seconds == 0; resets != s.resetOnClose && !s.closed {
		s.resetOnClose = resets
		var off []byte
		if !resets {
			off = []byte{0}
		}
		s.mux.send(frameLinger, s.id, off)
	}
	return nil
}

// ResetsOnClose reports whether the other end's Close breaks the stream off, as of
// what it has sent.
func (s *Stream) ResetsOnClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.otherResets
}

// Close implements net.Conn.
func (s *Stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.resetOnClose {
		s.mux.send(frameReset, s.id, nil)
	} else {
		s.end()
		s.mux.send(frameStop, s.id, nil)
	}
	s.closed, s.unread = true, nil
	s.readDeadline.stop()
	s.writeDeadline.stop()
	s.changed.Broadcast()
	s.mux.remove(s.id)
	return nil
}

// HasEnded reports whether the other end has closed or broken off the stream and all
// that it sent was read.
func (s *Stream) HasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || len(s.unread) == 0 && s.readErr != nil
}

// HasUnread reports whether bytes can be read at once.
func (s *Stream) HasUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unread) > 0
}

// LocalAddr implements net.Conn with the address of the connection.
func (s *Stream) LocalAddr() net.Addr { return s.mux.conn.LocalAddr() }

// RemoteAddr implements net.Conn with the address of the connection.
func (s *Stream) RemoteAddr() net.Addr { return s.mux.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.setDeadline(&s.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.setDeadline(&s.writeDeadline, t) }

func (s *Stream) setDeadline(d *deadline, t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	d.stop()
	d.at = t
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		d.timer = time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.changed.Broadcast()
		})
	}
	s.changed.Broadcast()
	return nil
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}
