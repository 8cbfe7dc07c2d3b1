package rate

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Settings are the clock assumptions and lease durations that rate shares depend on.
type Settings struct {
	ClockError time.Duration // Largest difference between the wall clocks of two VMs.
	ClockDrift float64       // Largest relative error of a clock's rate; 0.001 is 1 ms per second.
	SlotLease  time.Duration // Lease of the leased part of a slot.
	FloorLease time.Duration // Lease of the floor part of a slot.
	LoanTerm   time.Duration // Term of a loan between VMs.
}

// Holder is a process that may hold slots.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"` // Increases with every start of the process.
	Address     string `json:"address"`     // IP address and port; no two live processes have the same.
}

// String returns the holder's identity, unique over all processes ever started.
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d", h.Name, h.Incarnation)
}

// Replaces reports whether the fact that this process is alive proves that
// another one is dead: it has the same address and a higher incarnation. Loopback
// and unspecified addresses do not identify a machine, so they also require
// equal names.
func (h Holder) Replaces(other Holder) bool {
	if h.Address != other.Address || h.Incarnation <= other.Incarnation {
		return false
	}
	address, err := netip.ParseAddrPort(h.Address)
	shared := err == nil && (address.Addr().IsLoopback() || address.Addr().IsUnspecified())
	return h.Name == other.Name || !shared
}

// SlotPart is one of the two parts of a slot. The zero value is free.
type SlotPart struct {
	Holder   Holder
	Deadline time.Time // End of the lease by the clock of the process that wrote it.
}

// Slot is an equal fraction of every account's rate and burst.
type Slot struct {
	Floor  SlotPart // Long lease, which outlasts store outages.
	Leased SlotPart // Short lease, so that the part becomes available soon after its holder dies.
}

// Registration makes a process one of those that share the slots of its data centre.
type Registration struct {
	Holder
	Until   time.Time `json:"until"`    // End of the registration.
	WriteID uint64    `json:"write-id"` // Number of the last write of this process that took effect, from 1.
}

// Table holds the slots of one data centre.
type Table struct {
	Total      int            // Number of slots of all data centres; one slot is 1/Total of every rate.
	FloorShare float64        // Fraction of each slot that is its floor part, in [0, 1].
	VMs        []Registration // In order of names.
	Slots      []Slot
}

// PartID identifies a slot part within a table.
type PartID struct {
	Slot  int
	Floor bool
}

// Plan lists the slot parts that one process renews, takes and releases.
type Plan struct {
	Renew   []PartID // Held now and kept.
	Take    []PartID // Available and below the fair share.
	Release []PartID // Held now, but above the fair share. Spending must stop before the release is written.
}

// NewTable returns a table of free slots.
func NewTable(total, slots int, floorShare float64) Table {
	return Table{Total: total, FloorShare: floorShare, Slots: make([]Slot, slots)}
}

// Part returns the slot part with an id. The pointer aliases the table.
func (t *Table) Part(id PartID) *SlotPart {
	if id.Floor {
		return &t.Slots[id.Slot].Floor
	}
	return &t.Slots[id.Slot].Leased
}

// Share returns the fraction of every account's rate that a slot part grants.
func (t *Table) Share(id PartID) float64 {
	if id.Floor {
		return t.FloorShare / float64(t.Total)
	}
	return (1 - t.FloorShare) / float64(t.Total)
}

// Held returns the slot parts of a process with their deadlines.
func (t *Table) Held(by Holder) map[PartID]time.Time {
	held := map[PartID]time.Time{}
	for i := range t.Slots {
		for _, id := range []PartID{{i, true}, {i, false}} {
			if part := t.Part(id); part.Holder == by {
				held[id] = part.Deadline
			}
		}
	}
	return held
}

// Registered returns the registration of a process, or nil. The pointer aliases the table.
func (t *Table) Registered(holder Holder) *Registration {
	for i := range t.VMs {
		if t.VMs[i].Holder == holder {
			return &t.VMs[i]
		}
	}
	return nil
}

// Available reports whether a process other than the holder may take the part.
func (p SlotPart) Available(settings Settings, now time.Time) bool {
	return p.Holder == Holder{} || !now.Before(p.Deadline.Add(settings.ClockError))
}

// Register adds or renews the registration of a process and removes expired
// ones. It ends the leases of dead processes that this one replaces (see
// [Holder.Replaces]) as soon as the last loans that these may have made have ended.
func (t *Table) Register(self Holder, writeID uint64, settings Settings, now time.Time) {
	t.VMs = slices.DeleteFunc(t.VMs, func(r Registration) bool {
		return self.Replaces(r.Holder) || r.Holder == self || !now.Before(r.Until.Add(settings.ClockError))
	})
	t.VMs = append(t.VMs, Registration{Holder: self, Until: now.Add(settings.SlotLease).Truncate(deadlinePrecision), WriteID: writeID})
	slices.SortFunc(t.VMs, func(a, b Registration) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	t.endLeases(settings, now, self.Replaces)
}

// Forget ends the leases of a VM that an operator declares dead, as soon as the
// last loans that it may have made have ended. It returns the number of slot
// parts that the VM held.
func (t *Table) Forget(name string, settings Settings, now time.Time) int {
	t.VMs = slices.DeleteFunc(t.VMs, func(r Registration) bool { return r.Name == name })
	return t.endLeases(settings, now, func(h Holder) bool { return h.Name == name })
}

// endLeases shortens the leases of dead holders to the end of the loans that
// these may have made until now, and returns the number of their slot parts. By
// the dead holder's clock, such a loan ends at most one loan term and one clock
// error from now; Available adds a second clock error for the borrower's clock.
func (t *Table) endLeases(settings Settings, now time.Time, dead func(Holder) bool) int {
	end := now.Add(settings.LoanTerm + settings.ClockError)
	count := 0
	for i := range t.Slots {
		for _, id := range []PartID{{i, true}, {i, false}} {
			part := t.Part(id)
			if part.Holder == (Holder{}) || !dead(part.Holder) {
				continue
			}
			count++
			if part.Deadline.After(end) {
				part.Deadline = end
			}
		}
	}
	return count
}

// Plan decides which slot parts a registered process renews, takes and releases,
// so that the processes of the data centre share the slots evenly.
func (t *Table) Plan(self Holder, settings Settings, now time.Time) Plan {
	var plan Plan
	for _, floor := range []bool{true, false} {
		t.planParts(&plan, floor, self, settings, now)
	}
	return plan
}

func (t *Table) planParts(plan *Plan, floor bool, self Holder, settings Settings, now time.Time) {
	held, available, shared := t.listParts(floor, self, settings, now)
	fair := t.fairShare(shared, self)
	kept := min(len(held), fair)
	plan.Renew = append(plan.Renew, held[:kept]...)
	plan.Release = append(plan.Release, held[kept:]...)
	plan.Take = append(plan.Take, available[:min(len(available), fair-kept)]...)
}

// listParts returns the floor or leased parts that a process holds, those that
// it may take, and the number that registered processes hold or may take.
func (t *Table) listParts(floor bool, self Holder, settings Settings, now time.Time) (held, available []PartID, shared int) {
	for i := range t.Slots {
		id := PartID{i, floor}
		part := t.Part(id)
		switch {
		case part.Holder == self:
			held = append(held, id)
			shared++
		case part.Available(settings, now):
			available = append(available, id)
			shared++
		case t.Registered(part.Holder) != nil:
			shared++
		}
	}
	return held, available, shared
}

// AboveFairShare returns the other processes that hold more than their fair
// share of the floor or the leased parts while a process holds less than its own.
func (t *Table) AboveFairShare(self Holder, settings Settings, now time.Time) []Holder {
	var above []Holder
	for _, floor := range []bool{true, false} {
		held, _, shared := t.listParts(floor, self, settings, now)
		if len(held) >= t.fairShare(shared, self) {
			continue
		}
		for _, r := range t.VMs {
			theirs, _, _ := t.listParts(floor, r.Holder, settings, now)
			if r.Holder != self && len(theirs) > t.fairShare(shared, r.Holder) && !slices.Contains(above, r.Holder) {
				above = append(above, r.Holder)
			}
		}
	}
	return above
}

// fairShare returns how many of the shared slot parts a process should hold. The
// processes that come first by name get the remainder.
func (t *Table) fairShare(shared int, self Holder) int {
	rank := slices.IndexFunc(t.VMs, func(r Registration) bool { return r.Holder == self })
	if rank < 0 {
		return 0
	}
	count := shared / len(t.VMs)
	if rank < shared%len(t.VMs) {
		count++
	}
	return count
}

// Execute applies a plan to the table. Renewed and taken parts get leases that
// start now. Released parts become available at once or, if the process has made
// loans, after the last of these has ended: lentUntil is its deadline, zero for none.
func (t *Table) Execute(plan Plan, self Holder, settings Settings, now, lentUntil time.Time) {
	for _, id := range slices.Concat(plan.Renew, plan.Take) {
		lease := settings.SlotLease
		if id.Floor {
			lease = settings.FloorLease
		}
		*t.Part(id) = SlotPart{Holder: self, Deadline: now.Add(lease).Truncate(deadlinePrecision)}
	}
	for _, id := range plan.Release {
		part := t.Part(id)
		if lentUntil.IsZero() {
			*part = SlotPart{}
		} else if part.Deadline.After(lentUntil) {
			part.Deadline = lentUntil
		}
	}
}
