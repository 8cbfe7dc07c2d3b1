// Package link opens TCP connections that detect an unresponsive peer within
// about 1.5 s, such as a VM without power or a broken network path.
//
// # Usage
//
//	conn, err := link.Dial(ctx, "10.0.0.7:8080", time.Now().Add(300*time.Millisecond))
//	listener, err := link.Listen(ctx, "10.0.0.5:8221")
package link

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the kernel closes the connection. It is well below the 3 s after which the
	// platform counts a VM as settled again.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// The keep-alive settings detect a dead peer on an idle connection after about
	// unacknowledgedTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to an address. It fails if no connection is open by the deadline.
func Dial(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialContextFunc returns a function for http.Transport.DialContext that dials
// with a timeout.
func DialContextFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return Dial(ctx, address, time.Now().Add(timeout))
	}
}

// Listen listens on an address. Accepted connections detect unresponsive peers too.
// When the listener is closed, it first accepts the connections that callers have
// already opened: the kernel would reset them, with the requests that they carry.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &drainingListener{TCPListener: listener.(*net.TCPListener)}, nil //nolint:forcetypeassert // The network is "tcp".
}

// acceptDrainTime is how long a closed listener goes on accepting. Connections that
// are already open are accepted within microseconds; a busy VM may need longer.
const acceptDrainTime = 100 * time.Millisecond

// drainingListener is a listener whose Accept returns the pending connections after Close.
type drainingListener struct {
	*net.TCPListener
}

// Accept returns net.ErrClosed after acceptDrainTime from the call to Close.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) { // Only Close sets a deadline.
		_ = l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}

// Close ends Accept after acceptDrainTime.
func (l *drainingListener) Close() error {
	return l.SetDeadline(time.Now().Add(acceptDrainTime))
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Sockets accepted from a
// listening socket inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
