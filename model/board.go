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

// BoardPrefix starts the keys of the records with the moves of each data centre.
const BoardPrefix = "placement/"

// maxAdapters bounds the adapters whose demand a board tells.
const maxAdapters = 1024

// Board is what the placement owner of a data centre tells the VMs that hold
// the duties of its servers. Owners change it by compare-and-swap from the
// version that they planned from, so that two owners cannot both unload what
// each takes for a spare replica.
type Board struct {
	WriteID  string               `json:"write-id"`
	Version  uint64               `json:"-"`
	Moves    Moves                `json:"moves,omitempty"`    // Those whose deadline has not passed.
	Moved    map[string]time.Time `json:"moved,omitempty"`    // When a move of a model was last planned; kept for a minute.
	Adapters map[string]float64   `json:"adapters,omitempty"` // Tokens per second of the adapters in demand.
	Serving  map[string]string    `json:"serving,omitempty"`  // A server by model that has its home here and serves.
}

// Post returns the board with the moves of a new plan. Skew is the largest
// difference between two clocks: a move counts for that much longer.
func (b Board) Post(moves Moves, adapters map[string]float64, serving map[string]string, skew time.Duration, now time.Time) Board {
	b.Moves = slices.DeleteFunc(slices.Clone(b.Moves), func(m Move) bool { return now.After(m.Deadline.Add(skew)) })
	b.Moves = append(b.Moves, moves...)
	b.Moved = maps.Clone(b.Moved)
	if b.Moved == nil {
		b.Moved = map[string]time.Time{}
	}
	maps.DeleteFunc(b.Moved, func(_ string, at time.Time) bool { return now.After(at.Add(moveInterval + skew)) })
	for _, m := range moves {
		b.Moved[m.Key.Name] = now
	}
	b.Adapters, b.Serving = adapters, serving
	return b
}

// ReadBoard returns the board of a data centre; an empty one when there is none.
func ReadBoard(ctx context.Context, store kumquathitch.Store, dataCentre string) (Board, error) {
	record, err := store.Get(ctx, BoardPrefix+dataCentre)
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return Board{}, nil
	}
	if err != nil {
		return Board{}, err
	}
	var b Board
	if err := json.Unmarshal(record.Value, &b); err != nil {
		return Board{}, eris.Wrap(err, "model.ReadBoard")
	}
	b.Version = record.Version
	return b, nil
}

// writeBoard swaps the board. After an error the next plan starts from what
// the record then holds, so that a lost answer needs no reading back.
func writeBoard(ctx context.Context, store kumquathitch.Store, dataCentre string, b Board) error {
	value, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "model.writeBoard")
	}
	_, err = store.CompareAndSwap(ctx, kumquathitch.Record{Key: BoardPrefix + dataCentre, Version: b.Version, Value: value})
	return err
}
