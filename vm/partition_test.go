package vm_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
)

// TestPartitionsOutliveSchedulers guards against calls that fail when the engines are divided
// over several schedulers, or when one of these is lost, and against the loss of one that
// moves the partitions of the others: their view of the loads would be lost too. Most
// members of this fleet are records without a VM.
func TestPartitionsOutliveSchedulers(t *testing.T) {
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	for i := range 4 {
		p.startEngineIn("zone-a", fmt.Sprint("i-", i), "m")
	}
	for i := range 100 {
		p.store.Put(fmt.Sprintf("kumquathitch/members/record-%d", i), fmt.Appendf(nil, `{"name":"record-%d","address":"127.0.0.1:%d","data-centre":"zone-a"}`, i, i+1))
	}
	var vms []*testVM
	for i := range 5 {
		v := p.startVM(fmt.Sprint("entry-", i))
		p.waitFor("the VM is ready", v.isReady)
		vms = append(vms, v)
	}
	client := newPeerClient(t)
	named := func() []string {
		for _, v := range vms {
			var response kumquathitch.ExchangeResponse
			err := client.Call(t.Context(), v.peers, "vm.exchange", kumquathitch.ExchangeRequest{From: "test", TokensOnly: true}, &response)
			if err == nil && response.Leader && !slices.Contains(response.Schedulers, v.peers) {
				return response.Schedulers
			}
		}
		return nil
	}
	mustServe := func() {
		for _, v := range vms {
			for range 5 {
				status, body := v.call(t, "k1", "m")
				must.Eq(t, 200, status, must.Sprint(body))
			}
		}
	}
	p.waitFor("three schedulers are named", func() bool { return len(named()) == 3 })
	first := named()
	mustServe()
	lost := slices.IndexFunc(vms, func(v *testVM) bool { return v.peers == first[1] })
	vms[lost].stop()
	vms = slices.Delete(vms, lost, lost+1)
	mustServe()
	p.waitFor("another scheduler is named", func() bool { next := named(); return len(next) == 3 && next[1] != first[1] })
	next := named()
	must.Eq(t, first[0], next[0])
	must.Eq(t, first[2], next[2])
	mustServe()
}
