package vm_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/standin"
)

// restore takes the store away for a moment and brings it back from a copy.
func (p *testPlatform) restore(copied standin.KeyspaceCopy) {
	p.store.SetFaults(standin.KeyspaceFaults{Down: true})
	<-time.NewTimer(300 * time.Millisecond).C
	p.store.Restore(copied, false)
	p.store.SetFaults(standin.KeyspaceFaults{})
}

// describe writes the entry of a plain instance.
func (p *testPlatform) describe(id, state string) {
	p.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"web","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":4,"state":%q,"seq":1,"born":1000}`, state))
}

// instance returns what a VM believes of an instance.
func (v *testVM) instance(id string) (kumquathitch.Instance, bool) {
	known := v.belief().Instances
	i := slices.IndexFunc(known, func(instance kumquathitch.Instance) bool { return instance.ID == id })
	if i < 0 {
		return kumquathitch.Instance{}, false
	}
	return known[i], true
}

// all reports whether a condition holds for all VMs.
func (p *testPlatform) all(holds func(v *testVM) bool) bool {
	return !slices.ContainsFunc(p.vms, func(v *testVM) bool { return !holds(v) })
}

// holdFor fails the test if a condition does not hold at some moment of a time.
func (p *testPlatform) holdFor(d time.Duration, what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); <-time.NewTimer(10 * time.Millisecond).C {
		must.True(p.t, holds(), must.Sprint(what))
	}
}

func (p *testPlatform) awaitVersion(version uint64) {
	p.t.Helper()
	p.waitFor(fmt.Sprint("all VMs have version ", version), func() bool {
		return p.all(func(v *testVM) bool { return v.belief().DeploymentVersion == version })
	})
}

// startRestoreTest starts two VMs with version 1 of the configuration. The copy is older than the VMs.
func startRestoreTest(t *testing.T) (*testPlatform, standin.KeyspaceCopy) {
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	p.startEngine("m")
	copied := p.store.Copy()
	p.startVM("entry-1")
	p.startVM("entry-2")
	p.waitFor("both VMs are ready", func() bool { return p.all((*testVM).isReady) })
	p.seeds = []string{loopback() + ":7380", p.vms[1].peers, loopback() + ":7380"} // Some are out of date.
	return p, copied
}

// TestVMsApplyWhatIsWrittenAfterRestore guards against changes that are skipped because the store
// had given their revisions out before it was restored.
func TestVMsApplyWhatIsWrittenAfterRestore(t *testing.T) {
	p, copied := startRestoreTest(t)
	for i := range 40 {
		p.store.Put(fmt.Sprint("other/", i), []byte("{}"))
	}
	p.store.Put("op/config", testDeployment(2, "k2"))
	p.awaitVersion(2)
	p.restore(copied)
	p.store.Put("op/config", testDeployment(3, "k3"))
	p.describe("i-7", "ready")
	written := time.Now()
	p.awaitVersion(3)
	p.waitFor("all VMs know the instance", func() bool {
		return p.all(func(v *testVM) bool { _, known := v.instance("i-7"); return known })
	})
	must.Less(t, 4*time.Second, time.Since(written))
	p.describe("i-7", "draining")
	p.waitFor("all VMs know that it leaves", func() bool {
		return p.all(func(v *testVM) bool { instance, _ := v.instance("i-7"); return instance.Leaving })
	})
	p.waitFor("calls are answered", func() bool {
		return p.all(func(v *testVM) bool { status, _ := v.call(t, "k3", "m"); return status == 200 })
	})
}

// TestConfigurationOutlivesRestore guards against an older configuration in force after the store
// has come back with it: on a VM that knew the newer one, and on one that starts just then.
func TestConfigurationOutlivesRestore(t *testing.T) {
	for _, leaderless := range []bool{false, true} {
		t.Run(fmt.Sprint("leaderless ", leaderless), func(t *testing.T) {
			p, copied := startRestoreTest(t)
			p.store.Put("op/config", testDeployment(2, "k2"))
			p.awaitVersion(2)
			for _, store := range p.stores {
				store.refuseWrites.Store(leaderless)
			}
			p.restore(copied)
			third := p.startVM("entry-3")
			p.stores["entry-3"].refuseWrites.Store(leaderless)
			p.waitFor("the third VM is ready", func() bool {
				ready := third.isReady()
				must.True(t, !ready || third.belief().DeploymentVersion == 2, must.Sprint("ready with an older configuration"))
				return ready
			})
			p.holdFor(time.Second, "no VM has the older configuration", func() bool {
				return p.all(func(v *testVM) bool { return v.belief().DeploymentVersion == 2 })
			})
		})
	}
}

// TestInstanceMissingInCopyStaysUsable guards against an instance that is dropped because it
// registered after the copy, although it lives and writes its entry again.
func TestInstanceMissingInCopyStaysUsable(t *testing.T) {
	p, copied := startRestoreTest(t)
	p.describe("i-7", "ready")
	p.describe("i-8", "ready")
	known := func(id string) func() bool {
		return func() bool { return p.all(func(v *testVM) bool { _, known := v.instance(id); return known }) }
	}
	p.waitFor("all VMs know both", func() bool { return known("i-7")() && known("i-8")() })
	p.restore(copied)
	p.holdFor(1900*time.Millisecond, "the instance stays", known("i-7"))
	p.describe("i-7", "ready")
	p.holdFor(1500*time.Millisecond, "the instance stays", known("i-7"))
	p.waitFor("the instance that did not come back is gone", func() bool {
		return p.all(func(v *testVM) bool { _, known := v.instance("i-8"); return !known })
	})
}

// TestInstanceThatLeftStaysAway guards against calls to an instance that has left, or leaves, since the
// copy is older than that.
func TestInstanceThatLeftStaysAway(t *testing.T) {
	p, _ := startRestoreTest(t)
	p.describe("i-7", "ready")
	p.describe("i-8", "ready")
	copied := p.store.Copy()
	p.store.Delete("servers/i-7")
	p.describe("i-8", "draining")
	away := func(v *testVM) bool {
		_, known := v.instance("i-7")
		leaving, _ := v.instance("i-8")
		return !known && leaving.Leaving
	}
	p.waitFor("all VMs know that they leave", func() bool { return p.all(away) })
	p.restore(copied)
	p.holdFor(3*time.Second, "no VM takes them back", func() bool { return p.all(away) })
	p.describe("i-7", "ready")
	p.waitFor("all VMs know the instance that has come back", func() bool {
		return p.all(func(v *testVM) bool { _, known := v.instance("i-7"); return known })
	})
}

// TestEvacuationOutlivesRestore guards against calls to a data centre that is being evacuated, because the store was
// restored from a copy of before the request, and against an evacuation that stays although nobody asks again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	e := newEvacuationTest(t, "m")
	e.startTwo()
	copied := e.store.Copy()
	stand := func() bool {
		return e.all(func(v *testVM) bool { return v.metric(t, "kumquathitch_evacuated_data_centres") == 1 })
	}
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.waitFor("both VMs know of the evacuation", stand)
	e.restore(copied)
	e.holdFor(1900*time.Millisecond, "the evacuation stands", stand)
	e.store.Put("op/evacuate/zone-b", []byte("{}"))
	e.holdFor(2*time.Second, "the evacuation stands", stand)
	e.restore(copied)
	for _, v := range e.vms {
		e.awaitEvacuations(v, 0)
	}
}

// TestLeaderOfEarlierEpochSendsNoChanges guards against a VM that relies on a leader that has not seen a restore yet.
func TestLeaderOfEarlierEpochSendsNoChanges(t *testing.T) {
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	leader := p.startVM("entry-1")
	client := newPeerClient(t)
	complete := func(revision uint64) bool {
		var response kumquathitch.ExchangeResponse
		_ = client.Call(t.Context(), leader.peers, "vm.exchange", kumquathitch.ExchangeRequest{From: "test", StoreRevision: revision}, &response)
		return response.SegmentsComplete
	}
	p.waitFor("the leader's changes are complete", func() bool { return complete(kumquathitch.RevisionInEpoch(0, 1<<20)) })
	must.False(t, complete(kumquathitch.RevisionInEpoch(1, 1)))
}
