package e2e_test

import (
	"net/http"
	"strings"
	"testing"

	"kumquathitch.example/kumquathitch"
)

// TestListedModelBecomesResident guards against a daemon that does not carry
// placement out: a model that no engine holds at the start must be loaded.
func TestListedModelBecomesResident(t *testing.T) {
	s := startSite(t, 1)
	address := freeAddress(t)
	start(t, "kumquathitch-standin", "engine", "--listen", address, "--name", "planner-llm-3", "--checks-fencing")
	await(t, "engine", answers("http://"+address+"/load", http.StatusOK))
	s.config.Models = append(s.config.Models, kumquathitch.Model{Name: "wind", Bytes: 1 << 30})
	s.config.Adapters = append(s.config.Adapters, kumquathitch.Adapter{Name: "wind-laval", Model: "wind", Bytes: 1 << 20})
	s.config.Upstreams = append(s.config.Upstreams, kumquathitch.Upstream{
		Name: "planner-llm-3", DataCentre: "montreal-1", Address: address, ChecksFencing: true,
		Accelerators: kumquathitch.Accelerators{{Bytes: 8 << 30, AdapterPool: 1 << 30}},
	})
	s.applyConfiguration(t)
	await(t, "model and adapter on the engine", func() bool {
		return strings.Contains(send(t, http.MethodGet, "http://"+address+"/load", "", "").body, `"resident":["wind","wind-laval"]`)
	})
}
