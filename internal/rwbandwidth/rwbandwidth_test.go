package rwbandwidth

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwlinknetwork"
)

const (
	// slowRate is that of a link of 10 Mbit/s.
	slowRate   = 10e6
	routerAddr = "10.0.0.1:80"
	callerIP   = "10.0.0.2"
	bodyBytes  = 17_000
)

// accept listens through the link and returns the connections that it accepts.
func accept(t *testing.T, n *rwlinknetwork.Network, l *Link) <-chan net.Conn {
	inner, err := n.Listen(routerAddr, l.ReceiveBuffer(), l.Backlog())
	require.NoError(t, err)
	conns := make(chan net.Conn, 1000)
	served := l.CallerListener(inner)
	go func() {
		for {
			c, err := served.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	t.Cleanup(func() {
		_ = inner.Close()
		time.Sleep(2 * time.Second)
	})
	return conns
}

func dial(t *testing.T, n *rwlinknetwork.Network) net.Conn {
	c, err := n.Dial(t.Context(), callerIP, routerAddr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a body that crosses the link although it isn't admitted, and against
// an admitted one that crosses in small parts.
func TestBodyArrivesOnceAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n rwlinknetwork.Network
		l := New(slowRate)
		conns := accept(t, &n, l)
		c := dial(t, &n)
		sent := make(chan int, 1)
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
		go func() {
			k, _ := c.Write(make([]byte, bodyBytes))
			sent <- k
		}()
		_, err := (<-conns).Read(make([]byte, 4096))
		require.NoError(t, err)
		require.LessOrEqual(t, <-sent, l.ReceiveBuffer()+headPart)

		c = dial(t, &n)
		go func() { _, _ = c.Write(make([]byte, bodyBytes)) }()
		served := <-conns
		start := time.Now()
		require.True(t, l.AdmitBody(t.Context(), served, bodyBytes, time.Second))
		_, err = io.ReadFull(served, make([]byte, bodyBytes))
		require.NoError(t, err)
		require.Less(t, time.Since(start), 100*time.Millisecond)
	})
}

// Guards against bodies that are all late because all of them are admitted.
func TestAdmitsWhatTheLinkCarriesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 250 * time.Millisecond
		l := New(slowRate)
		start := time.Now()
		took := make(chan time.Duration, 100)
		for range 40 {
			near, far := net.Pipe()
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			c := &conn{Conn: near, link: l, caller: true}
			go func() {
				if l.AdmitBody(t.Context(), c, bodyBytes, within) {
					took <- time.Since(start)
				}
			}()
			synctest.Wait()
		}
		time.Sleep(5 * time.Second)
		carried := 0.8 * slowRate / 8 * within.Seconds() / bodyBytes
		require.InDelta(t, carried, len(took), 2)
		for range len(took) {
			require.LessOrEqual(t, <-took, within+20*time.Millisecond)
		}
	})
}

// Guards against a listener that accepts as fast as callers come: their requests cross
// the link although nobody reads them.
func TestAcceptsAsTheLinkHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 4
		var n rwlinknetwork.Network
		l := New(slowRate)
		conns := accept(t, &n, l)
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		accepted := 0
		for ctx.Err() == nil {
			go func() {
				if c, err := n.Dial(ctx, callerIP, routerAddr); err == nil {
					_ = c.Close()
				}
			}()
			time.Sleep(2 * time.Millisecond)
			select {
			case c := <-conns:
				accepted++
				_ = c.Close()
			default:
			}
		}
		require.True(t, l.Pressed(time.Now()))
		require.InDelta(t, seconds*slowRate/8/unknownBody, accepted, 0.3*seconds*slowRate/8/unknownBody)
	})
}

// Guards against a link that isn't known, or a fast one, that holds anything back.
func TestFastLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, rate := range []float64{0, 1e9} {
			l := New(rate)
			require.Zero(t, l.ReceiveBuffer())
			require.Zero(t, l.Backlog())
			var n rwlinknetwork.Network
			inner, err := n.Listen(routerAddr, 0, 16)
			require.NoError(t, err)
			served := l.CallerListener(inner)
			go func() {
				for {
					c, err := served.Accept()
					if err != nil {
						return
					}
					_, _ = io.Copy(c, c)
					_ = c.Close()
				}
			}()
			dialer := l.UpstreamDialer(func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, callerIP, addr) })
			c, err := dialer(t.Context(), "tcp", routerAddr)
			require.NoError(t, err)
			start := time.Now()
			go func() { _, _ = c.Write(make([]byte, 1<<20)) }()
			_, err = io.ReadFull(c, make([]byte, 1<<20))
			require.NoError(t, err)
			require.Less(t, time.Since(start), 200*time.Millisecond)
			require.False(t, l.Full(time.Now()))
			require.NoError(t, c.Close())
			require.NoError(t, inner.Close())
		}
		in, out := New(0).Load(time.Now())
		require.Zero(t, in+out)
	})
}

// Guards against a caller that states a huge body, and thereby takes the router's
// memory or keeps others from the link without sending anything.
func TestStatedSizeTakesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n rwlinknetwork.Network
		l := New(slowRate)
		conns := accept(t, &n, l)
		dial(t, &n)
		c := <-conns
		require.True(t, l.AdmitBody(t.Context(), c, 1<<62, time.Second), "an idle link takes any body")
		require.Less(t, l.Delay(time.Now()), 100*time.Millisecond)
		require.False(t, l.AdmitBody(t.Context(), c, 1<<62, time.Millisecond))
		time.Sleep(time.Second)
		require.True(t, l.AdmitBody(t.Context(), c, -1, time.Millisecond))
	})
}

// Guards against a body that has crossed the link already and is then read in small
// parts, which takes CPU time for nothing.
func TestArrivedBodyIsReadAtOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write(make([]byte, 2*readBytes))
	require.NoError(t, err)
	l := New(slowRate)
	served, err := l.CallerListener(inner).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = served.Close() })
	require.Eventually(t, func() bool { return served.(*conn).arrived(2 * readBytes) }, time.Second, time.Millisecond)
	l.in.Count(time.Now(), slowRate/8)
	require.True(t, l.AdmitBody(t.Context(), served, 2*readBytes, time.Minute))
	n, err := served.Read(make([]byte, readBytes))
	require.NoError(t, err)
	require.Equal(t, readBytes, n)
}

// Guards against a router that leaves the rotation because its time of day was set
// back.
func TestPressedIgnoresTheTimeOfDay(t *testing.T) {
	l := New(slowRate)
	l.in.Count(time.Now(), slowRate/8/20)
	l.awaitRoom()
	require.True(t, l.Pressed(time.Now()))
	require.False(t, l.Pressed(time.Now().Add(-time.Hour)))
	require.False(t, l.Pressed(time.Now().Add(time.Hour)))
	require.False(t, New(slowRate).Pressed(time.Now()))
}
