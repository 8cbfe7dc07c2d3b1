package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

const (
	// maxHeadBytes bounds the head of a response. The largest that upstreams send has
	// about one kilobyte.
	maxHeadBytes = 64 << 10
	// maxDroppedBytes bounds the body of a response that is read only to reuse its
	// connection.
	maxDroppedBytes = 64 << 10
	// firstReadBytes is the first buffer for a body of unknown length.
	firstReadBytes = 4 << 10
	// maxFirstReadBytes bounds the first buffer for a body of stated length, since the
	// length may be stated without the bytes following.
	maxFirstReadBytes = 256 << 10
	// minBufferedBytes is the least limit of Buffers: one response of the largest size.
	minBufferedBytes = maxResponseBytes
)

// TooLargeError reports a part of a message that exceeds its limit.
type TooLargeError struct {
	Part  string
	Limit int64 // Bytes.
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s is larger than %d bytes", e.Part, e.Limit)
}

// BuffersFullError reports that the buffers of this VM have no space for a message.
type BuffersFullError struct {
	Limit int64 // Bytes, over all messages.
}

func (e *BuffersFullError) Error() string {
	return fmt.Sprintf("the messages that this VM holds take all of its %d bytes for them", e.Limit)
}

// Buffers bounds the memory for all message bodies and incomplete events that a VM
// holds at the same time. Without it, a few dozen bodies of the largest size would end
// a process with the memory of a small VM. It is safe for concurrent use.
type Buffers struct {
	limit int64
	mutex sync.Mutex
	used  int64
}

// NewBuffers returns buffers with a limit in bytes, which is raised to that of one
// response of the largest size.
func NewBuffers(limit int64) *Buffers {
	return &Buffers{limit: max(minBufferedBytes, limit)}
}

// extend takes space for more bytes of a message that holds some already. When there is
// not enough it returns a *BuffersFullError, and takes back what the message holds: of
// several messages that reach the limit together, the others can go on.
func (b *Buffers) extend(held, more int64) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.used+more > b.limit {
		b.used -= held
		return &BuffersFullError{Limit: b.limit}
	}
	b.used += more
	return nil
}

func (b *Buffers) release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
}

// heldBody is a message body in the space of Buffers.
type heldBody struct {
	buffers  *Buffers
	data     []byte
	reserved int64
}

// release returns the space. The data must not be used afterwards.
func (b *heldBody) release() {
	if b.reserved > 0 {
		b.buffers.release(b.reserved)
	}
	b.data, b.reserved = nil, 0
}

// grow makes the capacity of the data at least size.
func (b *heldBody) grow(size int64) error {
	if err := b.buffers.extend(b.reserved, size-b.reserved); err != nil {
		b.data, b.reserved = nil, 0
		return err
	}
	b.reserved = size
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// readAll reads a body to its end. length is its stated length, negative if there is
// none. It returns a *TooLargeError for a body beyond the limit, a *BuffersFullError
// without space, or the error of the reader. The caller releases the body in any case.
func (b *heldBody) readAll(r io.Reader, part string, length, limit int64) error {
	if length > limit {
		return &TooLargeError{Part: part, Limit: limit}
	}
	size := min(limit, firstReadBytes)
	if length >= 0 {
		size = min(length, maxFirstReadBytes)
	}
	if err := b.grow(size + 1); err != nil { // One byte more, to see the end of the body.
		return err
	}
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(min(limit+1, 2*int64(cap(b.data)))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			return &TooLargeError{Part: part, Limit: limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// drop reads and discards a body. It reports whether the body ended within
// maxDroppedBytes, so that the connection can carry another response.
func drop(r io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxDroppedBytes+1))
	return err == nil && n <= maxDroppedBytes
}

// headLimiter limits the bytes that are read while the head of a response is due: an
// upstream in trouble may send bytes without end that are no response. Only the
// attempt that uses the connection reads from it.
type headLimiter struct {
	net.Conn
	remaining int64
	limited   bool
}

// Read returns a *TooLargeError when the limit is reached.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, &TooLargeError{Part: "head of the response", Limit: maxHeadBytes}
	}
	n, err := l.Conn.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

func (l *headLimiter) limit()   { l.remaining, l.limited = maxHeadBytes, true }
func (l *headLimiter) unlimit() { l.limited = false }
