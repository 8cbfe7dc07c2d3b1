package rate

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const (
	// SlotsPrefix is the prefix of the store keys of slot tables; the name of the data centre follows.
	SlotsPrefix = "rate/slots/"
	// RebalanceMethod is the peer method that asks a VM to renew its slots now,
	// because another one holds less than its fair share.
	RebalanceMethod = "rate.rebalance"
	// RenewInterval is the time between renewals. It is a third of the default slot
	// lease, so that two renewals in a row may fail.
	RenewInterval = 10 * time.Second
	// maxRenewAttempts bounds the attempts of one renewal while other VMs write the table.
	maxRenewAttempts = 8
)

// SlotCountError reports that a data centre's table cannot be created: its slots
// and those of the other data centres would exceed the whole rate, or another
// table has a different total or floor share.
type SlotCountError struct {
	DataCentre string
	Total      int // Slots of all data centres according to the configuration.
	Wanted     int // Slots of the new table.
	Taken      int // Slots of the other tables.
}

func (e *SlotCountError) Error() string {
	return fmt.Sprintf("Renewer.Renew: data centre %q: cannot add %d slots to %d in other tables: the limit is %d, and all tables must have the same total and floor share",
		e.DataCentre, e.Wanted, e.Taken, e.Total)
}

// RebalanceRequest asks a VM to renew its slots now. The response has the same type
// and is sent after the renewal.
type RebalanceRequest struct {
	For Holder `json:"for"` // The process that holds less than its fair share.
}

// Renewer renews this VM's slot parts in the table of its data centre and updates
// the shares of the buckets accordingly. It is not safe for concurrent use.
type Renewer struct {
	Store      kumquathitch.Store
	Buckets    *Buckets
	Clock      kumquathitch.Clock
	Self       Holder
	DataCentre string
	Settings   Settings

	// AboveFairShare is set by Renew to the processes that hold more than their
	// fair share while this one holds less. The caller should ask them to renew now.
	AboveFairShare []Holder

	held         map[PartID]time.Time // Confirmed slot parts with their deadlines in the record.
	pendingWrite uint64               // Id of a write that may or may not have taken effect; 0 for none.
	lastWriteID  uint64               // Id of the last write.
}

// Renew renews, takes and releases slot parts in one write. After an error this
// VM holds the same parts as before, except those that it was about to release.
func (r *Renewer) Renew(ctx context.Context, config kumquathitch.Configuration) error {
	record, err := r.read(ctx)
	if err != nil {
		return err
	}
	for range maxRenewAttempts {
		table, err := r.decode(ctx, record, config)
		if err != nil {
			return err
		}
		r.reconcile(&table)
		now := r.Clock.Now()
		writeID := r.nextWriteID()
		table.Register(r.Self, writeID, r.Settings, now)
		plan := table.Plan(r.Self, r.Settings, now)
		r.stopSpending(&table, plan.Release, now)
		table.Execute(plan, r.Self, r.Settings, now, r.Buckets.LentUntil(now))
		var conflict bool
		if record, conflict, err = r.write(ctx, record, &table, writeID); !conflict {
			return err
		}
	}
	return eris.Errorf("Renewer.Renew: table of %q changed %d times during the renewal", r.DataCentre, maxRenewAttempts)
}

// Release releases all slot parts and removes the registration. It is called
// after the last request; Renew must not be called afterwards.
func (r *Renewer) Release(ctx context.Context) error {
	r.Buckets.SetShares(nil, r.Clock.Now())
	record, err := r.read(ctx)
	if err != nil {
		return err
	}
	for range maxRenewAttempts {
		if record.Version == 0 {
			return nil
		}
		table, err := DecodeTable(record.Value)
		if err != nil {
			return err
		}
		now := r.Clock.Now()
		plan := Plan{Release: slices.Collect(maps.Keys(table.Held(r.Self)))}
		table.VMs = slices.DeleteFunc(table.VMs, func(v Registration) bool { return v.Holder == r.Self })
		table.Execute(plan, r.Self, r.Settings, now, r.Buckets.LentUntil(now))
		r.held = nil
		var conflict bool
		if record, conflict, err = r.write(ctx, record, &table, r.nextWriteID()); !conflict {
			return err
		}
	}
	return eris.Errorf("Renewer.Release: table of %q changed %d times during the release", r.DataCentre, maxRenewAttempts)
}

func (r *Renewer) key() string {
	return SlotsPrefix + r.DataCentre
}

func (r *Renewer) nextWriteID() uint64 {
	r.lastWriteID++
	return r.lastWriteID
}

// read returns the record of the table, with version 0 if there is none.
func (r *Renewer) read(ctx context.Context) (kumquathitch.Record, error) {
	record, err := r.Store.Get(ctx, r.key())
	var notFound *kumquathitch.NotFoundError
	if errors.As(err, &notFound) {
		return kumquathitch.Record{Key: r.key()}, nil
	}
	return record, err
}

// decode returns the table of a record, or a new one if there is no record. The
// total and floor share of a table never change after its creation, because the
// shares of VMs that use different values could add up to more than the whole rate.
func (r *Renewer) decode(ctx context.Context, record kumquathitch.Record, config kumquathitch.Configuration) (Table, error) {
	if record.Version == 0 {
		return r.createTable(ctx, config)
	}
	return DecodeTable(record.Value)
}

func (r *Renewer) createTable(ctx context.Context, config kumquathitch.Configuration) (Table, error) {
	fresh := NewTable(config.RateSlots, config.RateSlots/max(1, len(config.DataCentres)), config.FloorShare)
	records, err := r.Store.List(ctx, SlotsPrefix)
	if err != nil {
		return fresh, err
	}
	problem := SlotCountError{DataCentre: r.DataCentre, Total: fresh.Total, Wanted: len(fresh.Slots)}
	sameSplit := true
	for _, record := range records {
		other, err := DecodeTable(record.Value)
		if err != nil {
			return fresh, err
		}
		sameSplit = sameSplit && other.Total == fresh.Total && other.FloorShare == fresh.FloorShare
		problem.Taken += len(other.Slots)
	}
	if !sameSplit || problem.Taken+problem.Wanted > fresh.Total {
		return fresh, &problem
	}
	return fresh, nil
}

// reconcile updates the held slot parts from the table that was read. If the
// table shows that the pending write took effect, all parts that it assigns to
// this VM are confirmed. Otherwise the write may still take effect later, so only
// parts that were held before and are still in the table count.
func (r *Renewer) reconcile(table *Table) {
	recorded := table.Held(r.Self)
	registration := table.Registered(r.Self)
	if r.pendingWrite != 0 && registration != nil && registration.WriteID == r.pendingWrite {
		r.held = recorded
		r.pendingWrite = 0
	}
	for id, deadline := range r.held {
		shown, ok := recorded[id]
		if !ok {
			delete(r.held, id)
		} else if shown.Before(deadline) {
			r.held[id] = shown
		}
	}
	r.updateShares(table, r.Clock.Now())
}

// stopSpending stops this VM from spending from slot parts that it is about to release.
func (r *Renewer) stopSpending(table *Table, release []PartID, now time.Time) {
	if len(release) == 0 {
		return
	}
	for _, id := range release {
		delete(r.held, id)
	}
	r.updateShares(table, now)
}

// write writes the table by compare-and-swap. It reports whether there was a
// conflict and then returns the current record.
func (r *Renewer) write(ctx context.Context, record kumquathitch.Record, table *Table, writeID uint64) (kumquathitch.Record, bool, error) {
	value, err := EncodeTable(*table)
	if err != nil {
		return record, false, eris.Wrap(err, "Renewer.Renew")
	}
	record.Value = value
	written, err := r.Store.CompareAndSwap(ctx, record)
	var conflict *kumquathitch.ConflictError
	if errors.As(err, &conflict) {
		current := conflict.Current
		current.Key = record.Key
		return current, true, nil
	}
	if err != nil {
		r.pendingWrite = writeID
		return record, false, err
	}
	r.pendingWrite = 0
	r.held = table.Held(r.Self)
	now := r.Clock.Now()
	r.updateShares(table, now)
	r.AboveFairShare = table.AboveFairShare(r.Self, r.Settings, now)
	return written, false, nil
}

// updateShares passes the held slot parts to the buckets as one share for each
// deadline, which is brought forward by one clock error.
func (r *Renewer) updateShares(table *Table, now time.Time) {
	fractions := map[time.Time]float64{}
	for id, deadline := range r.held {
		fractions[deadline.Add(-r.Settings.ClockError).UTC()] += table.Share(id)
	}
	shares := make([]Share, 0, len(fractions))
	for deadline, fraction := range fractions {
		shares = append(shares, Share{Fraction: fraction, Deadline: deadline})
	}
	slices.SortFunc(shares, func(a, b Share) int { return a.Deadline.Compare(b.Deadline) })
	r.Buckets.SetShares(shares, now)
}

// ForgetVM ends the leases of a VM that an operator declares dead, in the tables
// of all data centres. It returns the number of slot parts that the VM held.
func ForgetVM(ctx context.Context, store kumquathitch.Store, name string, settings Settings, clock kumquathitch.Clock) (int, error) {
	records, err := store.List(ctx, SlotsPrefix)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, record := range records {
		parts, err := forgetInTable(ctx, store, record, name, settings, clock)
		if err != nil {
			return count, err
		}
		count += parts
	}
	return count, nil
}

func forgetInTable(ctx context.Context, store kumquathitch.Store, record kumquathitch.Record, name string,
	settings Settings, clock kumquathitch.Clock,
) (int, error) {
	for range maxRenewAttempts {
		table, err := DecodeTable(record.Value)
		if err != nil {
			return 0, err
		}
		parts := table.Forget(name, settings, clock.Now())
		if parts == 0 {
			return 0, nil
		}
		value, err := EncodeTable(table)
		if err != nil {
			return 0, eris.Wrap(err, "rate.ForgetVM")
		}
		_, err = store.CompareAndSwap(ctx, kumquathitch.Record{Key: record.Key, Version: record.Version, Value: value})
		var conflict *kumquathitch.ConflictError
		if !errors.As(err, &conflict) {
			return parts, err
		}
		record = conflict.Current
	}
	return 0, eris.Errorf("rate.ForgetVM: table %q changed %d times", record.Key, maxRenewAttempts)
}
