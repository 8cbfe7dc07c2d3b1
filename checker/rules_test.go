package checker_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/election"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/vm"
)

// check spends tokens and returns an error when a rule that holds at every step is broken.
func (w *world) check(begun time.Time) error {
	w.steps++
	at := time.Since(begun)
	leading := ""
	spent := 0.0
	for _, n := range w.nodes {
		if n.running == nil {
			continue
		}
		belief := n.running.Belief()
		if belief.DeploymentVersion < n.version {
			return fmt.Errorf("%v: %s went back from version %d of the configuration to %d", at, n.name, n.version, belief.DeploymentVersion)
		}
		n.version = belief.DeploymentVersion
		if belief.Leading {
			if leading != "" {
				return fmt.Errorf("%v: %s and %s lead at once", at, leading, n.name)
			}
			leading = n.name
			if belief.Term.Fence < w.fence {
				return fmt.Errorf("%v: %s leads with fence %d after %d", at, n.name, belief.Term.Fence, w.fence)
			}
			w.fence = belief.Term.Fence
		}
		if err := w.checkInstances(n, belief.Instances, at); err != nil {
			return err
		}
		calls := callsPerStep
		if w.pressing == 0 {
			calls = max(0, 1-w.steps%idleSteps)
		}
		for i := 0; i < calls && n.frozen == 0 && n.running.TakeTokens(context.Background(), "crew", callTokens); i++ {
			spent += callTokens
		}
	}
	return w.checkSpending(spent, at)
}

// checkInstances returns an error when a process takes a start of an instance back that it has removed, or an
// earlier one, and that has not written its entry since, and when it removes one that lives and writes its entry
// again in time.
func (w *world) checkInstances(n *node, instances kumquathitch.Instances, at time.Duration) error {
	known := map[string]time.Time{}
	for i := range instances {
		id, started := instances[i].ID, instances[i].Started
		known[id] = started
		removed, wasRemoved := n.removed[id]
		if _, wasKnown := n.known[id]; wasRemoved && !wasKnown && !started.After(removed) && !w.written[instances[i].Revision] {
			return fmt.Errorf("%v: %s takes back %s, which it had removed and which has not written its entry again", at, n.name, id)
		}
	}
	for id, started := range n.known {
		if _, kept := known[id]; kept {
			continue
		}
		if w.allLive {
			return fmt.Errorf("%v: %s removes %s, which lives", at, n.name, id)
		}
		n.removed[id] = started
	}
	n.known = known
	return nil
}

// checkSpending returns an error when more tokens were spent than a window allows.
func (w *world) checkSpending(tokens float64, at time.Duration) error {
	now, sum := time.Now(), 0.0
	w.spent = append(w.spent, spending{at: now, tokens: tokens})
	w.spent = slices.DeleteFunc(w.spent, func(s spending) bool { return now.Sub(s.at) >= quotaWindow })
	for _, s := range w.spent {
		sum += s.tokens
	}
	if limit := (accountRate*quotaWindow.Seconds()+accountBurst)*(1+quotaOverage) + quotaSlack; sum > limit {
		return fmt.Errorf("%v: %.0f tokens spent in %v, %.0f allowed", at, sum, quotaWindow, limit)
	}
	return nil
}

// checkCalm returns an error when a VM differs from the store after it has been calm.
func (w *world) checkCalm() error {
	all, err := w.store.Scan(context.Background(), "", false)
	if err != nil {
		return err
	}
	leader, members, instances := "", map[string]string{}, map[string]string{}
	for _, n := range w.nodes {
		if !n.gone && n.running.Belief().Leading {
			leader = n.name
		}
	}
	if leader == "" {
		return fmt.Errorf("calm: no VM leads")
	}
	for _, item := range all.Items {
		if name, ok := strings.CutPrefix(item.Key, election.MemberPrefix); ok {
			members[name] = name
		} else if strings.HasPrefix(item.Key, (platform.Codec{}).InstancePrefix()) {
			instance, err := platform.Codec{}.DecodeInstance(item, time.Now())
			if err != nil {
				return err
			}
			instances[instance.ID] = instance.Address
		}
	}
	for _, n := range w.nodes {
		if members[n.name] == "" && !n.gone {
			return fmt.Errorf("calm: the store does not list %s", n.name)
		}
	}
	for _, n := range w.nodes {
		if n.gone {
			continue
		}
		if err := w.compare(n.name, n.running.Belief(), leader, members, instances); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) compare(name string, b vm.Belief, leader string, members, instances map[string]string) error {
	knownMembers, knownInstances := map[string]string{}, map[string]string{}
	for _, m := range b.Members {
		knownMembers[m.Name] = m.Name
	}
	slices.SortFunc(b.Instances, func(x, y kumquathitch.Instance) int { return cmp.Compare(x.ID, y.ID) })
	for i := range b.Instances {
		knownInstances[b.Instances[i].ID] = b.Instances[i].Address
	}
	switch {
	case b.Leader != leader:
		return fmt.Errorf("calm: %s takes %q for the leader, %s leads", name, b.Leader, leader)
	case b.DeploymentVersion != uint64(w.version):
		return fmt.Errorf("calm: %s has version %d of the configuration, the store %d", name, b.DeploymentVersion, w.version)
	case !maps.Equal(knownMembers, members):
		return fmt.Errorf("calm: %s knows the members %v, the store lists %v", name, knownMembers, members)
	case !maps.Equal(knownInstances, instances):
		return fmt.Errorf("calm: %s knows the instances %v, the store lists %v", name, knownInstances, instances)
	}
	return nil
}
