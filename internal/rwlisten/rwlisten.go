// Package rwlisten opens TCP listeners with a bounded number of connections that wait
// to be accepted. Package net always asks for the largest number that the system
// allows.
package rwlisten

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an IPv4 address with a port. At most backlog connections wait to
// be accepted; the system drops the opening packets of further ones, whose callers
// send them again. Connections have a receive buffer of receiveBytes, or the system's
// own for 0. It fails with an *net.OpError or an *os.SyscallError.
func Listen(addr string, backlog, receiveBytes int) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	// The listener has a descriptor of its own.
	file := os.NewFile(uintptr(fd), addr)
	defer func() { _ = file.Close() }()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if receiveBytes > 0 {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes); err != nil {
			return nil, os.NewSyscallError("setsockopt", err)
		}
	}
	bound := unix.SockaddrInet4{Port: a.Port}
	copy(bound.Addr[:], a.IP.To4())
	if err := unix.Bind(fd, &bound); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// LimitReceiveBuffer sets the receive buffer of the connections that a TCP listener
// accepts from now on. It fails with an *os.SyscallError, or if the listener has no
// socket.
func LimitReceiveBuffer(l net.Listener, receiveBytes int) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt", setErr))
}

// LimitUnsent returns a listener that bounds what is written on its connections and that
// the system hasn't sent yet. A write waits beyond that, so that its end shows that the
// peer reads. Connections don't inherit this bound, and only those of TCP have it.
func LimitUnsent(l net.Listener, unsentBytes int) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	return &unsentListener{TCPListener: tcp, unsentBytes: unsentBytes}
}

type unsentListener struct {
	*net.TCPListener
	unsentBytes int
}

// Accept waits for a connection. One whose bound can't be set, since its caller has left,
// fails when it is used.
func (l *unsentListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, l.unsentBytes)
		})
	}
	return c, nil
}
