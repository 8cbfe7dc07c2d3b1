package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// EndCause says who ended a connection.
type EndCause string

// Causes of the end of a connection.
const (
	EndNone         EndCause = "open"
	EndCallerClosed EndCause = "caller-closed" // The caller closed its sending side, or the whole connection.
	EndCallerReset  EndCause = "caller-reset"
	EndTimedOut     EndCause = "timed-out" // The kernel got no acknowledgement from the caller in time.
	EndClosedHere   EndCause = "closed-here"
	EndFailed       EndCause = "failed"
)

// ConnectionEnd is what this process knows of the state of a connection, or of how it ended.
type ConnectionEnd struct {
	Cause          EndCause
	Remote         string // Address of the caller.
	Requests       int    // Number of requests that were begun.
	Written        int64  // Bytes of the response to the last request that the kernel has taken.
	Unacknowledged int    // Bytes that the caller had not acknowledged at the end, if it was not closed by then.
	Unread         int    // Bytes of the caller that this process had not read at the end. The kernel resets a connection that is closed with some.
}

// Fields returns the fields for a log line.
func (e ConnectionEnd) Fields() []zap.Field {
	return []zap.Field{
		zap.String("connection", string(e.Cause)), zap.String("caller", e.Remote), zap.Int("requests", e.Requests),
		zap.Int64("written", e.Written), zap.Int("unacknowledged", e.Unacknowledged), zap.Int("unread", e.Unread),
	}
}

// End returns the state of the connection of a request. It reports false for a request that
// did not come through a Budget.
func End(request context.Context) (ConnectionEnd, bool) {
	c, ok := request.Value(connKey{}).(*Conn)
	if !ok {
		return ConnectionEnd{}, false
	}
	return c.state(), true
}

// state returns the state of the connection.
func (c *Conn) state() ConnectionEnd {
	c.shard.mutex.Lock()
	state, closed := c.end, c.closed
	c.shard.mutex.Unlock()
	state.Remote = c.RemoteAddr().String()
	if !closed {
		state.Unacknowledged, state.Unread, _ = pendingBytes(c.Conn)
	}
	return state
}

// recordEnd records the error of a read or write as the cause of the connection's end. A
// deadline is none: net/http uses it to stop its reads. The shard must be locked.
func (c *Conn) recordEnd(err error) {
	if err == nil || c.end.Cause != EndNone || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	switch {
	case errors.Is(err, io.EOF):
		c.end.Cause = EndCallerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.end.Cause = EndCallerReset
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		c.end.Cause = EndTimedOut
	case errors.Is(err, net.ErrClosed):
		c.end.Cause = EndClosedHere
	default:
		c.end.Cause = EndFailed
	}
}

// logClose logs the end of a connection that may have cost a response: it was closed
// here during a request, or before the caller had acknowledged all of the response and the kernel
// resets it because of unread bytes.
func (c *Conn) logClose(state ConnectionEnd, serving bool) {
	if (serving && state.Cause == EndClosedHere) || (state.Unread > 0 && state.Unacknowledged > 0) {
		state.Remote = c.RemoteAddr().String()
		c.budget.report.log.Warn("connection closed with a response under way", append(state.Fields(), zap.Bool("serving", serving))...)
	}
}

// pendingBytes returns how many bytes the caller has not acknowledged, and how many it has
// sent that were not read. It reports false for a connection that is no socket.
func pendingBytes(conn net.Conn) (unacknowledged, unread int, ok bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, 0, false
	}
	_ = raw.Control(func(fd uintptr) { // Fails only on a closed connection.
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return unacknowledged, unread, true
}

// ConnectionCounts are numbers of connections by what they wait for.
type ConnectionCounts struct {
	Silent  int // Their first byte.
	Head    int // The rest of a head.
	Body    int // The rest of a body.
	Serving int // Their response.
	Idle    int // Their next request.
}

// Fields returns the fields for a log line.
func (n ConnectionCounts) Fields() []zap.Field {
	return []zap.Field{
		zap.Int("silent", n.Silent), zap.Int("head", n.Head), zap.Int("body", n.Body), zap.Int("serving", n.Serving), zap.Int("idle", n.Idle),
	}
}

// Count returns the numbers of connections by what they wait for.
func (b *Budget) Count() ConnectionCounts {
	var n ConnectionCounts
	for i := range b.shards {
		s := &b.shards[i]
		s.mutex.Lock()
		for c := range s.conns {
			switch c.phase {
			case phaseNew:
				n.Silent++
			case phaseHead:
				n.Head++
			case phaseBody:
				n.Body++
			case phaseServing:
				n.Serving++
			case phaseIdle:
				n.Idle++
			}
		}
		s.mutex.Unlock()
	}
	return n
}
