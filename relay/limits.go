package relay

import (
	"io"
	"net"

	"kumquathitch.example/kumquathitch/intake"
)

const (
	// maxHeadBytes bounds the head of a response. The largest that upstreams send has
	// about one kilobyte.
	maxHeadBytes = 64 << 10
	// maxDroppedBytes bounds the body of a response that is read only to reuse its
	// connection.
	maxDroppedBytes = 64 << 10
)

// NewBuffers returns buffers with a limit in bytes, which is raised to that of one
// response of the largest size.
func NewBuffers(limit int64) *intake.Buffers {
	return intake.NewBuffers(max(maxResponseBytes, limit))
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

// Read returns a *intake.TooLargeError when the limit is reached.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, &intake.TooLargeError{Part: "head of the response", Limit: maxHeadBytes}
	}
	n, err := l.Conn.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

func (l *headLimiter) limit()   { l.remaining, l.limited = maxHeadBytes, true }
func (l *headLimiter) unlimit() { l.limited = false }
