package upstream_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/upstream"
)

// TestEvacuatedUpstreamGetsNoNewRequests guards against requests to a data centre that the
// operator evacuates, and against an end of the evacuation that also ends the operator's
// draining of a single upstream.
func TestEvacuatedUpstreamGetsNoNewRequests(t *testing.T) {
	f := newFleet(t)
	now, generation := start.Add(time.Hour), uint64(1)
	apply := func(evacuated, leaving bool) {
		generation++
		config := configuration(generation, leaving)
		config.DataCentres = kumquathitch.DataCentres{{Name: config.Upstreams[0].DataCentre}}
		if evacuated {
			config.DataCentres[0].EvacuatedSince = now
		}
		f.Apply(config)
	}
	begin := func() bool {
		replica := f.Replicas(upstream.ReplicasKey{Model: "rigging"}).List[0]
		_, begun := f.Begin(replica, &kumquathitch.UpstreamCriteria{}, now)
		return begun
	}
	must.True(t, begin())
	apply(true, false)
	state, _ := f.State("planner-llm-1")
	must.Eq(t, upstream.Leaving, state.Phase()) // Before any request shows it.
	must.Eq(t, 1, state.Outstanding)
	must.False(t, begin())
	apply(false, false)
	must.True(t, begin())
	apply(true, true)
	apply(false, true)
	must.False(t, begin())
}
