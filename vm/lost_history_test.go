package vm_test

import (
	"testing"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/standin"
)

// exchangeWith returns the response of a VM to an exchange.
func exchangeWith(t testing.TB, client *peer.Client, v *testVM) kumquathitch.ExchangeResponse {
	t.Helper()
	var response kumquathitch.ExchangeResponse
	_ = client.Call(t.Context(), v.peers, "vm.exchange", kumquathitch.ExchangeRequest{From: "test"}, &response) // The VM may not have started yet.
	return response
}

// TestVMsElectLeaderAfterLostHistory guards against a fleet that stays without a leader: the
// record of the last one ran out in an outage, and the store has no history of its removal.
func TestVMsElectLeaderAfterLostHistory(t *testing.T) {
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	p.startEngine("m")
	p.startVM("entry-1")
	p.startVM("entry-2")
	client := newPeerClient(t)
	count := func(matches func(kumquathitch.ExchangeResponse) bool) int {
		matching := 0
		for _, v := range p.vms {
			if matches(exchangeWith(t, client, v)) {
				matching++
			}
		}
		return matching
	}
	leaders := func() int { return count(func(r kumquathitch.ExchangeResponse) bool { return r.Leader }) }
	p.waitFor("both VMs know a leader", func() bool {
		return count(func(r kumquathitch.ExchangeResponse) bool { return r.LeaderAddress != "" }) == 2
	})
	p.store.SetFaults(standin.KeyspaceFaults{Down: true})
	p.waitFor("no VM leads", func() bool { return leaders() == 0 })
	<-time.NewTimer(4 * time.Second).C // All leases run out.
	p.store.SetFaults(standin.KeyspaceFaults{CompactedBefore: p.store.Put("servers/other", []byte("{}"))})
	p.waitFor("a VM leads again", func() bool { return leaders() == 1 })
}
