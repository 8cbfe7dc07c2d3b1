package model

import (
	"cmp"
	"slices"

	"kumquathitch.example/kumquathitch/accelerator"
)

// eviction is a set of allocations of one accelerator to unload.
type eviction struct {
	Server      int
	Accelerator int
	Allocations []*accelerator.Allocation
	Loss        float64 // Tokens per second.
}

// evictFor unloads the least valuable allocations of one accelerator to make
// room for a load. An extra replica must gain at least minGainRatio times what
// the unloads lose. If unloads that are already under way free enough memory,
// evictFor reserves that for the load instead. It returns false when it could
// make no room or the load gains too little.
func (p *planner) evictFor(need neededLoad, bytes int64) bool {
	best, found := eviction{}, false
	for i := range p.input.Servers {
		s := &p.input.Servers[i]
		if !s.Available || p.hasModel(i, need.Model) {
			continue
		}
		for accel, free := range p.free[i] {
			if free.AfterRestart < bytes { // The startup models leave no room for this load.
				continue
			}
			missing := bytes - free.Running - p.pendingFree[i][accel]
			if missing <= 0 {
				p.pendingFree[i][accel] -= bytes - max(0, free.Running)
				p.free[i][accel].Running = 0
				return true
			}
			e, ok := p.leastLoss(need, i, accel, missing)
			if ok && (!found || e.Loss < best.Loss || (e.Loss == best.Loss && len(e.Allocations) < len(best.Allocations))) {
				best, found = e, true
			}
		}
	}
	if !found || (need.Urgency == extraReplica && need.Gain < minGainRatio*best.Loss) {
		return false
	}
	for _, alloc := range best.Allocations {
		p.unload(best.Server, alloc)
	}
	p.free[best.Server][best.Accelerator].Running = 0
	p.pendingFree[best.Server][best.Accelerator] = 0
	return true
}

// leastLoss returns the allocations of an accelerator that free the missing
// bytes with the least loss. It returns false when they are not enough.
func (p *planner) leastLoss(need neededLoad, server, accel int, missing int64) (eviction, bool) {
	e := eviction{Server: server, Accelerator: accel}
	s := &p.input.Servers[server]
	type candidate struct {
		alloc *accelerator.Allocation
		loss  float64
	}
	var candidates []candidate
	for j := range s.Plan.Allocations {
		alloc := &s.Plan.Allocations[j]
		if alloc.Accelerator != accel || alloc.Name == need.Model.Name || p.unloaded[alloc] || !canUnload(s, alloc) {
			continue
		}
		if loss, ok := p.loss(need, alloc); ok {
			candidates = append(candidates, candidate{alloc, loss})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.loss, b.loss) })
	for _, c := range candidates {
		if missing <= 0 {
			break
		}
		missing -= c.alloc.Bytes
		e.Allocations = append(e.Allocations, c.alloc)
		e.Loss += c.loss
	}
	return e, missing <= 0
}

// loss returns the tokens per second lost by unloading an allocation: the
// demand for its model, divided by the replicas. It returns false if the
// allocation must not be unloaded for the load.
func (p *planner) loss(need neededLoad, alloc *accelerator.Allocation) (float64, bool) {
	state := p.models[alloc.Name]
	if state == nil {
		return 0, true
	}
	if state.InCooldown || !alloc.Confirmed {
		return 0, false
	}
	if state.Serving >= 2 {
		if alloc.Version == state.Model.Version && state.Current == 1 {
			return 0, false // The only replica of the listed version.
		}
		if state.Serving > state.Wanted {
			return 0, true
		}
		return state.Demand / float64(state.Serving), true
	}
	if p.hasHome(alloc.Name) || p.input.ServedElsewhere[alloc.Name] == "" || need.Urgency == extraReplica {
		return 0, false
	}
	return state.Demand, need.Urgency == homeReplica || p.hasHome(need.Model.Name) || need.Gain > minGainRatio*state.Demand
}
