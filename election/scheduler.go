package election

import "kumquathitch.example/kumquathitch"

const (
	// minMembersForScheduler is the number of VMs from which the scheduler is not the
	// leader. Below it one VM can do both, and the leader knows changes of engines first.
	minMembersForScheduler = 32
	// maxMembersForOneScheduler is the number of VMs up to which one scheduler serves all.
	// At 101 VMs one with 0.4 of a core was saturated by 1,500 calls a second.
	maxMembersForOneScheduler = 96
	// membersPerScheduler is the number of VMs for each scheduler beyond that.
	membersPerScheduler = 48
	// minSchedulerCapacity is the least capacity of a scheduler as a fraction of that of
	// the leader.
	minSchedulerCapacity = 0.5
)

// ChooseSchedulers returns the members that should be schedulers, one for each partition of
// the engines, or none if that should be the leader itself. The present schedulers, by
// address, are kept in their partitions while they are live. Of the others, those with the
// most capacity are chosen, and the youngest of equal ones.
func ChooseSchedulers(members []kumquathitch.Member, leader string, present []string, live func(m kumquathitch.Member) bool) []kumquathitch.Member {
	if len(members) < minMembersForScheduler {
		return nil
	}
	candidates := schedulerCandidates(members, leader, live)
	count := min(len(candidates), schedulerCount(len(members)))
	chosen := make([]kumquathitch.Member, count)
	for i := range min(count, len(present)) {
		for j, m := range candidates {
			if m.Address == present[i] {
				chosen[i] = m
				candidates = append(candidates[:j], candidates[j+1:]...)
				break
			}
		}
	}
	for i := range chosen {
		if chosen[i].Name != "" {
			continue
		}
		best := 0
		for j, m := range candidates {
			if m.Capacity > candidates[best].Capacity || (m.Capacity == candidates[best].Capacity && m.Started.After(candidates[best].Started)) {
				best = j
			}
		}
		chosen[i] = candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return chosen
}

// schedulerCount returns the number of schedulers of a fleet.
func schedulerCount(members int) int {
	if members <= maxMembersForOneScheduler {
		return 1
	}
	return (members + membersPerScheduler - 1) / membersPerScheduler
}

// schedulerCandidates returns the live members that are strong enough, without the leader.
func schedulerCandidates(members []kumquathitch.Member, leader string, live func(m kumquathitch.Member) bool) []kumquathitch.Member {
	leaderCapacity := 0.0
	for _, m := range members {
		if m.Name == leader {
			leaderCapacity = m.Capacity
		}
	}
	var candidates []kumquathitch.Member
	for _, m := range members {
		if m.Name != leader && live(m) && m.Capacity >= minSchedulerCapacity*leaderCapacity {
			candidates = append(candidates, m)
		}
	}
	return candidates
}
