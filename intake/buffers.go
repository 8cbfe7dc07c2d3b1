package intake

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// firstReadBytes is the first buffer for a body of unknown length.
	firstReadBytes = 4 << 10
	// maxFirstReadBytes bounds the first buffer for a body of stated length, since the
	// length may be stated without the bytes following.
	maxFirstReadBytes = 256 << 10
	// knownGrowth and unknownGrowth are the factors by which a buffer grows. A large factor
	// leaves less garbage; with a stated length it never exceeds the body.
	knownGrowth, unknownGrowth = 8, 2
	// freedTimeout is how long a message waits for the space of connections that were
	// closed for it.
	freedTimeout = 250 * time.Millisecond
)

// TooLargeError reports a part of a message that exceeds its limit.
type TooLargeError struct {
	Part  string
	Limit int64 // Bytes.
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s is larger than %d bytes", e.Part, e.Limit)
}

// BuffersFullError reports that the buffers of this process have no space for a message.
type BuffersFullError struct {
	Limit int64 // Bytes, over all messages.
}

func (e *BuffersFullError) Error() string {
	return fmt.Sprintf("the messages that this process holds take all of its %d bytes for them", e.Limit)
}

// Buffers bounds the memory for all message bodies and incomplete events that a process
// holds at the same time. Without it, a few dozen bodies of the largest size would end
// a process with the memory of a small VM. It is safe for concurrent use.
type Buffers struct {
	// Reclaim closes connections of callers who hold bytes and make no progress, and
	// returns how many bytes they hold. It may be nil.
	Reclaim func(bytes int64) int64

	limit int64
	mutex sync.Mutex
	used  int64
	freed chan struct{} // Closed by the next release; nil if nobody waits.
}

// NewBuffers returns buffers with a limit in bytes.
func NewBuffers(limit int64) *Buffers {
	return &Buffers{limit: limit}
}

// Extend takes space for more bytes of a message that holds some already. When there is
// not enough, also after Reclaim, it returns a *BuffersFullError, and takes back what the
// message holds: of several messages that reach the limit together, the others can go on.
func (b *Buffers) Extend(held, more int64) error {
	if _, ok := b.take(more); ok {
		return nil
	}
	if b.Reclaim != nil && b.Reclaim(more) > 0 && b.await(more) {
		return nil
	}
	b.Release(held)
	return &BuffersFullError{Limit: b.limit}
}

// take takes space. If there is not enough, it returns a channel that is closed when
// some is released.
func (b *Buffers) take(bytes int64) (<-chan struct{}, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.used+bytes <= b.limit {
		b.used += bytes
		return nil, true
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, false
}

// await takes space within freedTimeout.
func (b *Buffers) await(bytes int64) bool {
	timer := time.NewTimer(freedTimeout)
	defer timer.Stop()
	for {
		freed, ok := b.take(bytes)
		if ok {
			return true
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		}
	}
}

// Release returns space.
func (b *Buffers) Release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// HeldBody is a message body in the space of Buffers.
type HeldBody struct {
	Buffers  *Buffers
	Data     []byte
	reserved int64
}

// Release returns the space. The data must not be used afterwards.
func (b *HeldBody) Release() {
	if b.reserved > 0 {
		b.Buffers.Release(b.reserved)
	}
	b.Data, b.reserved = nil, 0
}

// grow makes the capacity of the data at least size.
func (b *HeldBody) grow(size int64) error {
	if err := b.Buffers.Extend(b.reserved, size-b.reserved); err != nil {
		b.Data, b.reserved = nil, 0
		return err
	}
	b.reserved = size
	grown := make([]byte, len(b.Data), size)
	copy(grown, b.Data)
	b.Data = grown
	return nil
}

// nextSize returns the next size of a full buffer.
func nextSize(size, length, limit int64) int64 {
	if length >= size {
		return min(length+1, knownGrowth*size)
	}
	return min(limit+1, unknownGrowth*size)
}

// ReadAll reads a body to its end. length is its stated length, negative if there is
// none. It returns a *TooLargeError for a body beyond the limit, a *BuffersFullError
// without space, or the error of the reader. The caller releases the body in any case.
func (b *HeldBody) ReadAll(r io.Reader, part string, length, limit int64) error {
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
		if len(b.Data) == cap(b.Data) {
			if err := b.grow(nextSize(int64(cap(b.Data)), length, limit)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		switch {
		case int64(len(b.Data)) > limit:
			return &TooLargeError{Part: part, Limit: limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
