package vm_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestVMWithoutLeaderAsksForNewerConfiguration guards against a VM that runs on with the older configuration of a restored store,
// although another VM knows the newer one: no VM leads, and the VM was not there to see the newer one itself.
func TestVMWithoutLeaderAsksForNewerConfiguration(t *testing.T) {
	p, copied := startRestoreTest(t)
	informed := p.vms[0]
	p.seeds = []string{informed.peers}
	third := p.startVM("entry-3")
	p.waitFor("the third VM is ready", third.isReady)
	for _, store := range p.stores {
		store.refuseWrites.Store(true)
	}
	p.store.Delete("kumquathitch/leader")
	p.waitFor("the third VM knows no leader", func() bool { return third.belief().Leader == "" })
	<-time.NewTimer(time.Second).C // Longer than it relies on the leader's feed.
	p.describe("i-7", "ready")
	p.waitFor("the third VM has heard of the store just now", func() bool { _, known := third.instance("i-7"); return known })
	p.stores["entry-3"].refuse.Store(true)
	p.store.Put("op/config", testDeployment(2, "k2"))
	p.waitFor("another VM has version 2", func() bool { return informed.belief().DeploymentVersion == 2 })
	p.store.Restore(copied, true)
	must.Eq(t, 1, third.belief().DeploymentVersion)
	p.stores["entry-3"].refuse.Store(false)
	p.waitFor("the third VM has version 2", func() bool { return third.belief().DeploymentVersion == 2 })
}
