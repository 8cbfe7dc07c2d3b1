package kumquathitch

import (
	"context"
	"time"
)

// Environment holds what an entry VM needs from the platform that it runs on:
// settings, and implementations for the platform's interfaces.
type Environment struct {
	Name       string // Name of this VM.
	DataCentre string
	Regions    map[string]string // Region of each data centre.
	Bootstrap  bool              // Set when the whole system starts for the first time.

	CallerAddress  string   // Listener for the requests of callers.
	ReadyAddress   string   // Listener for readiness checks.
	PeerAddress    string   // Listener for calls between entry VMs.
	MetricsAddress string   // Listener for metrics.
	Seeds          []string // Peer addresses of entry VMs; some may be out of date.

	MemoryBytes   int64
	Descriptors   int // File descriptors of the process.
	Intake        IntakeLimits
	Cores         float64       // CPU cores that the VM may use; can be a fraction.
	LinkMbps      float64       // Bandwidth of the VM's network link.
	ShutdownGrace time.Duration // From the shutdown signal until the process is killed.
	DrainLag      time.Duration // Time after which a leaving instance must get no more calls.
	EvacuationLag time.Duration // Time after which the instances of an evacuated data centre must get no more calls.

	// HandoverDelay is how long a new leader waits, after the lease of the previous
	// one has ended, before it gives orders to instances.
	HandoverDelay time.Duration
	ChecksFencing bool // Instances refuse orders of an earlier leader.

	RetryRatio  float64 // Retries allowed per call of a service, over all VMs.
	RetrySlack  float64 // Retries allowed in addition, per window.
	RetryWindow time.Duration

	// A cold instance must get no more than ColdOverage times the calls of a second that its
	// service states, and ColdSlack calls beyond them, over all VMs.
	ColdOverage float64
	ColdSlack   float64

	Store   Keyspace
	Dialect Dialect
	Control EngineControl
	Codec   PlatformCodec
	Peers   PeerCaller // Calls to other entry VMs; nil for connections to their peer addresses.
	Clock   Clock      // Judges the end of leases; nil for the clock that also counts suspension.
	Random  Random     // Spreads exchanges and campaigns; nil for the source of the process.
}

// PeerCaller calls methods of other entry VMs. It is safe for concurrent use.
type PeerCaller interface {
	// Call calls a method of the VM with a peer address and decodes the response into result.
	Call(ctx context.Context, address, method string, params, result any) error
	Close()
}

// PlatformCodec decodes the documents that the platform keeps in its store.
// Implementations are safe for concurrent use.
type PlatformCodec interface {
	// DeploymentKey returns the store key of the operator's configuration.
	DeploymentKey() string
	// InstancePrefix returns the prefix of the store keys of instances.
	InstancePrefix() string
	// EvacuatedDataCentre returns the data centre whose evacuation a store key asks for. It
	// returns false for other keys.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
	// DecodeDeployment decodes a configuration. Its error names the invalid field.
	DecodeDeployment(document []byte) (*Deployment, error)
	// DecodeInstance decodes the description of an instance. It returns an error
	// for an item that describes no usable instance.
	DecodeInstance(item KeyItem, now time.Time) (Instance, error)
}
