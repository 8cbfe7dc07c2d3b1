// Package link opens TCP connections that detect an unresponsive peer, such as a VM
// without power or a broken network path: within about 2 s if this process has opened the
// connection, and within about 11 s if it has accepted it.
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
	// dialedTimeout is how long sent bytes may stay unacknowledged on a connection that
	// this process has opened before the kernel closes it. It is well below the 3 s after
	// which the platform counts a VM as settled again.
	dialedTimeout = 1500 * time.Millisecond
	// acceptedTimeout is the same for a connection of a caller. Nobody waits for the loss of a caller to
	// be noticed, as calls and their writes have deadlines, while a caller that pauses, or loses
	// some segments, still wants its response.
	acceptedTimeout = 10 * time.Second
)

// While a user timeout is set, Linux ignores the count of probes: it resets a connection once
// nothing has come for that timeout and a probe is unanswered. The kernel takes whole seconds.
var (
	dialedKeepAlive   = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	acceptedKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}
)

// Dial connects to an address. It fails if no connection is open by the deadline.
func Dial(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAliveConfig: dialedKeepAlive, Control: userTimeout(dialedTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialContextFunc returns a function for http.Transport.DialContext that dials
// with a timeout.
func DialContextFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return Dial(ctx, address, time.Now().Add(timeout))
	}
}

// Listen listens on an address.
// When the listener is closed, it first accepts the connections that callers have
// already opened: the kernel would reset them, with the requests that they carry.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: acceptedKeepAlive, Control: userTimeout(acceptedTimeout)}
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

// userTimeout returns a function that sets TCP_USER_TIMEOUT on a socket. Sockets accepted from a
// listening socket inherit it. The timeout also applies while the peer's window is closed.
func userTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
