// Package standin implements small stand-ins for the systems around kumquathitch:
// the platform's key-value service and list of VMs, model engines, plain services,
// and the connections to them. Only tests and the embedded demonstration use them.
//
// # Usage
//
//	store := standin.NewStore(clock)          // Implements kumquathitch.Store in memory.
//	handler := standin.NewStoreHandler(store) // The same store as an http.Handler.
//	engine := standin.NewEngine(standin.EngineSettings{Name: "planner-llm-1"}, clock)
//	service := standin.NewService("dispatch")
//
// Each simulates the faults of the real systems, such as lost responses and outages.
package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const storeShards = 16

// StoreFaults are the faults that a store simulates.
type StoreFaults struct {
	Down          bool `json:"down"`         // Every call fails and has no effect.
	LoseResponses int  `json:"lose-answers"` // Number of writes that take effect and return an error.
	DelayMS       int  `json:"delay-ms"`     // Delay of every call in milliseconds.
}

// StoreCalls counts the calls of a store.
type StoreCalls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Store implements kumquathitch.Store in memory. It is safe for concurrent use.
type Store struct {
	clock    kumquathitch.Clock
	revision atomic.Uint64
	shards   [storeShards]storeShard
	changes  changeSignal
	control  testControl
	reads    atomic.Uint64
	writes   atomic.Uint64
	watches  atomic.Uint64
}

type storeShard struct {
	mutex   sync.Mutex
	records map[string]kumquathitch.Record
}

// changeSignal wakes all waiting watches after a write.
type changeSignal struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// testControl holds the settings that tests change.
type testControl struct {
	mutex    sync.Mutex
	faults   StoreFaults
	listings kumquathitch.VMListings
}

// NewStore returns an empty store whose leases expire by a clock.
func NewStore(clock kumquathitch.Clock) *Store {
	s := &Store{clock: clock}
	s.changes.changed = make(chan struct{})
	for i := range s.shards {
		s.shards[i].records = map[string]kumquathitch.Record{}
	}
	return s
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.control.mutex.Lock()
	defer s.control.mutex.Unlock()
	s.control.faults = faults
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(listings kumquathitch.VMListings) {
	s.control.mutex.Lock()
	defer s.control.mutex.Unlock()
	s.control.listings = slices.Clone(listings)
}

// Calls returns the numbers of calls so far, including those that failed.
func (s *Store) Calls() StoreCalls {
	return StoreCalls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Get returns a record, or a *kumquathitch.NotFoundError.
func (s *Store) Get(ctx context.Context, key string) (kumquathitch.Record, error) {
	s.reads.Add(1)
	if err := s.applyFaults(ctx, "Get", key); err != nil {
		return kumquathitch.Record{}, err
	}
	shard := s.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	record, ok := shard.live(key, s.clock.Now())
	if !ok {
		return kumquathitch.Record{}, &kumquathitch.NotFoundError{Key: key}
	}
	return record, nil
}

// List returns the records whose keys start with prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) (kumquathitch.Records, error) {
	s.reads.Add(1)
	if err := s.applyFaults(ctx, "List", prefix); err != nil {
		return nil, err
	}
	return s.newerThan(prefix, 0), nil
}

// CompareAndSwap writes a record if the stored version equals record.Version, or
// returns a *kumquathitch.ConflictError.
func (s *Store) CompareAndSwap(ctx context.Context, record kumquathitch.Record) (kumquathitch.Record, error) {
	s.writes.Add(1)
	if err := s.applyFaults(ctx, "CompareAndSwap", record.Key); err != nil {
		return kumquathitch.Record{}, err
	}
	written, err := s.compareAndSwap(record)
	if err != nil {
		return written, err
	}
	s.changes.broadcast()
	if s.loseResponse() {
		return kumquathitch.Record{}, &kumquathitch.StoreError{
			Operation: "CompareAndSwap", Key: record.Key, Unknown: true, Cause: eris.New("the response was lost"),
		}
	}
	return written, nil
}

func (s *Store) compareAndSwap(record kumquathitch.Record) (kumquathitch.Record, error) {
	shard := s.shard(record.Key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	current, _ := shard.live(record.Key, s.clock.Now())
	if current.Version != record.Version {
		return current, &kumquathitch.ConflictError{Key: record.Key, Expected: record.Version, Current: current}
	}
	record.Version = s.revision.Add(1)
	record.Value = slices.Clone(record.Value)
	shard.records[record.Key] = record
	return record, nil
}

// Watch waits until a record with the prefix is newer than since, or ctx ends. It
// returns the newer records.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64) (kumquathitch.Records, error) {
	s.watches.Add(1)
	for {
		changed := s.changes.nextChange()
		if err := s.applyFaults(ctx, "Watch", prefix); err != nil {
			return nil, err
		}
		if records := s.newerThan(prefix, since); len(records) > 0 {
			return records, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// VMs returns the list of VMs from the last SetVMs.
func (s *Store) VMs(ctx context.Context) (kumquathitch.VMListings, error) {
	s.reads.Add(1)
	if err := s.applyFaults(ctx, "VMs", ""); err != nil {
		return nil, err
	}
	s.control.mutex.Lock()
	defer s.control.mutex.Unlock()
	return slices.Clone(s.control.listings), nil
}

// applyFaults delays a call and returns an error when the store is down.
func (s *Store) applyFaults(ctx context.Context, operation, key string) error {
	s.control.mutex.Lock()
	faults := s.control.faults
	s.control.mutex.Unlock()
	if faults.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return &kumquathitch.StoreError{Operation: operation, Key: key, Cause: ctx.Err()}
		}
	}
	if faults.Down {
		return &kumquathitch.StoreError{Operation: operation, Key: key, Cause: eris.New("the store is down")}
	}
	return nil
}

func (s *Store) loseResponse() bool {
	s.control.mutex.Lock()
	defer s.control.mutex.Unlock()
	if s.control.faults.LoseResponses == 0 {
		return false
	}
	s.control.faults.LoseResponses--
	return true
}

func (s *Store) newerThan(prefix string, since uint64) kumquathitch.Records {
	var records kumquathitch.Records
	now := s.clock.Now()
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mutex.Lock()
		for key := range shard.records {
			record, ok := shard.live(key, now)
			if ok && record.Version > since && strings.HasPrefix(key, prefix) {
				records = append(records, record)
			}
		}
		shard.mutex.Unlock()
	}
	slices.SortFunc(records, func(a, b kumquathitch.Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

func (s *Store) shard(key string) *storeShard {
	return &s.shards[kumquathitch.ShardOf(key, storeShards)]
}

// live returns a record, or false when it does not exist or its lease has ended. The
// caller holds the lock.
func (s *storeShard) live(key string, now time.Time) (kumquathitch.Record, bool) {
	record, ok := s.records[key]
	if ok && !record.Deadline.IsZero() && !now.Before(record.Deadline) {
		delete(s.records, key)
		return kumquathitch.Record{}, false
	}
	return record, ok
}

func (c *changeSignal) nextChange() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

func (c *changeSignal) broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}
