// Package entry is the aggregate of entry VMs: which ones are live, and which
// of them holds which duty.
//
// # Usage
//
//	registry := entry.NewRegistry(self)
//	watchers := registry.Ranked("configuration", "montreal-1", 2, now)
//
// Registry implements kumquathitch.Members.
package entry

import (
	"cmp"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

// Registry is this VM's view of the entry VMs.
type Registry struct {
	self kumquathitch.EntryVM
}

// NewRegistry returns a registry that knows only this VM.
func NewRegistry(self kumquathitch.EntryVM) *Registry {
	return &Registry{self: self}
}

// Self returns this VM.
func (r *Registry) Self() kumquathitch.EntryVM {
	return r.self
}

// Live returns the other live VMs of a data centre.
func (r *Registry) Live(_ string, _ time.Time) kumquathitch.EntryVMs {
	return nil
}

// Ranked returns the n live VMs with the highest rendezvous weight for a key.
func (r *Registry) Ranked(key, dataCentre string, n int, now time.Time) kumquathitch.EntryVMs {
	ranked := r.Live(dataCentre, now)
	if dataCentre == "" || dataCentre == r.self.DataCentre {
		ranked = append(ranked, r.self)
	}
	slices.SortFunc(ranked, func(a, b kumquathitch.EntryVM) int {
		return cmp.Compare(kumquathitch.RendezvousWeight(key, b.Name), kumquathitch.RendezvousWeight(key, a.Name))
	})
	return ranked[:min(n, len(ranked))]
}
