package soak_test

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// pieceBytes is the most that a delayed connection passes on at once, and pieceCount the
	// number of pieces that are on their way in each direction. The peer is not read faster.
	pieceBytes = 256
	pieceCount = 64
)

// delayedConn is a caller's connection that delays both directions and passes bytes on in
// small pieces. It ends as its peer ends it: after all bytes, with the error of the peer's
// close or reset. Unlike a proxy with a second socket, it adds no end of its own.
type delayedConn struct {
	net.Conn
	delay    time.Duration
	outgoing chan piece
	incoming chan piece
	rest     []byte // Received and not read yet.
	failure  error  // End of what was received.
	until    time.Time
	stop     context.CancelFunc
	closed   chan struct{} // Closed by Close.
	ended    chan struct{} // Gets the ends of both directions.
	closing  sync.Once
}

// piece is a part of what was sent, or the end of it.
type piece struct {
	data []byte
	due  time.Time
	end  error
}

// dialDelayed opens a connection that delays each direction. Its caller reads nothing before
// readFrom.
func dialDelayed(ctx context.Context, address string, delay time.Duration, readFrom time.Time) (*delayedConn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c := &delayedConn{Conn: conn, delay: delay, outgoing: make(chan piece, pieceCount), incoming: make(chan piece, pieceCount), stop: stop, closed: make(chan struct{}), ended: make(chan struct{}, 2)}
	go c.send(ctx)
	go c.receive(ctx, readFrom)
	return c, nil
}

func (c *delayedConn) send(ctx context.Context) {
	defer func() { c.ended <- struct{}{} }()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.outgoing:
			if !waitUntil(ctx, p.due) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return // What was received says how the connection ended.
			}
		}
	}
}

func (c *delayedConn) receive(ctx context.Context, from time.Time) {
	defer func() { c.ended <- struct{}{} }()
	if !waitUntil(ctx, from) {
		return
	}
	buffer := make([]byte, pieceBytes)
	for {
		n, err := c.Conn.Read(buffer)
		p := piece{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(c.delay), end: err}
		select {
		case <-ctx.Done():
			return
		case c.incoming <- p:
		}
		if err != nil {
			return
		}
	}
}

// Write sends bytes in pieces.
func (c *delayedConn) Write(p []byte) (int, error) {
	due := time.Now().Add(c.delay)
	for start := 0; start < len(p); start += pieceBytes {
		select {
		case c.outgoing <- piece{data: append([]byte(nil), p[start:min(len(p), start+pieceBytes)]...), due: due}:
		case <-c.closed:
			return start, net.ErrClosed
		}
	}
	return len(p), nil
}

// Read returns what has arrived, and at the end the error with which the peer ended.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.failure != nil {
			return 0, c.failure
		}
		timer := time.NewTimer(time.Until(c.until))
		select {
		case next := <-c.incoming:
			waitUntil(context.Background(), next.due)
			c.rest, c.failure = next.data, next.end
		case <-timer.C:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
		timer.Stop()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// SetReadDeadline sets the time until which Read waits.
func (c *delayedConn) SetReadDeadline(until time.Time) error {
	c.until = until
	return nil
}

// Close closes the connection at once.
func (c *delayedConn) Close() error {
	var err error
	c.closing.Do(func() {
		close(c.closed)
		c.stop()
		err = c.Conn.Close()
		<-c.ended
		<-c.ended
	})
	return err
}

// waitUntil waits until a time. It reports false if ctx ends before.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// TestDelayedConnKeepsTail guards against a connection of the soak that itself loses the end
// of what a peer sends before it closes.
func TestDelayedConnKeepsTail(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	const size = 100_000
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- err.Error()
			return
		}
		request := make([]byte, 4)
		_, _ = conn.Read(request)
		_, _ = conn.Write(make([]byte, size))
		_ = conn.Close()
		received <- string(request)
	}()
	defer func() { _ = listener.Close() }()
	conn, err := dialDelayed(t.Context(), listener.Addr().String(), 30*time.Millisecond, time.Now())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	begun := time.Now()
	_, err = conn.Write([]byte("call"))
	must.NoError(t, err)
	total := 0
	for buffer := make([]byte, 4096); err == nil; {
		n := 0
		n, err = conn.Read(buffer)
		total += n
	}
	must.EqError(t, err, "EOF")
	must.Eq(t, size, total)
	must.Eq(t, "call", <-received)
	must.GreaterEq(t, 60*time.Millisecond, time.Since(begun))
}
