package election

import "kumquathitch.example/kumquathitch"

const (
	// minMembersForScheduler is the number of VMs from which the scheduler is not the
	// leader. Below it one VM can do both, and the leader knows changes of engines first.
	minMembersForScheduler = 32
	// minSchedulerCapacity is the least capacity of a scheduler as a fraction of that of
	// the leader.
	minSchedulerCapacity = 0.5
)

// ChooseScheduler returns the member that should be the scheduler, or none if that
// should be the leader itself. The present scheduler is kept while it is live. Of the
// others, the one with the most capacity is chosen, and the youngest of equal ones.
func ChooseScheduler(members []kumquathitch.Member, leader, present string, live func(m kumquathitch.Member) bool) kumquathitch.Member {
	var best kumquathitch.Member
	if len(members) < minMembersForScheduler {
		return best
	}
	leaderCapacity := 0.0
	for _, m := range members {
		if m.Name == leader {
			leaderCapacity = m.Capacity
		}
	}
	for _, m := range members {
		if m.Name == leader || !live(m) || m.Capacity < minSchedulerCapacity*leaderCapacity {
			continue
		}
		if m.Address == present {
			return m
		}
		if best.Name == "" || m.Capacity > best.Capacity || (m.Capacity == best.Capacity && m.Started.After(best.Started)) {
			best = m
		}
	}
	return best
}
