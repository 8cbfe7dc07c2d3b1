package model

import (
	"cmp"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
)

// AdapterMove is the load or unload of an adapter in a server's adapter pool.
type AdapterMove struct {
	Action string // kumquathitch.ActionLoad or ActionUnload.
	Key    accelerator.Key
	Bytes  int64
}

// PlanAdapters returns the moves in one server's adapter pools. Each pool gets
// the adapters of the models that serve on its accelerator, the most demanded
// first, until it is full. An adapter is unloaded to make room for one with a
// demand more than 20% higher. If its own model no longer serves there, it makes
// room for any other. Adapters with equal demand, for example none, are ordered
// by rendezvous hashing per server: the servers together thus hold as many of
// them as they can.
func PlanAdapters(server Server, pool accelerator.Pool, adapters kumquathitch.Adapters, demand map[string]float64, now time.Time) []AdapterMove {
	var moves []AdapterMove
	for accel, a := range server.Upstream.Accelerators {
		moves = append(moves, planPool(server, pool, accel, a.AdapterPool, wantedAdapters(server, accel, adapters, demand), demand, now)...)
	}
	return moves
}

// wantedAdapters returns the adapters of the models that serve on an
// accelerator, the most demanded first.
func wantedAdapters(server Server, accel int, adapters kumquathitch.Adapters, demand map[string]float64) kumquathitch.Adapters {
	var wanted kumquathitch.Adapters
	for _, a := range adapters {
		if slices.ContainsFunc(server.Plan.Allocations, func(alloc accelerator.Allocation) bool {
			return alloc.Name == a.Model && alloc.Accelerator == accel && alloc.Serving()
		}) {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b kumquathitch.Adapter) int {
		return cmp.Or(cmp.Compare(demand[b.Name], demand[a.Name]),
			cmp.Compare(kumquathitch.RendezvousWeight(b.Name, server.Upstream.Name), kumquathitch.RendezvousWeight(a.Name, server.Upstream.Name)))
	})
	return wanted
}

func planPool(server Server, pool accelerator.Pool, accel int, capacity int64, wanted kumquathitch.Adapters, demand map[string]float64, now time.Time,
) []AdapterMove {
	var moves []AdapterMove
	free := pool.Allocations.Free(capacity, server.StartupAdapters, accel)
	evictable := evictableAdapters(pool, accel, wanted, demand)
	for _, a := range wanted {
		key := accelerator.Key{Accelerator: accel, Name: a.Name}
		if alloc := pool.Allocations.Find(key); alloc != nil {
			if !alloc.Confirmed && alloc.Unload.ID == "" && now.After(alloc.Load.ExecutableUntil) {
				moves = append(moves, AdapterMove{Action: kumquathitch.ActionLoad, Key: key, Bytes: a.Bytes})
			}
			continue
		}
		if free >= a.Bytes {
			free -= a.Bytes
			moves = append(moves, AdapterMove{Action: kumquathitch.ActionLoad, Key: key, Bytes: a.Bytes})
			continue
		}
		for missing := a.Bytes - max(0, free); missing > 0 && len(evictable) > 0; evictable = evictable[1:] {
			victim := evictable[0]
			if listed := slices.ContainsFunc(wanted, func(w kumquathitch.Adapter) bool { return w.Name == victim.Name }); listed &&
				demand[a.Name] <= minGainRatio*demand[victim.Name] {
				break
			}
			missing -= victim.Bytes
			moves = append(moves, AdapterMove{Action: kumquathitch.ActionUnload, Key: victim.Key})
		}
	}
	return moves
}

// evictableAdapters returns the adapters that may be unloaded: first those whose
// model no longer serves on the accelerator, then those with the least demand.
func evictableAdapters(pool accelerator.Pool, accel int, wanted kumquathitch.Adapters, demand map[string]float64) accelerator.Allocations {
	var evictable accelerator.Allocations
	value := map[string]float64{}
	for _, alloc := range pool.Allocations {
		if alloc.Accelerator != accel || !alloc.Settled || alloc.Unload.ID != "" {
			continue
		}
		value[alloc.Name] = -1
		if slices.ContainsFunc(wanted, func(w kumquathitch.Adapter) bool { return w.Name == alloc.Name }) {
			value[alloc.Name] = demand[alloc.Name]
		}
		evictable = append(evictable, alloc)
	}
	slices.SortStableFunc(evictable, func(a, b accelerator.Allocation) int { return cmp.Compare(value[a.Name], value[b.Name]) })
	return evictable
}
