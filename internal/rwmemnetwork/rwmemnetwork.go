// Package rwmemnetwork is a network in memory for tests in a bubble of
// testing/synctest, where a goroutine that waits for a socket keeps virtual time
// from advancing.
package rwmemnetwork

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects listeners and dialers in one process. A connection has no
// buffer: a write returns once the other end has read all of it. The zero value
// is a network without listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// lastPort is the port that was assigned last.
	lastPort int
}

type listener struct {
	network *Network
	addr    *net.TCPAddr
	conns   chan net.Conn
	closed  chan struct{}
	// close closes the channel closed once.
	close func()
}

// Listen opens a listener at an address of an IP and a port, or at an unused port
// for port 0. It fails with EADDRINUSE if another listener has the address, and
// with the error of net.ResolveTCPAddr if the address is malformed.
func (n *Network) Listen(addr string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for unused := a.Port == 0; unused; unused = n.listeners[a.String()] != nil {
		n.lastPort++
		a.Port = n.lastPort
	}
	if n.listeners[a.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: a, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, addr: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[a.String()] = l
	return l, nil
}

// Dial has the signature of net.Dialer.DialContext. It waits until the listener
// accepts, and fails with ECONNREFUSED if there is no listener.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &conn{far, l.addr}:
		return &conn{near, l.addr}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// conn is an end of a connection. Both of its addresses are that of the listener.
type conn struct {
	net.Conn
	addr *net.TCPAddr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.addr }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr.String()] == l {
		delete(l.network.listeners, l.addr.String())
	}
	l.network.mu.Unlock()
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
