package vm_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
)

// TestColdEngineIsLimitedUntilItIsWarm guards against a scheduler that takes no notice of the entry
// of an engine or of the operator's rate, on the way from the store to the assignment of a call.
func TestColdEngineIsLimitedUntilItIsWarm(t *testing.T) {
	p := newTestPlatform(t)
	engine := p.startEngine("m")
	describe := func(coldLeft string) {
		entry := engine.Registration(p.engine)
		p.store.Put("servers/i-1", append(bytes.TrimSuffix(bytes.TrimSpace(entry), []byte("}")), []byte(`,"cold_left_ms":`+coldLeft+"}")...))
	}
	describe("60000")
	p.store.Put("op/config", bytes.Replace(testDeployment(1, "k1"), []byte(`"max_conns":100`), []byte(`"max_conns":100,"cold_s":3.0,"cold_per_s":10.0`), 1))
	v := p.startVM("entry-1")
	p.waitFor("the VM is ready", v.isReady)
	client := newPeerClient(t)
	schedule := func() (response kumquathitch.ScheduleResponse) {
		request := kumquathitch.ScheduleRequest{From: "entry-2", Service: "llm", Model: "m", Tokens: 10}
		must.NoError(t, client.Call(t.Context(), v.peers, "fleet.schedule", request, &response))
		return response
	}
	refused := 0
	for range 3 {
		p.waitFor("the engine takes a call", func() bool {
			response := schedule()
			if response.Instance == "" {
				must.True(t, response.EnginesFull)
				refused++
				return false
			}
			must.True(t, response.Limited)
			must.Positive(t, response.SendWithin)
			return true
		})
	}
	must.Positive(t, refused)
	describe("0")
	p.waitFor("the engine is warm", func() bool { response := schedule(); return response.Instance != "" && !response.Limited })
}
