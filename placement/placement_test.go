package placement_test

import (
	"context"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/placement"
)

func testSpec(models int) *kumquathitch.EngineSpec {
	c := &kumquathitch.EngineSpec{Slots: 8, MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 2, DiskMB: 400}
	for i := range models {
		c.Models = append(c.Models, kumquathitch.ModelSpec{Name: "m" + strconv.Itoa(i), MemoryMB: 90, AdapterCount: 3, AdapterMB: 1})
	}
	return c
}

func engine(id string, models ...string) placement.Engine {
	e := placement.Engine{Instance: kumquathitch.Instance{ID: id, Service: "llm"}}
	for _, name := range models {
		e.Models = append(e.Models, kumquathitch.ResidentModel{Name: name})
		e.UsedMB += 90
	}
	return e
}

func demand(models map[string]float64) placement.Demand {
	return placement.Demand{Models: models, Adapters: map[string]float64{}}
}

// A model in demand without a replica takes precedence over further replicas of
// other models.
func TestUnplacedModelComesFirst(t *testing.T) {
	engines := placement.Engines{engine("one", "m0"), engine("two", "m0")}
	moves := placement.Plan(testSpec(3), engines, demand(map[string]float64{"m0": 900, "m2": 50}), 1)
	must.Len(t, 1, moves)
	must.Eq(t, "m2", moves[0].Load.Model)
	must.Len(t, 0, moves[0].Unloads)
}

// TestBusyModelGetsReplicas guards against demand that is concentrated on one
// engine while others hold idle models.
func TestBusyModelGetsReplicas(t *testing.T) {
	engines := placement.Engines{engine("one", "m0", "m1"), engine("two", "m1", "m2"), engine("three", "m1", "m2")}
	moves := placement.Plan(testSpec(3), engines, demand(map[string]float64{"m0": 5000}), 3)
	must.SliceNotEmpty(t, moves)
	must.Eq(t, "m0", moves[0].Load.Model)
	must.Len(t, 1, moves[0].Unloads)
}

// The cost of a move is relative to one engine. When it was a fraction of the whole
// placement, no model got a second replica on 90 engines (scale-1 of
// laurentide-montage-grown).
func TestBusyModelGetsReplicasOnManyEngines(t *testing.T) {
	var engines placement.Engines
	modelDemand := map[string]float64{"m0": 2400}
	for i := range 90 {
		engines = append(engines, engine("i-"+strconv.Itoa(i), "m"+strconv.Itoa(i)))
		if i > 1 {
			modelDemand["m"+strconv.Itoa(i)] = 1000
		}
	}
	moves := placement.Plan(testSpec(90), engines, demand(modelDemand), 1)
	must.SliceNotEmpty(t, moves)
	must.Eq(t, "m0", moves[0].Load.Model)
	must.Eq(t, "i-1", moves[0].Load.Instance.ID) // The engine with the idle model.
}

// TestLastReplicaInDemandIsKept checks that no move unloads the only replica of a
// model in demand.
func TestLastReplicaInDemandIsKept(t *testing.T) {
	engines := placement.Engines{engine("one", "m0", "m1"), engine("two", "m0", "m2")}
	moves := placement.Plan(testSpec(3), engines, demand(map[string]float64{"m0": 9000, "m1": 30, "m2": 30}), 3)
	for _, move := range moves {
		for _, unload := range move.Unloads {
			must.Eq(t, "m0", unload.Model)
		}
	}
}

// TestBalancedPlacementIsStable guards against models that are moved back and forth.
func TestBalancedPlacementIsStable(t *testing.T) {
	engines := placement.Engines{engine("one", "m0", "m1"), engine("two", "m0", "m1"), engine("three", "m0", "m1")}
	moves := placement.Plan(testSpec(2), engines, demand(map[string]float64{"m0": 500, "m1": 450}), 3)
	must.Len(t, 0, moves)
}

// When the weight store allows no loads, models load only from an engine's own copy.
func TestExhaustedWeightStoreAllowsLocalCopies(t *testing.T) {
	engines := placement.Engines{engine("one", "m0"), engine("two", "m0")}
	serviceDemand := demand(map[string]float64{"m1": 500})
	must.Len(t, 0, placement.Plan(testSpec(2), engines, serviceDemand, 0))
	engines[1].Instance.CachedModels = []string{"m1"}
	moves := placement.Plan(testSpec(2), engines, serviceDemand, 0)
	must.Len(t, 1, moves)
	must.Eq(t, "two", moves[0].Load.Instance.ID)
	must.False(t, moves[0].Load.FromStore)
}

// TestAdapterSlotLimit asks for an adapter without a replica. On an engine without
// a free slot an idle adapter is unloaded first; an engine with one is preferred.
func TestAdapterSlotLimit(t *testing.T) {
	full := engine("one", "m0")
	full.Models[0].Adapters, full.UsedAdapterSlots = []string{"a1", "a2"}, 2
	adapterDemand := map[string]float64{"m0/a3": 50, "m0/a1": 60}
	actions := placement.PlanAdapters(testSpec(1), placement.Engines{full}, adapterDemand)
	must.Len(t, 1, actions)
	must.True(t, actions[0].Unload)
	must.Eq(t, "a2", actions[0].Adapter)
	free := engine("two", "m0")
	actions = placement.PlanAdapters(testSpec(1), placement.Engines{full, free}, adapterDemand)
	must.Eq(t, "two", actions[0].Instance.ID)
	must.False(t, actions[0].Unload)
}

// TestEmptyEnginesGetOverloadedModelFirst guards against engines that come back empty and load
// rarely used models, while the last replicas of a busy one refuse calls.
func TestEmptyEnginesGetOverloadedModelFirst(t *testing.T) {
	engines := placement.Engines{engine("one", "m0", "m1"), engine("two", "m0", "m1"), engine("three"), engine("four"), engine("five"), engine("six")}
	moves := placement.Plan(testSpec(4), engines, demand(map[string]float64{"m0": 700, "m1": 250, "m2": 30, "m3": 20}), 3)
	must.Len(t, 3, moves)
	must.Eq(t, []string{"m0", "m2", "m3"}, []string{moves[0].Load.Model, moves[1].Load.Model, moves[2].Load.Model})
}

// TestPlanDoesNotWaitForOtherWork guards against a plan that takes seconds on a leader whose
// other work keeps its processor busy.
func TestPlanDoesNotWaitForOtherWork(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	var turns atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	runtime.Gosched()
	spec, engines, demand := largePlan(144)
	before := turns.Load()
	moves := placement.Plan(spec, engines, demand, 5)
	during := turns.Load() - before
	cancel()
	<-ended
	must.SliceNotEmpty(t, moves)
	must.Less(t, 20, during) // The runtime itself interrupts a long plan every 10 ms.
}
