package vm_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
)

// BenchmarkExchange measures one exchange with the leader by the size of the fleet. The
// number of instances, and of those that are in use, grows with the number of VMs.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{9, 100, 400} {
		b.Run(fmt.Sprint(size, "-vms"), func(b *testing.B) {
			p := newTestPlatform(b)
			p.store.Put("op/config", testDeployment(1, "k1"))
			for i := range 10 * size {
				p.store.Put(fmt.Sprintf("servers/i-%010d", i), fmt.Appendf(nil, `{"service":"llm","address":"10.0.%d.%d:80","zone":"zone-a","slots":64,"state":"ready","models":[{"name":"m","version":1}]}`, i/250, i%250))
			}
			v := p.startVM("entry-0")
			p.waitFor("the VM is ready", v.isReady)
			client := newPeerClient(b)
			request := func(from int) kumquathitch.ExchangeRequest {
				loads := map[string]int{}
				for i := range 60 {
					loads[fmt.Sprintf("i-%010d", (from*7+i*61)%(10*size))] = 1
				}
				return kumquathitch.ExchangeRequest{From: fmt.Sprint("entry-", from+1), DeploymentVersion: 1, InFlight: loads, StoreRevision: uint64(20 * size)}
			}
			var response kumquathitch.ExchangeResponse
			p.waitFor("the VM leads", func() bool {
				return client.Call(b.Context(), v.peers, "vm.exchange", request(0), &response) == nil && response.Leader
			})
			for i := range size {
				must.NoError(b, client.Call(b.Context(), v.peers, "vm.exchange", request(i), &response))
			}
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				var response kumquathitch.ExchangeResponse
				must.NoError(b, client.Call(b.Context(), v.peers, "vm.exchange", request(i%size), &response))
				must.True(b, response.Leader)
			}
		})
	}
}
