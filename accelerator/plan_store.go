package accelerator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// PlanPrefix returns the key prefix of a data centre's memory plans. The data
// centre is part of the key, so that a placement owner can watch only the plans
// of its own servers.
func PlanPrefix(dataCentre string) string {
	return "memory/" + dataCentre + "/"
}

// PlanKey returns the key of a server's memory plan.
func PlanKey(server kumquathitch.Upstream) string {
	return PlanPrefix(server.DataCentre) + server.Name
}

// maxSwapAttempts bounds how often an update is tried against concurrent writers.
const maxSwapAttempts = 4

// PlanStore stores memory plans in the platform's key-value service.
type PlanStore struct {
	Store kumquathitch.Store
	NewID func() string // Returns ids that are unique in the fleet.
}

// record is the stored form of a plan.
type record struct {
	WriteID string `json:"write-id"`
	Plan    Plan   `json:"plan"`
}

// Read returns the plan of a server, or an empty plan with version 0 when there
// is none yet. The error is that of the store or of decoding.
func (p *PlanStore) Read(ctx context.Context, server kumquathitch.Upstream) (Plan, error) {
	plan, _, err := p.read(ctx, server)
	return plan, err
}

func (p *PlanStore) read(ctx context.Context, server kumquathitch.Upstream) (Plan, string, error) {
	stored, err := p.Store.Get(ctx, PlanKey(server))
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return Plan{Server: server.Name}, "", nil
	}
	if err != nil {
		return Plan{}, "", err
	}
	return DecodePlan(stored)
}

// DecodePlan returns the plan in a record and the id of the write that stored
// it. Orders that this write added get its version as their fencing token.
func DecodePlan(stored kumquathitch.Record) (Plan, string, error) {
	var r record
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return Plan{}, "", eris.Wrap(err, "accelerator.DecodePlan")
	}
	r.Plan.Version = stored.Version
	for i := range r.Plan.Allocations {
		r.Plan.Allocations[i].Load.setFence(stored.Version)
		r.Plan.Allocations[i].Unload.setFence(stored.Version)
	}
	for i := range r.Plan.Roles {
		r.Plan.Roles[i].Order.setFence(stored.Version)
	}
	return r.Plan, r.WriteID, nil
}

func (o *Order) setFence(version uint64) {
	if o.ID != "" && o.Fence == 0 {
		o.Fence = version
	}
}

// Update applies decide to the newest plan and replaces the record by
// compare-and-swap. If the response to the write is lost, it reads the record and
// compares the write id. It returns the error of decide, of the store or of
// decoding, or a *kumquathitch.ConflictError after maxSwapAttempts conflicts.
// After any error the change must be treated as not made: no order may be sent.
func (p *PlanStore) Update(ctx context.Context, server kumquathitch.Upstream, decide func(Plan) (Plan, error)) (Plan, error) {
	plan, err := p.Read(ctx, server)
	if err != nil {
		return Plan{}, err
	}
	return p.UpdateFrom(ctx, server, plan, decide)
}

// UpdateFrom is like Update, but starts from a plan that was read before. After
// a conflict it continues from the current plan.
func (p *PlanStore) UpdateFrom(ctx context.Context, server kumquathitch.Upstream, plan Plan, decide func(Plan) (Plan, error),
) (Plan, error) {
	for range maxSwapAttempts {
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
		if plan, _, err = DecodePlan(conflict.Current); err != nil {
			return Plan{}, err
		}
	}
	return Plan{}, &kumquathitch.ConflictError{Key: PlanKey(server), Expected: plan.Version}
}

func (p *PlanStore) swap(ctx context.Context, server kumquathitch.Upstream, plan Plan) (Plan, error) {
	id := p.NewID()
	value, err := json.Marshal(record{WriteID: id, Plan: plan})
	if err != nil {
		return Plan{}, eris.Wrap(err, "PlanStore.swap")
	}
	stored := kumquathitch.Record{Key: PlanKey(server), Version: plan.Version, Value: value}
	written, err := p.Store.CompareAndSwap(ctx, stored)
	var failure *kumquathitch.StoreError
	if errors.As(err, &failure) && failure.Unknown {
		// If the record does not have this id, the write may still take effect later.
		// It then adds an allocation without an order, which a later report releases.
		read, writer, readErr := p.read(ctx, server)
		if readErr == nil && writer == id {
			return read, nil
		}
		return Plan{}, err
	}
	if err != nil {
		return Plan{}, err
	}
	decoded, _, err := DecodePlan(written)
	return decoded, err
}

// NewPlanStore returns a PlanStore; newID returns ids that are unique in the fleet.
func NewPlanStore(store kumquathitch.Store, newID func() string) *PlanStore {
	return &PlanStore{Store: store, NewID: newID}
}
