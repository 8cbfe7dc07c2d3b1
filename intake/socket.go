package intake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes bounds what the kernel holds of a connection whose process does not
	// read: bytes behind a request that is being served, or while the processor is busy.
	// The first window of a sender is about as large, so that ordinary requests need no more.
	receiveBufferBytes = 16 << 10
	// bodyBufferBytes replaces it while a larger body is read, at which the process waits.
	bodyBufferBytes = 256 << 10
	// unsentBytes bounds what the kernel holds of a response beyond the caller's window.
	unsentBytes = 64 << 10
)

// boundReceived bounds what the kernel receives for the connections of a listener, which
// inherit the option. A platform without it keeps its own bound.
func boundReceived(listener net.Listener) {
	setOption(listener, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
}

// boundUnsent bounds what the kernel holds of a response. Connections do not inherit this option.
func boundUnsent(conn net.Conn) {
	setOption(conn, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
}

func setOption(socket any, level, option, value int) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), level, option, value) })
}

// widens reports whether the kernel shall receive the rest of a body faster, of which
// more bytes were read.
func (c *Conn) widens(bytes int) bool {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	if c.phase != phaseBody || c.widened || c.bodyBytes+int64(bytes) < receiveBufferBytes {
		return false
	}
	c.widened = true
	return true
}

func (c *Conn) setReadBuffer(bytes int) {
	if conn, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = conn.SetReadBuffer(bytes) // Best effort, as in boundReceived.
	}
}
