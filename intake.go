package kumquathitch

import "time"

// IntakeLimits bound what the callers of one listener make the process hold. A field
// that is zero stands for the default, which follows from the memory and the
// descriptors of the process.
type IntakeLimits struct {
	Connections    int           // Open connections of callers.
	HeadBytes      int64         // One head of a request.
	HeadMemory     int64         // Bytes that the heads of all requests may take once they are decoded.
	EmptyLineBytes int64         // Bytes of empty lines before a request.
	HeadTimeout    time.Duration // From the first byte of a head to its end.
	IdleTimeout    time.Duration // Between two requests of a connection.
}
