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

// WeightsPrefix starts the keys of the records that limit loads from the weight store.
const WeightsPrefix = "weights/"

// Limits are a region's part of the weight store's limits.
type Limits struct {
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// RegionLimits returns a region's part of the limits: an equal part of the
// rate, and whole permits, the first regions by name taking those that remain.
func RegionLimits(config kumquathitch.Configuration, region string) Limits {
	regions := Regions(config)
	i, found := slices.BinarySearch(regions, region)
	if !found {
		return Limits{}
	}
	n := len(regions)
	limits := Limits{
		LoadsPerSecond: config.WeightStore.LoadsPerSecond / float64(n), LoadsAtOnce: config.WeightStore.LoadsAtOnce / n,
	}
	if i < config.WeightStore.LoadsAtOnce%n {
		limits.LoadsAtOnce++
	}
	return limits
}

// Regions returns the regions of a configuration in order of names.
func Regions(config kumquathitch.Configuration) []string {
	var regions []string
	for _, d := range config.DataCentres {
		regions = append(regions, d.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// AdapterSlots returns how many adapters a VM may have in flight: the whole
// part of its share, in [0, 1], of the knee. The sum over VMs whose shares add
// up to at most 1 never passes the knee.
func AdapterSlots(knee int, share float64) int {
	const rounding = 1e-9 // Keeps 0.3 × 10 from becoming 2.
	return int(math.Floor(float64(knee)*min(max(share, 0), 1) + rounding))
}

// Permit allows one load until its deadline.
type Permit struct {
	ID       string    `json:"id"`
	Deadline time.Time `json:"deadline"` // The load has ended by then, even if its order came as late as it can.
}

// Weights is the state of a region's limits: a token bucket of one load and
// the permits in use.
type Weights struct {
	WriteID string    `json:"write-id"`
	Level   float64   `json:"level"`   // Loads that may start, at most 1.
	Updated time.Time `json:"updated"` // When Level was brought up to date; it never goes back.
	Permits []Permit  `json:"permits,omitempty"`
}

// Take adds a permit. It returns a *WeightsBusyError when the bucket is empty
// or all permits are in use.
func (w Weights) Take(limits Limits, permit Permit, now time.Time) (Weights, error) {
	w = w.at(limits, now)
	if w.Level < 1 || len(w.Permits) >= limits.LoadsAtOnce {
		return w, &WeightsBusyError{Level: w.Level, Permits: len(w.Permits)}
	}
	w.Level--
	w.Permits = append(w.Permits, permit)
	return w, nil
}

// Return ends a permit whose load is known to have ended.
func (w Weights) Return(id string) Weights {
	w.Permits = slices.DeleteFunc(slices.Clone(w.Permits), func(p Permit) bool { return p.ID == id })
	return w
}

// at refills the bucket and drops permits whose deadline has passed. A new
// record starts empty, so that deleting it grants nothing.
func (w Weights) at(limits Limits, now time.Time) Weights {
	if w.Updated.IsZero() {
		w.Updated = now
	}
	if now.After(w.Updated) {
		w.Level += limits.LoadsPerSecond * now.Sub(w.Updated).Seconds()
		w.Updated = now
	}
	w.Level = min(w.Level, 1)
	w.Permits = slices.DeleteFunc(slices.Clone(w.Permits), func(p Permit) bool { return now.After(p.Deadline) })
	return w
}

// WeightsBusyError reports that the weight store may not be asked for another load now.
type WeightsBusyError struct {
	Level   float64
	Permits int
}

func (e *WeightsBusyError) Error() string {
	return "Weights.Take: the limit of loads from the weight store is reached"
}

// Gate keeps a region's Weights in the platform's key-value service.
type Gate struct {
	Store kumquathitch.Store
	NewID func() string // Returns ids that are unique in the fleet.
}

// Take takes a permit. On any error no load may be started; a permit that was
// taken by a write whose answer was lost ends by its deadline.
func (g *Gate) Take(ctx context.Context, region string, limits Limits, permit Permit, now time.Time) error {
	created := false
	err := g.change(ctx, region, func(w Weights) (Weights, error) {
		if created = w.Updated.IsZero(); created {
			return w.at(limits, now), nil
		}
		return w.Take(limits, permit, now)
	})
	if err == nil && created {
		return &WeightsBusyError{} // The bucket of a new record is empty.
	}
	return err
}

// Return gives a permit back.
func (g *Gate) Return(ctx context.Context, region, id string) error {
	return g.change(ctx, region, func(w Weights) (Weights, error) { return w.Return(id), nil })
}

const maxSwaps = 4

func (g *Gate) change(ctx context.Context, region string, decide func(Weights) (Weights, error)) error {
	key := WeightsPrefix + region
	record, err := g.Store.Get(ctx, key)
	var missing *kumquathitch.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	for range maxSwaps {
		id := g.NewID()
		next, err := decideRecord(record, id, decide)
		if err != nil {
			return err
		}
		_, err = g.Store.CompareAndSwap(ctx, kumquathitch.Record{Key: key, Version: record.Version, Value: next})
		var conflict *kumquathitch.ConflictError
		if !errors.As(err, &conflict) {
			return g.confirm(ctx, key, id, err)
		}
		record = conflict.Current
	}
	return &kumquathitch.ConflictError{Key: key, Want: record.Version}
}

func decideRecord(record kumquathitch.Record, id string, decide func(Weights) (Weights, error)) ([]byte, error) {
	var w Weights
	if len(record.Value) > 0 {
		if err := json.Unmarshal(record.Value, &w); err != nil {
			return nil, eris.Wrap(err, "Gate.change")
		}
	}
	w, err := decide(w)
	if err != nil {
		return nil, err
	}
	w.WriteID = id
	value, err := json.Marshal(w)
	return value, eris.Wrap(err, "Gate.change")
}

// confirm settles a lost answer by reading the write id back.
func (g *Gate) confirm(ctx context.Context, key, id string, err error) error {
	var failure *kumquathitch.StoreError
	if !errors.As(err, &failure) || !failure.Unknown {
		return err
	}
	record, readErr := g.Store.Get(ctx, key)
	var w Weights
	if readErr == nil && json.Unmarshal(record.Value, &w) == nil && w.WriteID == id {
		return nil
	}
	return err
}
