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

// TestOneLostProbeKeepsConnection guards against a connection that is reset because a single
// keep-alive probe on it was lost, whether probes begin after 1 s or after 5 s without traffic.
func TestOneLostProbeKeepsConnection(t *testing.T) {
	for _, probe := range []struct{ first, next time.Duration }{
		{time.Second, 2 * time.Second},
		{5 * time.Second, 7 * time.Second},
	} {
		t.Run(probe.first.String(), func(t *testing.T) {
			t.Parallel()
			accepted, caller := connect(t)
			_, err := io.WriteString(accepted, "a")
			must.NoError(t, err)
			_, err = io.ReadFull(caller, make([]byte, 1))
			must.NoError(t, err)
			<-time.NewTimer(probe.first - 200*time.Millisecond).C
			dropReceived(t, caller, true)
			<-time.NewTimer(450 * time.Millisecond).C // One probe is lost.
			dropReceived(t, caller, false)
			<-time.NewTimer(probe.next - probe.first + 100*time.Millisecond).C
			_, err = io.WriteString(accepted, "b")
			must.NoError(t, err)
			_, err = io.ReadFull(caller, make([]byte, 1))
			must.NoError(t, err)
		})
	}
}

// TestOneLostProbeKeepsDialedConnection is the same for a connection that this process has opened: a
// call that waits for a server is lost with it, if it may not be sent again.
func TestOneLostProbeKeepsDialedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := link.Dial(t.Context(), listener.Addr().String(), time.Now().Add(time.Second))
	must.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	server, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = server.Close() }()
	_, err = io.WriteString(dialed, "a")
	must.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, 1))
	must.NoError(t, err)
	<-time.NewTimer(800 * time.Millisecond).C // The first probe is due after a second without traffic.
	dropReceived(t, server, true)
	<-time.NewTimer(450 * time.Millisecond).C // One probe is lost.
	dropReceived(t, server, false)
	<-time.NewTimer(1100 * time.Millisecond).C
	_, err = io.WriteString(server, "b")
	must.NoError(t, err)
	_, err = io.ReadFull(dialed, make([]byte, 1))
	must.NoError(t, err)
}

// dropReceived has the kernel drop the segments that arrive at a connection, or no longer.
func dropReceived(t *testing.T, conn net.Conn, drop bool) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	var failed error
	must.NoError(t, raw.Control(func(fd uintptr) {
		if !drop {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // Accepts no byte of a segment.
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none})
	}))
	must.NoError(t, failed)
}
