package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	phaseNew     phase = iota // Its first byte.
	phaseHead                 // The rest of a head.
	phaseBody                 // The rest of a body, while the handler runs.
	phaseServing              // The response, while the handler runs.
	phaseIdle                 // The next request.
	phaseRefused              // Its end.
)

const (
	// freeHeadBytes is the part of a head's cost that is not charged: connectionBytes
	// contains it, so that ordinary heads never reach the limit.
	freeHeadBytes = 8 << 10
	// serverBufferBytes is the read buffer of net/http. After a request it may hold the
	// start of the next head, so that what is read then may begin with the empty line at
	// its end.
	serverBufferBytes = 4 << 10
	// byteCost and lineCost are the memory of a decoded head. A line costs an entry of a
	// map, and a long line is copied while it grows.
	byteCost, lineCost = 3, 128
	// writePieceBytes is the largest part of a response that is written at once, so that
	// a caller that reads slowly is seen to read.
	writePieceBytes = 64 << 10
	// refusalTimeout bounds the write of a refusal, and lingerTimeout and lingerBytes what is
	// read after it: a connection that is closed with unread bytes is reset, and the refusal lost.
	refusalTimeout = 500 * time.Millisecond
	lingerTimeout  = 300 * time.Millisecond
	lingerBytes    = 256 << 10
	// retryAfterSeconds is the Retry-After of a refusal for lack of space.
	retryAfterSeconds = 1
)

// RefusedError reports that a connection was refused, and with which status.
type RefusedError struct {
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d before its request was complete", e.Status)
}

// Conn is a connection of a caller. The fields below budget are under the lock of the shard.
type Conn struct {
	net.Conn
	budget  *Budget
	shard   *shard
	address netip.Addr

	phase     phase
	since     time.Duration // Start of the phase, or the last progress in it.
	head      headScanner
	charged   int64 // Cost of the head that the budget counts.
	bodyBytes int64 // Bytes of the body that were read.
	writing   int64 // Bytes that are being written; 0 for none.
	widened   bool  // The kernel may hold bodyBufferBytes.
	handling  bool  // A handler has the request.
	closed    bool
	end       ConnectionEnd
}

// Read reads bytes of the caller and counts those of heads. A connection whose head is
// refused has got a response when Read returns the error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.widens(n) {
		c.setReadBuffer(bodyBufferBytes)
	}
	status, why := c.record(p[:n], err)
	if status == 0 {
		return n, err
	}
	c.budget.report.add(why)
	refuse(c.Conn, status)
	linger(c.Conn, p, time.Now().Add(lingerTimeout), lingerBytes)
	if err == nil {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: &RefusedError{Status: status}}
	}
	return 0, err
}

// record counts what was read. It returns the status to refuse the connection with, or 0.
func (c *Conn) record(p []byte, err error) (int, reason) {
	delta, status, why := c.scan(p, err)
	if status == 0 && delta > 0 && !c.budget.chargeHead(c, delta) {
		status, why = http.StatusServiceUnavailable, reasonHeadMemory
	}
	if status != 0 {
		c.shard.mutex.Lock()
		defer c.shard.mutex.Unlock()
		c.phase = phaseRefused
	}
	return status, why
}

// scan updates the state of the connection. It returns the cost to charge for its head,
// and the status to refuse it with, or 0.
func (c *Conn) scan(p []byte, err error) (int64, int, reason) {
	limit := c.budget.headLimit()
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.recordEnd(err)
	if c.phase == phaseBody && len(p) > 0 {
		c.bodyBytes += int64(len(p))
		c.since = c.budget.now()
	}
	if c.phase == phaseBody || c.phase == phaseServing || c.closed {
		return 0, 0, ""
	}
	if c.phase == phaseRefused { // Closed for others, or about to be.
		return 0, 0, ""
	}
	if len(p) > 0 && c.phase != phaseHead {
		c.phase, c.since = phaseHead, c.budget.now()
	}
	c.head.scan(p)
	switch {
	case c.head.bytes > limit:
		return 0, http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize
	case c.head.emptyBytes > c.budget.limits.EmptyLineBytes:
		return 0, http.StatusBadRequest, reasonEmptyLines
	case errors.Is(err, os.ErrDeadlineExceeded) && c.phase == phaseHead && !c.head.complete:
		return 0, http.StatusRequestTimeout, reasonHeadTime
	}
	delta := max(0, c.head.cost()-freeHeadBytes) - c.charged
	c.charged += delta
	return delta, 0, ""
}

// evict closes the connection for others, unless it has left the phase in which it was
// chosen. A caller who may be sending a request is told that it has not run.
func (c *Conn) evict(x candidate) bool {
	c.shard.mutex.Lock()
	if c.closed || c.phase != x.phase || (c.phase == phaseHead && c.head.complete) {
		c.shard.mutex.Unlock()
		return false
	}
	beforeRequest := c.phase == phaseNew || c.phase == phaseHead || c.phase == phaseIdle
	if beforeRequest {
		c.phase = phaseRefused
	}
	c.shard.mutex.Unlock()
	if beforeRequest && x.rank != rankUseless {
		refuse(c.Conn, http.StatusServiceUnavailable)
	}
	_ = c.Close()
	return true
}

// beginRequest records that a handler has got a request, or returns nil if its connection
// was refused meanwhile. It returns the request with a
// body that notes when it has been read. It is a copy: net/http inspects the body of the
// original to decide whether the connection can carry another request.
func (c *Conn) beginRequest(r *http.Request) *http.Request {
	next := phaseBody
	if r.Body == nil || r.Body == http.NoBody {
		next = phaseServing
	}
	if !c.enter(next) {
		return nil
	}
	if next == phaseServing {
		return r
	}
	watched := r.WithContext(r.Context())
	watched.Body = &body{ReadCloser: r.Body, conn: c}
	return watched
}

// enter enters a phase, unless the connection was refused.
func (c *Conn) enter(next phase) bool {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	if c.phase == phaseRefused {
		return false
	}
	c.phase, c.since = next, c.budget.now()
	return true
}

// setHandling records whether a handler has a request of the connection.
func (c *Conn) setHandling(handling bool) {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	if c.handling = handling; handling {
		c.end.Requests++
		c.end.Written = 0
	}
}

// awaitHead records that a request and its response have ended.
func (c *Conn) awaitHead() {
	c.shard.mutex.Lock()
	c.phase, c.since = phaseIdle, c.budget.now()
	c.release()
	widened := c.widened
	c.widened = false
	c.shard.mutex.Unlock()
	if widened {
		c.setReadBuffer(receiveBufferBytes)
	}
}

// release returns what the connection holds. The shard must be locked.
func (c *Conn) release() {
	c.budget.headBytes.Add(-c.charged)
	c.charged, c.bodyBytes, c.head = 0, 0, headScanner{emptyBytes: -serverBufferBytes}
}

// Write writes in pieces, so that progress is seen.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		c.recordWrite(int64(len(p)))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			c.recordWritten(int64(written), err)
			return written, err
		}
	}
}

// recordWrite records that bytes are being written.
func (c *Conn) recordWrite(bytes int64) {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.setWriting(bytes)
}

// recordWritten records the end of a write, and what it has passed to the kernel.
func (c *Conn) recordWritten(bytes int64, err error) {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.setWriting(0)
	c.end.Written += bytes
	c.recordEnd(err)
}

// setWriting records how many bytes are being written, which is progress. The shard must be locked.
func (c *Conn) setWriting(bytes int64) {
	c.writing = bytes
	if c.phase == phaseServing {
		c.since = c.budget.now()
	}
}

// CloseWrite ends the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds. If the caller is still sending while a
// response is under way, and no handler runs, it returns before the connection is closed: see lingerers.
func (c *Conn) Close() error {
	unacknowledged, unread, isSocket := pendingBytes(c.Conn)
	c.shard.mutex.Lock()
	if c.closed {
		c.shard.mutex.Unlock()
		return c.Conn.Close()
	}
	c.closed = true
	delete(c.shard.conns, c)
	c.release()
	c.end.Unacknowledged, c.end.Unread = unacknowledged, unread
	c.recordEnd(net.ErrClosed)
	defer c.logClose(c.end, c.handling)
	lingers := isSocket && c.lingers()
	c.shard.mutex.Unlock()
	if !lingers {
		c.budget.connections.Add(-1)
		return c.Conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeLingerTimeout)
	c.budget.lingering.add(ctx, c.Conn, func() {
		cancel()
		c.budget.connections.Add(-1)
	})
	return nil
}

// lingers reports whether the caller is still sending while a response is under way that a reset would
// cut, of a connection that was just closed here. The shard must be locked.
func (c *Conn) lingers() bool {
	if c.handling || c.end.Cause != EndClosedHere || c.phase == phaseRefused {
		return false
	}
	return c.phase == phaseBody || (c.end.Unread > 0 && c.end.Unacknowledged > 0)
}

// body is the body of a request. It tells the connection when it has been read.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.enter(phaseServing)
	}
	return n, err
}

// refuse writes a response without a request, and ends the sending side.
func refuse(conn net.Conn, status int) {
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Fails only on a closed connection, like the write.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, retry, len(text), text)
	endSending(conn)
}
