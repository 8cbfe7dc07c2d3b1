package kumquathitch

import (
	"context"
	"fmt"
	"time"
)

// MaxRecordBytes is the largest value that the platform's key-value service accepts.
const MaxRecordBytes = 1 << 20

// Record is a value in the platform's key-value service.
type Record struct {
	Key      string    `json:"key"`
	Version  uint64    `json:"version"` // Increases with every write to any key of the service.
	Value    []byte    `json:"value"`
	Deadline time.Time `json:"deadline,omitzero"` // End of the lease by the service's clock; zero for a record without lease.
}

// Records is a list of records.
type Records []Record

// VMListing is an entry of the platform's list of VMs. The list can be out of date.
type VMListing struct {
	Address string `json:"address"` // IP address of the VM.
	Leaving bool   `json:"leaving,omitempty"`
}

// VMListings is the platform's list of live and leaving VMs.
type VMListings []VMListing

// Store is the platform's key-value service. Every method may return a
// *StoreError; after one with Unknown set, a write may or may not have taken effect.
type Store interface {
	// Get returns a record, or a *NotFoundError.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) (Records, error)
	// CompareAndSwap writes a record if the stored version equals record.Version;
	// version 0 means that the record must not exist. Otherwise it returns a
	// *ConflictError. A non-zero deadline is the end of a lease, after which the
	// service deletes the record.
	CompareAndSwap(ctx context.Context, record Record) (Record, error)
	// Watch waits until a record with the prefix is newer than since or ctx ends. It
	// returns the newer records. The service counts each waiting watch as a call.
	Watch(ctx context.Context, prefix string, since uint64) (Records, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) (VMListings, error)
}

// NotFoundError reports that a record does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("Store.Get: no record %q", e.Key)
}

// ConflictError reports that another writer changed a record.
type ConflictError struct {
	Key      string
	Expected uint64 // Version that the writer expected.
	Current  Record // The stored record; Version 0 when it does not exist.
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("Store.CompareAndSwap: record %q has version %d, not %d", e.Key, e.Current.Version, e.Expected)
}

// StoreError reports a failed call to the store, or an unexpected response from it.
type StoreError struct {
	Operation string
	Key       string
	Unknown   bool // The call may have taken effect.
	Cause     error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("Store.%s: record %q: outcome unknown=%t: %v", e.Operation, e.Key, e.Unknown, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error {
	return e.Cause
}
