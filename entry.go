package kumquathitch

import (
	"context"
	"time"
)

// EntryVM describes an entry VM to its peers.
type EntryVM struct {
	Name          string    `json:"name"`
	Incarnation   uint64    `json:"incarnation"` // Increases with every start of the process.
	DataCentre    string    `json:"data-centre"`
	Address       string    `json:"address"`    // IP address and port for peers.
	Generation    uint64    `json:"generation"` // Configuration generation in force on the VM.
	Leaving       bool      `json:"leaving,omitempty"`
	LastHeartbeat time.Time `json:"-"` // When the last heartbeat arrived, by the receiver's clock.
}

// EntryVMs is a list of entry VMs.
type EntryVMs []EntryVM

// Peers sends calls to other entry VMs.
type Peers interface {
	// Call invokes a method of the peer at an address and decodes the response
	// into result. Its errors are of type *PeerError.
	Call(ctx context.Context, address, method string, params, result any) error
}

// PeerError reports that a call to a peer failed. The call may have taken effect.
type PeerError struct {
	Address string
	Method  string
	Cause   error
}

func (e *PeerError) Error() string {
	return "Peers.Call: " + e.Method + " at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error {
	return e.Cause
}

// Membership is this VM's view of the entry VMs. The views of two VMs can differ
// for a while. A task that is assigned by it must therefore be harmless when two
// VMs perform it at once.
type Membership interface {
	// Self returns this VM.
	Self() EntryVM
	// Live returns the other VMs of a data centre that are neither dead nor
	// leaving, sorted by name; an empty data centre selects all of them.
	Live(dataCentre string, now time.Time) EntryVMs
	// Ranked returns up to n live VMs of a data centre, this VM included, with the
	// highest rendezvous weights for a key, highest first.
	Ranked(key, dataCentre string, n int, now time.Time) EntryVMs
}
