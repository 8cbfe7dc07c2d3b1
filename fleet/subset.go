package fleet

import (
	"cmp"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// localSubset and remoteSubset are the numbers of instances of a plain service, in the
	// VM's own data centre and elsewhere, that a VM calls when a service has more. With all
	// of them, the connections of a VM grow with the fleet, and most calls need a new one.
	localSubset  = 8
	remoteSubset = 4
)

// subset returns the instances of a large plain service that this VM calls: those with the
// highest rendezvous weights, so that the subsets of all VMs together use all instances
// alike. If none of them can be used, it returns all candidates.
func (f *Fleet) subset(candidates []*instanceState, criteria kumquathitch.InstanceCriteria, now time.Time) []*instanceState {
	if criteria.Model != "" || len(candidates) <= localSubset+remoteSubset {
		return candidates
	}
	type weighed struct {
		instance *instanceState
		weight   uint64
	}
	var local, remote []weighed
	for _, inst := range candidates {
		w := weighed{instance: inst, weight: kumquathitch.RendezvousWeight(f.vm, inst.id)}
		if inst.dataCentre() == f.dataCentre {
			local = append(local, w)
		} else {
			remote = append(remote, w)
		}
	}
	subset := make([]*instanceState, 0, localSubset+remoteSubset)
	usable := false
	add := func(group []weighed, count int) {
		slices.SortFunc(group, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
		for _, w := range group[:min(count, len(group))] {
			subset = append(subset, w.instance)
			usable = usable || !w.instance.avoided(criteria.NoRetry, now) && !slices.Contains(criteria.Exclude, w.instance.id) && !f.isUnreachable(w.instance.dataCentre())
		}
	}
	add(local, localSubset)
	add(remote, localSubset+remoteSubset-len(subset))
	if !usable {
		return candidates
	}
	return subset
}
