package accelerator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// RecordPrefix returns the start of the keys of a data centre's memory plans.
// The data centre is part of the key, so that a placement owner can follow
// the plans of its own servers alone.
func RecordPrefix(dataCentre string) string {
	return "memory/" + dataCentre + "/"
}

// RecordKey returns the key of a server's memory plan.
func RecordKey(server kumquathitch.Upstream) string {
	return RecordPrefix(server.DataCentre) + server.Name
}

// maxSwaps bounds how often a change is tried against other writers.
const maxSwaps = 4

// Plans keeps memory plans in the platform's key-value service.
type Plans struct {
	Store kumquathitch.Store
	NewID func() string // Returns ids that are unique in the fleet.
}

// record is the stored form of a plan.
type record struct {
	WriteID string `json:"write-id"`
	Plan    Plan   `json:"plan"`
}

// Read returns the plan of a server; one with version 0 when there is none yet.
func (p *Plans) Read(ctx context.Context, server kumquathitch.Upstream) (Plan, error) {
	plan, _, err := p.read(ctx, server)
	return plan, err
}

func (p *Plans) read(ctx context.Context, server kumquathitch.Upstream) (Plan, string, error) {
	stored, err := p.Store.Get(ctx, RecordKey(server))
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return Plan{Server: server.Name}, "", nil
	}
	if err != nil {
		return Plan{}, "", err
	}
	return Decode(stored)
}

// Decode returns the plan in a record and the id of the write that made it.
// Orders that this write added get its version as their fencing number.
func Decode(stored kumquathitch.Record) (Plan, string, error) {
	var r record
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return Plan{}, "", eris.Wrap(err, "accelerator.Decode")
	}
	r.Plan.Version = stored.Version
	for i := range r.Plan.Holdings {
		r.Plan.Holdings[i].Load.number(stored.Version)
		r.Plan.Holdings[i].Unload.number(stored.Version)
	}
	for i := range r.Plan.Roles {
		r.Plan.Roles[i].Order.number(stored.Version)
	}
	return r.Plan, r.WriteID, nil
}

func (o *Order) number(version uint64) {
	if o.ID != "" && o.Fence == 0 {
		o.Fence = version
	}
}

// Change applies a decision to the newest plan and swaps the record. A lost
// answer is settled by reading the write id back. On any error the decision
// must count as not taken: no order may be sent for it.
func (p *Plans) Change(ctx context.Context, server kumquathitch.Upstream, decide func(Plan) (Plan, error)) (Plan, error) {
	plan, err := p.Read(ctx, server)
	if err != nil {
		return Plan{}, err
	}
	return p.ChangeFrom(ctx, server, plan, decide)
}

// ChangeFrom is Change from a plan that was read before; it reads again only
// after a conflict.
func (p *Plans) ChangeFrom(ctx context.Context, server kumquathitch.Upstream, plan Plan, decide func(Plan) (Plan, error),
) (Plan, error) {
	for range maxSwaps {
		changed, err := decide(plan)
		if err != nil {
			return Plan{}, err
		}
		written, err := p.swap(ctx, server, changed)
		var conflict *kumquathitch.ConflictError
		if !errors.As(err, &conflict) {
			return written, err
		}
		if conflict.Current.Version == 0 {
			plan = Plan{Server: server.Name}
			continue
		}
		if plan, _, err = Decode(conflict.Current); err != nil {
			return Plan{}, err
		}
	}
	return Plan{}, &kumquathitch.ConflictError{Key: RecordKey(server), Want: plan.Version}
}

func (p *Plans) swap(ctx context.Context, server kumquathitch.Upstream, plan Plan) (Plan, error) {
	id := p.NewID()
	value, err := json.Marshal(record{WriteID: id, Plan: plan})
	if err != nil {
		return Plan{}, eris.Wrap(err, "Plans.swap")
	}
	stored := kumquathitch.Record{Key: RecordKey(server), Version: plan.Version, Value: value}
	written, err := p.Store.CompareAndSwap(ctx, stored)
	var failure *kumquathitch.StoreError
	if errors.As(err, &failure) && failure.Unknown {
		// A write that has not taken effect yet may still do so; it then adds a
		// reservation without an order, which a later report releases.
		read, writer, readErr := p.read(ctx, server)
		if readErr == nil && writer == id {
			return read, nil
		}
		return Plan{}, err
	}
	if err != nil {
		return Plan{}, err
	}
	decoded, _, err := Decode(written)
	return decoded, err
}

// NewPlans returns the plans in a store; newID returns ids that are unique in the fleet.
func NewPlans(store kumquathitch.Store, newID func() string) *Plans {
	return &Plans{Store: store, NewID: newID}
}
