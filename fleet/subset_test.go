package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

func plainInstance(i int, leaving bool) kumquathitch.Instance {
	return kumquathitch.Instance{ID: fmt.Sprint("i-", i), Service: "orders", DataCentre: fmt.Sprint("zone-", i%3), Slots: 6, Leaving: leaving, Revision: 1}
}

// usedInstances sends calls of a VM one after the other, and returns the instances that got
// them, with their data centres.
func usedInstances(t *testing.T, f *fleet.Fleet, calls int, now time.Time) map[string]string {
	t.Helper()
	used := map[string]string{}
	criteria := kumquathitch.InstanceCriteria{Service: "orders", LatencyObjective: 300 * time.Millisecond}
	for i := range calls {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		choice, err := f.Choose(criteria, at)
		must.NoError(t, err)
		used[choice.Instance.ID] = choice.Instance.DataCentre
		f.Done(criteria, choice, kumquathitch.SendResult{Outcome: kumquathitch.SendAnswered, FirstByte: at.Add(60 * time.Millisecond), Ended: at.Add(60 * time.Millisecond)})
	}
	return used
}

// TestVMsCallSubsetsOfLargePlainServices guards against VMs that open a connection to every
// instance of a service: with 858 instances most calls of 101 VMs needed a new one. All
// instances must be used by some VMs, and none by many more than others.
func TestVMsCallSubsetsOfLargePlainServices(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, size := range []struct{ vms, instances int }{{9, 3}, {100, 140}, {200, 285}} {
		vms := map[string]int{}
		for v := range size.vms {
			f := fleet.NewFleet(fmt.Sprint("entry-", v), fmt.Sprint("zone-", v%3))
			for i := range size.instances {
				f.Put(plainInstance(i, false), now)
			}
			used := usedInstances(t, f, 60, now)
			must.LessEq(t, 12, len(used))
			local := 0
			for id, dataCentre := range used {
				vms[id]++
				if dataCentre == fmt.Sprint("zone-", v%3) {
					local++
				}
			}
			must.Positive(t, local)
		}
		most := 0
		for _, count := range vms {
			most = max(most, count)
		}
		mean := float64(min(12, size.instances)*size.vms) / float64(size.instances)
		must.LessEq(t, 3*mean, float64(most), must.Sprintf("%d VMs", size.vms))
		must.GreaterEq(t, size.instances*9/10, len(vms))
	}
}

// TestSubsetThatCannotBeUsedIsLeft guards against calls that are refused while other
// instances of the service could take them.
func TestSubsetThatCannotBeUsedIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleet.NewFleet("entry-1", "zone-0")
	for i := range 140 {
		f.Put(plainInstance(i, false), now)
	}
	used := usedInstances(t, f, 60, now)
	for i := range 140 {
		instance := plainInstance(i, true)
		if _, ok := used[instance.ID]; ok {
			instance.Revision = 2
			f.Put(instance, now)
		}
	}
	for id := range usedInstances(t, f, 20, now) {
		must.MapNotContainsKey(t, used, id)
	}
}
