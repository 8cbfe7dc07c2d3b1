package link_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"kumquathitch.example/kumquathitch/link"
)

// connect returns both ends of a connection: of the process that listens, and of a caller
// whose kernel holds few bytes that it has not read.
func connect(t *testing.T) (accepted, caller net.Conn) {
	t.Helper()
	listener, err := link.Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) })
	}}
	caller, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted, caller
}

// TestPausedReaderKeepsConnection guards against a connection that is reset because a sound
// peer, whose kernel acknowledges all probes, reads nothing for longer than the user timeout.
func TestPausedReaderKeepsConnection(t *testing.T) {
	accepted, caller := connect(t)
	response := make([]byte, 64<<10)
	written, err := accepted.Write(response)
	must.NoError(t, err)
	must.NoError(t, accepted.Close()) // The kernel delivers the rest.
	<-time.NewTimer(2500 * time.Millisecond).C
	received, err := io.Copy(io.Discard, caller)
	must.NoError(t, err)
	must.Eq(t, int64(written), received)
}
