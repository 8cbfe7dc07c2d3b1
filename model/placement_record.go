package model

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// PlacementPrefix is the prefix of the keys of placement records, one for each data centre.
const PlacementPrefix = "placement/"

// maxRecordAdapters bounds the adapters in PlacementRecord.AdapterDemand.
const maxRecordAdapters = 1024

// PlacementRecord holds the planned moves of a data centre. Its placement owner
// writes the record, and the VMs that are responsible for the servers carry the
// moves out. An owner changes it by compare-and-swap from the version that the
// plan is based on. Two VMs that both act as owner thus cannot each unload a
// replica because the other one's is still there.
type PlacementRecord struct {
	WriteID       string               `json:"write-id"`
	Version       uint64               `json:"-"`
	Moves         Moves                `json:"moves,omitempty"`    // Moves whose deadline has not passed.
	LastMoved     map[string]time.Time `json:"moved,omitempty"`    // By model, when a move of it was last planned; kept for minMoveInterval.
	AdapterDemand map[string]float64   `json:"adapters,omitempty"` // By adapter, tokens per second; the most demanded only.
	Serving       map[string]string    `json:"serving,omitempty"`  // For each model with its home here, a server that serves it.
}

// WithPlan returns the record with the moves of a new plan added. Skew is the
// largest difference between two clocks; moves are kept for that much longer
// than their deadline.
func (r PlacementRecord) WithPlan(moves Moves, adapters map[string]float64, serving map[string]string, skew time.Duration, now time.Time) PlacementRecord {
	r.Moves = slices.DeleteFunc(slices.Clone(r.Moves), func(m Move) bool { return now.After(m.Deadline.Add(skew)) })
	r.Moves = append(r.Moves, moves...)
	r.LastMoved = maps.Clone(r.LastMoved)
	if r.LastMoved == nil {
		r.LastMoved = map[string]time.Time{}
	}
	maps.DeleteFunc(r.LastMoved, func(_ string, at time.Time) bool { return now.After(at.Add(minMoveInterval + skew)) })
	for _, m := range moves {
		r.LastMoved[m.Key.Name] = now
	}
	r.AdapterDemand, r.Serving = adapters, serving
	return r
}

// ReadPlacement returns the placement record of a data centre, or an empty one
// when there is none. The error is that of the store or of decoding.
func ReadPlacement(ctx context.Context, store kumquathitch.Store, dataCentre string) (PlacementRecord, error) {
	stored, err := store.Get(ctx, PlacementPrefix+dataCentre)
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return PlacementRecord{}, nil
	}
	if err != nil {
		return PlacementRecord{}, err
	}
	var r PlacementRecord
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return PlacementRecord{}, eris.Wrap(err, "model.ReadPlacement")
	}
	r.Version = stored.Version
	return r, nil
}

// writePlacement replaces the record by compare-and-swap. A lost response needs no
// check: the next plan starts from what the record then holds.
func writePlacement(ctx context.Context, store kumquathitch.Store, dataCentre string, r PlacementRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "model.writePlacement")
	}
	_, err = store.CompareAndSwap(ctx, kumquathitch.Record{Key: PlacementPrefix + dataCentre, Version: r.Version, Value: value})
	return err
}
