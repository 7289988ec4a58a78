package rwrelay

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// buffers holds buffers of bufferBytes.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// callerReader reads from a caller's connection. On a socket it takes a buffer only
// once there is something to read: most connections wait for the end of their caller
// for most of the time.
type callerReader struct {
	conn net.Conn
	// raw is nil if the connection is no socket.
	raw syscall.RawConn
}

func newCallerReader(c net.Conn) callerReader {
	r := callerReader{conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// read returns a buffer with the next bytes and their number, like net.Conn. If the
// buffer is not nil, it must be put back.
func (r callerReader) read() (buf *[]byte, n int, err error) {
	if r.raw == nil {
		buf = buffers.Get().(*[]byte)
		n, err = r.conn.Read(*buf)
		return buf, n, err
	}
	waitErr := r.raw.Read(func(fd uintptr) bool {
		buf = buffers.Get().(*[]byte)
		for {
			n, err = unix.Read(int(fd), *buf)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			buffers.Put(buf)
			buf, n, err = nil, 0, nil
			return false
		}
		return true
	})
	switch {
	case waitErr != nil:
		return buf, 0, waitErr
	case err != nil:
		return buf, 0, err
	case n == 0:
		return buf, 0, io.EOF
	}
	if c, ok := r.conn.(interface{ CountRead(n int) }); ok {
		c.CountRead(n)
	}
	return buf, n, nil
}
