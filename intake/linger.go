package intake

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// closeLingerTimeout and closeLingerBytes bound what is read of a caller after its
	// connection was closed here, so that the kernel delivers the end of the response: it
	// resets a connection that is closed with unread bytes, or that gets some later. The bytes
	// are those of a large body that nobody reads.
	closeLingerTimeout = time.Second
	closeLingerBytes   = 4 << 20
	// lingerBufferBytes is the buffer for bytes that are dropped.
	lingerBufferBytes = 8 << 10
)

// lingerers are the connections that are closed as soon as their callers have stopped sending.
type lingerers struct {
	mutex sync.Mutex
	ends  []<-chan struct{}
}

// add closes a connection when its caller has stopped sending, or when ctx ends, and calls closed.
func (l *lingerers) add(ctx context.Context, conn net.Conn, closed func()) {
	end := make(chan struct{})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ends = append(slices.DeleteFunc(l.ends, hasEnded), end)
	go func() {
		defer close(end)
		defer closed()
		endSending(conn)
		deadline, _ := ctx.Deadline()
		linger(conn, make([]byte, lingerBufferBytes), deadline, closeLingerBytes)
		_ = conn.Close()
	}()
}

func hasEnded(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// AwaitClosed waits until the connections that linger are closed, or until ctx ends. The
// server must be closed.
func (b *Budget) AwaitClosed(ctx context.Context) {
	b.lingering.mutex.Lock()
	ends := b.lingering.ends
	b.lingering.mutex.Unlock()
	for _, end := range ends {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// endSending ends the sending side of a connection.
func endSending(conn net.Conn) {
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite() // Fails only on a closed connection.
	}
}

// linger reads and drops what still comes, until a deadline and up to a number of bytes.
func linger(conn net.Conn, buffer []byte, deadline time.Time, most int) {
	_ = conn.SetReadDeadline(deadline)
	for total := 0; total < most; {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}
