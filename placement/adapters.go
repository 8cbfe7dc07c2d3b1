package placement

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"kumquathitch.example/kumquathitch"
)

const maxAdapterOrdersPerPlan = 24

// An adapter in demand has at least minAdapterReplicas replicas, so that the loss
// of one instance leaves another, and otherwise adapterHeadroom times its share of
// the model's adapter demand.
const (
	minAdapterReplicas = 2
	adapterHeadroom    = 1.3
)

// maxAdaptersInFlight bounds the adapter orders in flight to one instance.
const maxAdaptersInFlight = 3 // Instances accept 4; one is reserved for an adapter that a waiting call needs.

// PlanAdapters returns the orders for the adapters of a service. The demand is in
// tokens per second, by model, a slash, and adapter.
func PlanAdapters(spec *kumquathitch.EngineSpec, engines Engines, demand map[string]float64) []Action {
	p := newAdapterPlanner(spec, engines, demand)
	var actions []Action
	for i := range spec.Models {
		m := &spec.Models[i]
		holders := p.holders(m.Name)
		if m.AdapterCount == 0 || len(holders) == 0 {
			continue
		}
		for n := 1; n <= m.AdapterCount; n++ {
			adapter := "a" + strconv.Itoa(n)
			target := p.target(m, adapter, len(holders))
			for p.replicas[m.Name+"/"+adapter] < target && len(actions) < maxAdapterOrdersPerPlan {
				action, ok := p.nextOrder(holders, m.Name, adapter)
				if !ok {
					break
				}
				actions = append(actions, action)
			}
		}
	}
	return actions
}

type adapterPlanner struct {
	spec     *kumquathitch.EngineSpec
	engines  Engines
	demand   map[string]float64
	byModel  map[string][]int   // Result of holders.
	replicas map[string]int     // Engines that hold an adapter and are not still loading its model, by target.
	totals   map[string]float64 // Demand for all adapters of a model.
}

func newAdapterPlanner(spec *kumquathitch.EngineSpec, engines Engines, demand map[string]float64) *adapterPlanner {
	p := &adapterPlanner{
		spec: spec, engines: slices.Clone(engines), demand: demand,
		byModel: map[string][]int{}, replicas: map[string]int{}, totals: map[string]float64{},
	}
	for i := range p.engines {
		e := &p.engines[i]
		for _, r := range e.Models {
			if e.Loading == r.Name {
				continue
			}
			p.byModel[r.Name] = append(p.byModel[r.Name], i)
			for _, adapter := range r.Adapters {
				p.replicas[r.Name+"/"+adapter]++
			}
		}
	}
	for target, tokens := range demand {
		model, _, _ := strings.Cut(target, "/")
		p.totals[model] += tokens
	}
	return p
}

// holders returns the indices of the engines that hold a model and are not still
// loading it.
func (p *adapterPlanner) holders(model string) []int {
	return p.byModel[model]
}

// target returns how many of a model's holders should hold an adapter.
func (p *adapterPlanner) target(m *kumquathitch.ModelSpec, adapter string, holders int) int {
	own, total := p.demand[m.Name+"/"+adapter], p.totals[m.Name]
	if own < idleDemand || total <= 0 {
		return 1
	}
	return min(holders, max(minAdapterReplicas, int(math.Ceil(own/total*float64(holders)*adapterHeadroom))))
}

// nextOrder returns the order to load an adapter on the engine with the most free
// slots, or the order to unload another adapter when no slot is free.
func (p *adapterPlanner) nextOrder(holders []int, model, adapter string) (Action, bool) {
	best := -1
	for _, i := range holders {
		e := &p.engines[i]
		if e.Models.Holds(model, adapter) || e.UsedAdapterSlots >= p.spec.AdapterSlots || e.AdaptersInFlight >= maxAdaptersInFlight {
			continue
		}
		if best < 0 || e.UsedAdapterSlots < p.engines[best].UsedAdapterSlots {
			best = i
		}
	}
	if best < 0 {
		return p.evict(holders, model, adapter)
	}
	e := &p.engines[best]
	e.addAdapter(model, adapter)
	p.replicas[model+"/"+adapter]++
	return Action{Instance: e.Instance, Model: model, Adapter: adapter, Reason: "adapter below target"}, true
}

// addAdapter records an adapter as ordered.
func (e *Engine) addAdapter(model, adapter string) {
	e.UsedAdapterSlots++
	e.AdaptersInFlight++
	e.RecentAdapters = maps.Clone(e.RecentAdapters)
	if e.RecentAdapters == nil {
		e.RecentAdapters = map[string]bool{}
	}
	e.RecentAdapters[model+"/"+adapter] = true
	e.Models = slices.Clone(e.Models)
	for i := range e.Models {
		if e.Models[i].Name == model {
			e.Models[i].Adapters = append(slices.Clone(e.Models[i].Adapters), adapter)
		}
	}
}

// evict returns the order to unload an adapter that is idle or has another
// replica, to free a slot for an adapter that is in demand and held nowhere.
func (p *adapterPlanner) evict(holders []int, model, adapter string) (Action, bool) {
	if p.demand[model+"/"+adapter] < idleDemand || p.replicas[model+"/"+adapter] > 0 {
		return Action{}, false
	}
	best, victim, victimModel := -1, "", ""
	least := math.Inf(1)
	for _, i := range holders {
		e := &p.engines[i]
		if e.AdaptersInFlight >= maxAdaptersInFlight {
			continue
		}
		for _, r := range e.Models {
			for _, other := range r.Adapters {
				target := r.Name + "/" + other
				replicas := p.replicas[target]
				cost := p.demand[target] / float64(replicas)
				if (replicas == 1 && cost >= idleDemand) || e.RecentAdapters[target] {
					continue
				}
				if cost < least {
					best, victim, victimModel, least = i, other, r.Name, cost
				}
			}
		}
	}
	if best < 0 {
		return Action{}, false
	}
	e := &p.engines[best]
	e.AdaptersInFlight = maxAdaptersInFlight
	return Action{
		Instance: e.Instance, Unload: true, Model: victimModel, Adapter: victim,
		Reason: "place for " + model + "/" + adapter,
	}, true
}
