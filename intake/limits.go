package intake

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"kumquathitch.example/kumquathitch"
)

const (
	// fileDescriptors are the descriptors that are kept for files.
	fileDescriptors = 200
	// minReservedSockets is the least number of sockets that callers cannot take. They are
	// for listeners, upstreams, peers, the store and readiness checks.
	minReservedSockets = 48
	// reservedSocketDivisor keeps a sixteenth of the sockets from callers.
	reservedSocketDivisor = 16
	// connectionBytes is the memory for one connection with an ordinary request.
	connectionBytes = 16 << 10
	// connectionFraction is the memory for connections, as a fraction of the process's memory.
	connectionFraction = 0.4
	// headFraction is the memory for decoded heads.
	headFraction = 0.1
	// defaultConnections applies when neither memory nor descriptors are known.
	defaultConnections = 8192
	// defaultHeadMemory applies when the memory is not known.
	defaultHeadMemory = 32 << 20
	// defaultHeadBytes is four times what the pages allow to callers.
	defaultHeadBytes      = 64 << 10
	defaultEmptyLineBytes = 64
	// defaultHeadTimeout is longer than the limit of any deployment.
	defaultHeadTimeout = 20 * time.Second
	// defaultIdleTimeout exceeds the time for which callers keep idle connections.
	defaultIdleTimeout = 90 * time.Second
)

const (
	readinessConnectionDivisor = 32
	minReadinessConnections    = 16
	readinessHeadBytes         = 8 << 10
	readinessHeadMemory        = 1 << 20
)

// Resources are those of the process. Zero stands for unknown.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// sockets returns the number of descriptors that are not kept for files.
func (r Resources) sockets() int {
	return max(r.Descriptors-fileDescriptors, r.Descriptors/2)
}

// Derive sets the limits that are zero.
func Derive(limits kumquathitch.IntakeLimits, r Resources) kumquathitch.IntakeLimits {
	if limits.Connections <= 0 {
		limits.Connections = defaultConnections
		if r.MemoryBytes > 0 {
			limits.Connections = max(1, int(connectionFraction*float64(r.MemoryBytes))/connectionBytes)
		}
		if r.Descriptors > 0 {
			sockets := r.sockets()
			limits.Connections = min(limits.Connections, max(1, sockets-max(minReservedSockets, sockets/reservedSocketDivisor)))
		}
	}
	setDefault(&limits.HeadBytes, defaultHeadBytes)
	if limits.HeadMemory <= 0 && r.MemoryBytes > 0 {
		limits.HeadMemory = int64(headFraction * float64(r.MemoryBytes))
	}
	setDefault(&limits.HeadMemory, defaultHeadMemory)
	setDefault(&limits.EmptyLineBytes, defaultEmptyLineBytes)
	setDefault(&limits.HeadTimeout, defaultHeadTimeout)
	setDefault(&limits.IdleTimeout, defaultIdleTimeout)
	return limits
}

// DeriveReadiness returns the limits of a listener for readiness checks, which carry no bodies.
func DeriveReadiness(r Resources) kumquathitch.IntakeLimits {
	limits := kumquathitch.IntakeLimits{HeadBytes: readinessHeadBytes, HeadMemory: readinessHeadMemory}
	limits.Connections = max(minReadinessConnections, r.sockets()/readinessConnectionDivisor)
	return Derive(limits, r)
}

func setDefault[T int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Restrict returns the resources with no more descriptors than the kernel allows to this
// process, and with the memory of the machine if the memory is not known.
func (r Resources) Restrict() Resources {
	var machine unix.Sysinfo_t
	if r.MemoryBytes <= 0 && unix.Sysinfo(&machine) == nil {
		r.MemoryBytes = int64(machine.Totalram) * int64(machine.Unit) //nolint:gosec // Below 2^63 on every machine.
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 && limit.Cur < math.MaxInt32 {
		if r.Descriptors <= 0 || int(limit.Cur) < r.Descriptors {
			r.Descriptors = int(limit.Cur)
		}
	}
	return r
}
