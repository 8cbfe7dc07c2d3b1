package placement_test

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/evacuation"
	"kumquathitch.example/kumquathitch/placement"
	"kumquathitch.example/kumquathitch/telemetry"
)

// TestEvacuatedModelsAreLoadedElsewhere guards against models that are in no data centre that
// gets calls, against loads on engines that get none, and against engines that stay empty
// after the evacuation.
func TestEvacuatedModelsAreLoadedElsewhere(t *testing.T) {
	now := clock.NewManual(time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC))
	f := &fakeFleet{spec: testSpec(4), clock: now, engines: map[string]*fakeEngine{}}
	held := map[string]string{"a0": "m0", "a1": "m0", "b0": "m1", "b1": "m2"}
	for id, model := range held {
		e := &fakeEngine{models: kumquathitch.ResidentModels{{Name: model}}}
		e.visible = kumquathitch.Instance{ID: id, Service: "llm", Address: id, DataCentre: id[:1], Revision: 1, Models: cloneResidents(e.models)}
		f.engines[id] = e
	}
	set := evacuation.NewSet()
	controller := placement.NewController(f, "vm", func() (uint64, bool) { return 9, true }, now, zap.NewNop(), metrics.NewSet(), telemetry.NewPanicGuard(zap.NewNop(), metrics.NewSet()))
	controller.UseEvacuations(set)
	services := kumquathitch.Services{{Name: "llm", Engine: f.spec}}
	reconcile := func(steps int) {
		for range steps {
			f.advance(250 * time.Millisecond)
			var listed kumquathitch.Instances
			for _, e := range f.engines {
				e.describe(true, true)
				listed = append(listed, e.visible)
			}
			controller.Reconcile(t.Context(), services, listed, map[string]float64{"llm/m0": 100, "llm/m1": 300, "llm/m2": 200})
		}
	}
	set.Begin("b", 1, now.Now(), now.Now())
	reconcile(600) // Longer than the states of unlisted engines are kept.
	must.Eq(t, 0, f.engines["b0"].accepted+f.engines["b1"].accepted)
	for _, model := range []string{"m1", "m2"} {
		must.True(t, f.engines["a0"].models.Holds(model, "") || f.engines["a1"].models.Holds(model, ""), must.Sprint(model))
	}
	must.Eq(t, "", f.failure)
	set.End("b", 2, now.Now())
	f.engines["b0"].models, f.engines["b0"].accepted = nil, 3 // Orders of an earlier leader.
	reconcile(60)
	must.Positive(t, f.engines["b0"].accepted-3)
	must.Eq(t, "", f.failure)
}
