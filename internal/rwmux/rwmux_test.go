package rwmux

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func greet() ([]byte, bool) { return []byte("hello"), true }

// connected returns both ends of a connection.
func connected(t *testing.T, greet func() ([]byte, bool)) (client, server *Mux) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	client, server = NewClient(near), NewServer(far, greet)
	t.Cleanup(client.Shutdown)
	t.Cleanup(server.Shutdown)
	return client, server
}

// open returns both ends of a stream.
func open(t *testing.T, client, server *Mux) (near, far *Stream) {
	near, greeting, err := client.Open(t.Context())
	require.NoError(t, err)
	require.Equal(t, "hello", string(greeting))
	far, err = server.Accept()
	require.NoError(t, err)
	for _, s := range []*Stream{near, far} {
		require.NoError(t, s.SetDeadline(time.Now().Add(20*time.Second)))
	}
	return near, far
}

func read(t *testing.T, s *Stream, n int) string {
	buf := make([]byte, n)
	_, err := io.ReadFull(s, buf)
	require.NoError(t, err)
	return string(buf)
}

func write(t *testing.T, s *Stream, text string) {
	_, err := io.WriteString(s, text)
	require.NoError(t, err)
}

func ending(s *Stream) error {
	_, err := s.Read(make([]byte, 1))
	return err
}

// Guards against bytes of streams that are lost, swapped or mixed up, in bodies larger
// than all windows.
func TestStreamsKeepTheirBytes(t *testing.T) {
	client, server := connected(t, greet)
	const streams, size = 20, 300 << 10
	var wg sync.WaitGroup
	for i := range streams {
		near, far := open(t, client, server)
		body, response := make([]byte, size), make([]byte, size)
		fill := rand.NewChaCha8([32]byte{byte(i)})
		_, _ = fill.Read(body)
		_, _ = fill.Read(response)
		send := func(s *Stream, data []byte) {
			wg.Go(func() {
				_, err := s.Write(data)
				assert.NoError(t, err)
				assert.NoError(t, s.CloseWrite())
			})
		}
		receive := func(s *Stream, want []byte) {
			wg.Go(func() {
				got, err := io.ReadAll(s)
				assert.NoError(t, err)
				assert.True(t, bytes.Equal(want, got))
			})
		}
		send(near, body)
		receive(near, response)
		send(far, response)
		receive(far, body)
	}
	wg.Wait()
}

// Guards against a stream whose reader is slow and that holds up the others, and
// against one that takes memory without a bound.
func TestSlowReaderHoldsUpOnlyItsStream(t *testing.T) {
	client, server := connected(t, greet)
	slow, unread := open(t, client, server)
	done := make(chan error, 1)
	go func() {
		_, err := slow.Write(make([]byte, 10*window))
		done <- err
	}()
	near, far := open(t, client, server)
	for range 50 {
		write(t, near, "ping")
		require.Equal(t, "ping", read(t, far, 4))
	}
	select {
	case err := <-done:
		require.Fail(t, "all was sent to a stream that isn't read", "%v", err)
	default:
	}
	unread.mu.Lock()
	require.LessOrEqual(t, len(unread.unread), window)
	unread.mu.Unlock()
	_, err := io.CopyN(io.Discard, unread, 10*window)
	require.NoError(t, err)
	require.NoError(t, <-done)
}

// Guards against ends of streams that the other end mistakes for another kind.
func TestEnds(t *testing.T) {
	client, server := connected(t, greet)
	for name, c := range map[string]struct {
		end func(*Stream) error
		// read and write are the errors of the other end.
		read, write error
	}{
		"direction": {(*Stream).CloseWrite, io.EOF, nil},
		"close":     {(*Stream).Close, io.EOF, syscall.EPIPE},
		"reset": {func(s *Stream) error {
			_ = s.SetLinger(0)
			return s.Close()
		}, syscall.ECONNRESET, syscall.ECONNRESET},
		"no reset any more": {func(s *Stream) error {
			_ = s.SetLinger(0)
			_ = s.SetLinger(-1)
			return s.Close()
		}, io.EOF, syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			for _, swap := range []bool{false, true} {
				a, b := open(t, client, server)
				if swap {
					a, b = b, a
				}
				write(t, a, "data")
				require.False(t, b.HasEnded())
				require.NoError(t, c.end(a))
				require.Equal(t, "data", read(t, b, 4))
				require.ErrorIs(t, ending(b), c.read)
				require.True(t, b.HasEnded())
				if c.write != nil {
					require.Eventually(t, func() bool {
						_, err := b.Write([]byte("x"))
						return assert.ObjectsAreEqual(c.write, err)
					}, 20*time.Second, time.Millisecond)
				} else {
					write(t, b, "more")
					require.Equal(t, "more", read(t, a, 4))
				}
				require.NoError(t, b.Close())
			}
		})
	}
	require.Eventually(t, func() bool { return client.Streams() <= 2 && server.Streams() <= 2 }, 20*time.Second, time.Millisecond)
}

// Guards against a response that its reader takes for a complete one because the
// connection that carries it has ended.
func TestStreamsBreakOffWithTheirConnection(t *testing.T) {
	client, server := connected(t, greet)
	near, far := open(t, client, server)
	ended, farEnded := open(t, client, server)
	write(t, far, "part")
	write(t, farEnded, "all")
	require.NoError(t, farEnded.Close())
	require.Equal(t, "part", read(t, near, 4))
	require.Equal(t, "all", read(t, ended, 3))
	require.ErrorIs(t, ending(ended), io.EOF)
	require.NoError(t, server.conn.Close())
	require.ErrorIs(t, ending(near), syscall.ECONNRESET)
	require.ErrorIs(t, ending(far), syscall.ECONNRESET)
	<-client.Ended()
	_, _, err := client.Open(t.Context())
	require.ErrorIs(t, err, ErrClosed)
	_, err = server.Accept()
	require.ErrorIs(t, err, ErrClosed)
}

// Guards against a response that is lost because the process ends right after it was
// written.
func TestShutdownSendsWhatIsQueued(t *testing.T) {
	for range 20 {
		client, server := connected(t, greet)
		near, far := open(t, client, server)
		write(t, far, "response")
		require.NoError(t, far.Close())
		server.Shutdown()
		require.Equal(t, "response", read(t, near, 8))
		require.ErrorIs(t, ending(near), io.EOF)
	}
}

// Guards against a declined stream that is used, and against a router that is asked
// and never answers.
func TestOpenFails(t *testing.T) {
	var answer atomic.Bool
	blocked := make(chan struct{})
	client, server := connected(t, func() ([]byte, bool) {
		if !answer.Load() {
			<-blocked
		}
		return nil, false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := client.Open(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	answer.Store(true)
	close(blocked)
	_, _, err = client.Open(t.Context())
	require.ErrorIs(t, err, ErrDeclined)
	require.Zero(t, client.Streams())
	require.Eventually(t, func() bool { return server.Streams() == 0 }, 20*time.Second, time.Millisecond)
}

// Guards against a stream that is served although its opener gave it up before it was
// accepted.
func TestStreamGivenUpBeforeItsAnswerIsReset(t *testing.T) {
	answer := make(chan struct{})
	client, server := connected(t, func() ([]byte, bool) {
		<-answer
		return greet()
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, _, err := client.Open(ctx)
	require.ErrorIs(t, err, context.Canceled)
	close(answer)
	far, err := server.Accept()
	require.NoError(t, err)
	require.ErrorIs(t, ending(far), syscall.ECONNRESET)
}

// Guards against reads and writes that outlast their deadlines, and against deadlines
// that hold after they were lifted.
func TestDeadlines(t *testing.T) {
	client, server := connected(t, greet)
	near, far := open(t, client, server)
	require.NoError(t, near.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	require.ErrorIs(t, ending(near), os.ErrDeadlineExceeded)
	require.NoError(t, near.SetWriteDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := near.Write(make([]byte, 2*window))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetDeadline(time.Time{}))
	write(t, far, "late")
	require.Equal(t, "late", read(t, near, 4))
	waiting := make(chan error, 1)
	go func() { waiting <- ending(near) }()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, near.SetReadDeadline(time.Unix(1, 0)))
	require.ErrorIs(t, <-waiting, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetReadDeadline(time.Time{}))
	go func() { waiting <- ending(near) }()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, near.Close())
	require.ErrorIs(t, <-waiting, net.ErrClosed)
	require.ErrorIs(t, near.Close(), net.ErrClosed)
}

// Guards against a connection that another program or a router of the release before
// answers, and that counts as running.
func TestOtherProgramIsNotRunning(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 400 Bad Request\r\n\r\n", "a\x00\x00\x00\x00\x00\x00\x00\x01x"} {
		near, far := net.Pipe()
		client := NewClient(near)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		_, err := io.WriteString(far, answer)
		if err == nil {
			_ = far.Close()
		}
		<-client.Ended()
		select {
		case <-client.Running():
			require.Fail(t, "it counts as running")
		default:
		}
	}
}

// Guards against routers of the release before, which wait for an answer before they
// send anything, and that keep asking because they get none.
func TestSilentCallerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const theirPatience = 180 * time.Millisecond
		near, far := net.Pipe()
		NewServer(far, greet)
		start := time.Now()
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Less(t, time.Since(start), theirPatience)
	})
}

// Guards against frames of a faulty router that take memory or crash the process.
func TestMalformedFramesEndTheConnection(t *testing.T) {
	frame := func(kind byte, id, length uint32, payload string) string {
		b := binary.BigEndian.AppendUint32([]byte{kind}, id)
		return string(binary.BigEndian.AppendUint32(b, length)) + payload
	}
	flood := ""
	for range window/maxPayload + 1 {
		flood += frame(frameData, 1, maxPayload, string(make([]byte, maxPayload)))
	}
	opened := frame(frameOpen, 1, 0, "")
	for name, sent := range map[string]string{
		"too long":          frame(frameData, 1, maxPayload+1, ""),
		"unknown":           opened + frame('?', 1, 0, ""),
		"answer to server":  opened + frame(frameAccept, 1, 0, ""),
		"decline to server": opened + frame(frameDecline, 1, 0, ""),
		"short credit":      opened + frame(frameCredit, 1, 1, "x"),
		"beyond the window": opened + flood,
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			server := NewServer(far, greet)
			go func() { _, _ = io.Copy(io.Discard, near) }()
			_, _ = io.WriteString(near, magic+sent)
			select {
			case <-server.Ended():
			case <-time.After(20 * time.Second):
				require.Fail(t, "the connection goes on")
			}
		})
	}
}
