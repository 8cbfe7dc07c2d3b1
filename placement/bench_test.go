package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/placement"
	"kumquathitch.example/kumquathitch/telemetry"
)

// BenchmarkPlan measures one plan for a service with 242 models by the number of engines.
// The leader makes four plans a second while it answers other VMs.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{144, 860, 2600} {
		b.Run(fmt.Sprint(count, "-engines"), func(b *testing.B) {
			spec, engines, demand := largePlan(count)
			for b.Loop() {
				placement.Plan(spec, engines, demand, count/30)
			}
		})
	}
}

// largePlan returns a service with engines of three models each, and a skewed demand for 242 models.
func largePlan(count int) (*kumquathitch.EngineSpec, placement.Engines, placement.Demand) {
	spec := &kumquathitch.EngineSpec{Slots: 12, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 20}
	demand := placement.Demand{Models: map[string]float64{}, Adapters: map[string]float64{}}
	for i := range 242 {
		name := fmt.Sprintf("m%d", i)
		spec.Models = append(spec.Models, kumquathitch.ModelSpec{Name: name, MemoryMB: float64(34_000 + 160*i)})
		demand.Models[name] = 500_000 / float64(3+i)
	}
	var engines placement.Engines
	for i := range count {
		e := placement.Engine{Instance: kumquathitch.Instance{ID: fmt.Sprintf("i-%d", i)}}
		for k := range 3 {
			m := spec.Models[(i*3+k*50)%len(spec.Models)]
			e.Models = append(e.Models, kumquathitch.ResidentModel{Name: m.Name})
			e.UsedMB += m.MemoryMB
		}
		engines = append(engines, e)
	}
	return spec, engines, demand
}

// BenchmarkPlanAdapters measures one plan for the adapters of 124 engines whose slots
// are all taken, with more adapters in demand than slots. Such plans took up to 5 s of a
// leader that also answered 195 VMs.
func BenchmarkPlanAdapters(b *testing.B) {
	spec, engines, demand := fullAdapterSlots()
	for b.Loop() {
		placement.PlanAdapters(spec, engines, demand)
	}
}

// fullAdapterSlots returns 124 engines with two models and eight adapters each, of 212
// models with 600 adapters, all of which are in demand.
func fullAdapterSlots() (*kumquathitch.EngineSpec, placement.Engines, map[string]float64) {
	spec := &kumquathitch.EngineSpec{Slots: 12, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 18}
	demand := map[string]float64{}
	for i := range 212 {
		m := kumquathitch.ModelSpec{Name: fmt.Sprintf("m%d", i), MemoryMB: 72_700, AdapterCount: 3}
		if i == 0 {
			m.AdapterCount = 58
		}
		spec.Models = append(spec.Models, m)
		for n := 1; n <= m.AdapterCount; n++ {
			demand[fmt.Sprintf("%s/a%d", m.Name, n)] = float64(10 + (i*7+n)%200)
		}
	}
	var engines placement.Engines
	for i := range 124 {
		e := placement.Engine{Instance: kumquathitch.Instance{ID: fmt.Sprintf("i-%d", i)}, UsedAdapterSlots: 8}
		first, second := spec.Models[(i/8)%15].Name, spec.Models[15+i].Name
		if i%4 == 0 {
			first = "m0"
		}
		e.Models = kumquathitch.ResidentModels{{Name: first}, {Name: second}}
		for n := range 8 {
			r := &e.Models[n%2]
			r.Adapters = append(r.Adapters, fmt.Sprintf("a%d", 1+(n/2+i%5)%(3+55*(1-min(1, len(first)-2)))))
		}
		engines = append(engines, e)
	}
	return spec, engines, demand
}

// busyControl reports every engine as idle and accepts every order.
type busyControl struct{}

func (busyControl) Order(context.Context, kumquathitch.EngineOrder) (kumquathitch.OrderOutcome, error) {
	return kumquathitch.OrderAccepted, nil
}

func (busyControl) State(context.Context, string) (kumquathitch.EngineState, error) {
	return kumquathitch.EngineState{}, nil
}

// BenchmarkReconcile measures one round of the placement by the number of engines. The
// leader makes four rounds a second.
func BenchmarkReconcile(b *testing.B) {
	for _, count := range []int{144, 860, 2600} {
		b.Run(fmt.Sprint(count, "-engines"), func(b *testing.B) {
			spec, engines, demand := largePlan(count)
			spec.DiskMB = 410_000
			services := kumquathitch.Services{{Name: "llm", Engine: spec}}
			tokens := map[string]float64{}
			for model, perSecond := range demand.Models {
				tokens["llm/"+model] = perSecond
			}
			var instances kumquathitch.Instances
			for i := range engines {
				engines[i].Instance.Service, engines[i].Instance.Models = "llm", engines[i].Models
				instances = append(instances, engines[i].Instance)
			}
			now := clock.NewManual(time.Unix(1000, 0))
			panics := telemetry.NewPanicGuard(zap.NewNop(), metrics.NewSet())
			c := placement.NewController(busyControl{}, "vm", func() (uint64, bool) { return 1, true }, now, zap.NewNop(), metrics.NewSet(), panics)
			for b.Loop() {
				c.Reconcile(b.Context(), services, instances, tokens)
				now.Advance(250 * time.Millisecond)
			}
		})
	}
}
