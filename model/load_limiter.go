package model

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// LoadLimitPrefix is the prefix of the keys of LimiterState records, one for each region.
const LoadLimitPrefix = "weights/"

// LoadLimits is a region's part of the weight store's limits.
type LoadLimits struct {
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// RegionLimits returns a region's part of the limits. LoadsPerSecond is divided
// equally. LoadsAtOnce is divided into whole permits, and the remainder goes to
// the first regions by name, one each. An unknown region gets zero limits.
func RegionLimits(config kumquathitch.Configuration, region string) LoadLimits {
	regions := Regions(config)
	i, found := slices.BinarySearch(regions, region)
	if !found {
		return LoadLimits{}
	}
	n := len(regions)
	limits := LoadLimits{
		LoadsPerSecond: config.WeightStore.LoadsPerSecond / float64(n), LoadsAtOnce: config.WeightStore.LoadsAtOnce / n,
	}
	if i < config.WeightStore.LoadsAtOnce%n {
		limits.LoadsAtOnce++
	}
	return limits
}

// Regions returns the regions of a configuration, sorted by name.
func Regions(config kumquathitch.Configuration) []string {
	var regions []string
	for _, d := range config.DataCentres {
		regions = append(regions, d.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// MaxAdaptersInFlight returns how many adapter loads a VM may have in flight:
// the limit times the VM's share in [0, 1], rounded down. The limit is
// WeightStore.AdaptersInFlight, above which adapter loads slow each other down.
// If the shares of all VMs add up to at most 1, their results add up to at most
// the limit.
func MaxAdaptersInFlight(limit int, share float64) int {
	const rounding = 1e-9 // Offsets floating-point error, which would make 0.3 × 10 round down to 2.
	return int(math.Floor(float64(limit)*min(max(share, 0), 1) + rounding))
}

// Permit allows one load until its deadline.
type Permit struct {
	ID       string    `json:"id"`
	Deadline time.Time `json:"deadline"` // The load has ended by then, even if its order arrived as late as possible.
}

// LimiterState is the state of a region's limiter: a token bucket with a
// capacity of one load, and the permits in use.
type LimiterState struct {
	WriteID string    `json:"write-id"`
	Level   float64   `json:"level"`   // Level of the token bucket, in loads, at most 1.
	Updated time.Time `json:"updated"` // When the bucket was last refilled; never decreases.
	Permits []Permit  `json:"permits,omitempty"`
}

// Acquire adds a permit. It returns a *LoadLimitError when the bucket holds less
// than one load or all permits are in use.
func (s LimiterState) Acquire(limits LoadLimits, permit Permit, now time.Time) (LimiterState, error) {
	s = s.refill(limits, now)
	if s.Level < 1 || len(s.Permits) >= limits.LoadsAtOnce {
		return s, &LoadLimitError{Level: s.Level, Permits: len(s.Permits)}
	}
	s.Level--
	s.Permits = append(s.Permits, permit)
	return s, nil
}

// Release removes the permit of a load that is known to have ended.
func (s LimiterState) Release(id string) LimiterState {
	s.Permits = slices.DeleteFunc(slices.Clone(s.Permits), func(p Permit) bool { return p.ID == id })
	return s
}

// refill refills the bucket and drops permits whose deadline has passed. The
// bucket of a new record is empty. Deleting the record thus allows no further loads.
func (s LimiterState) refill(limits LoadLimits, now time.Time) LimiterState {
	if s.Updated.IsZero() {
		s.Updated = now
	}
	if now.After(s.Updated) {
		s.Level += limits.LoadsPerSecond * now.Sub(s.Updated).Seconds()
		s.Updated = now
	}
	s.Level = min(s.Level, 1)
	s.Permits = slices.DeleteFunc(slices.Clone(s.Permits), func(p Permit) bool { return now.After(p.Deadline) })
	return s
}

// LoadLimitError reports that the limits of the weight store allow no further load now.
type LoadLimitError struct {
	Level   float64 // Level of the token bucket, in loads.
	Permits int     // Permits in use.
}

func (e *LoadLimitError) Error() string {
	return "LimiterState.Acquire: the limit on loads from the weight store is reached"
}

// LoadLimiter keeps a region's LimiterState in the platform's key-value service.
type LoadLimiter struct {
	Store kumquathitch.Store
	NewID func() string // Returns ids that are unique in the fleet.
}

// Acquire acquires a permit. It returns a *LoadLimitError when the limits allow
// no load now, or an error of the store or of decoding. After any error no load
// may be started. If the response to the write was lost, the permit may have been
// taken and then ends at its deadline.
func (l *LoadLimiter) Acquire(ctx context.Context, region string, limits LoadLimits, permit Permit, now time.Time) error {
	created := false
	err := l.update(ctx, region, func(s LimiterState) (LimiterState, error) {
		if created = s.Updated.IsZero(); created {
			return s.refill(limits, now), nil
		}
		return s.Acquire(limits, permit, now)
	})
	if err == nil && created {
		return &LoadLimitError{} // The bucket of a new record starts empty.
	}
	return err
}

// Release releases a permit.
func (l *LoadLimiter) Release(ctx context.Context, region, id string) error {
	return l.update(ctx, region, func(s LimiterState) (LimiterState, error) { return s.Release(id), nil })
}

// maxSwapAttempts bounds how often an update is tried against concurrent writers.
const maxSwapAttempts = 4

func (l *LoadLimiter) update(ctx context.Context, region string, decide func(LimiterState) (LimiterState, error)) error {
	key := LoadLimitPrefix + region
	record, err := l.Store.Get(ctx, key)
	var missing *kumquathitch.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	for range maxSwapAttempts {
		id := l.NewID()
		next, err := updatedRecord(record, id, decide)
		if err != nil {
			return err
		}
		_, err = l.Store.CompareAndSwap(ctx, kumquathitch.Record{Key: key, Version: record.Version, Value: next})
		var conflict *kumquathitch.ConflictError
		if !errors.As(err, &conflict) {
			return l.confirmWrite(ctx, key, id, err)
		}
		record = conflict.Current
	}
	return &kumquathitch.ConflictError{Key: key, Expected: record.Version}
}

func updatedRecord(record kumquathitch.Record, id string, decide func(LimiterState) (LimiterState, error)) ([]byte, error) {
	var s LimiterState
	if len(record.Value) > 0 {
		if err := json.Unmarshal(record.Value, &s); err != nil {
			return nil, eris.Wrap(err, "LoadLimiter.update")
		}
	}
	s, err := decide(s)
	if err != nil {
		return nil, err
	}
	s.WriteID = id
	value, err := json.Marshal(s)
	return value, eris.Wrap(err, "LoadLimiter.update")
}

// confirmWrite returns nil if the response to a write was lost and the record
// carries the write's id; else it returns err.
func (l *LoadLimiter) confirmWrite(ctx context.Context, key, id string, err error) error {
	var failure *kumquathitch.StoreError
	if !errors.As(err, &failure) || !failure.Unknown {
		return err
	}
	record, readErr := l.Store.Get(ctx, key)
	var s LimiterState
	if readErr == nil && json.Unmarshal(record.Value, &s) == nil && s.WriteID == id {
		return nil
	}
	return err
}
