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
	sizesMB  map[string]float64 // Memory of an adapter, by model.
	byModel  map[string][]int   // Result of holders.
	replicas map[string]int     // Engines that hold an adapter and are not still loading its model, by target.
	totals   map[string]float64 // Demand for all adapters of a model.
}

func newAdapterPlanner(spec *kumquathitch.EngineSpec, engines Engines, demand map[string]float64) *adapterPlanner {
	p := &adapterPlanner{
		spec: spec, engines: slices.Clone(engines), demand: demand,
		sizesMB: make(map[string]float64, len(spec.Models)), byModel: map[string][]int{}, replicas: map[string]int{}, totals: map[string]float64{},
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
	for i := range spec.Models {
		p.sizesMB[spec.Models[i].Name] = spec.Models[i].AdapterMB
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
// slots, or the order to unload another adapter when no engine has a slot and memory for it.
func (p *adapterPlanner) nextOrder(holders []int, model, adapter string) (Action, bool) {
	best, size := -1, p.sizesMB[model]
	for _, i := range holders {
		e := &p.engines[i]
		if e.Models.Holds(model, adapter) || e.UsedAdapterSlots >= p.spec.AdapterSlots || e.AdaptersInFlight >= maxAdaptersInFlight || e.freeMB(p.spec) < size {
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
	e.addAdapter(model, adapter, size)
	p.replicas[model+"/"+adapter]++
	return Action{Instance: e.Instance, Model: model, Adapter: adapter, Reason: "adapter below target"}, true
}

// addAdapter records an adapter as ordered.
func (e *Engine) addAdapter(model, adapter string, memoryMB float64) {
	e.UsedAdapterSlots++
	e.AdaptersMB += memoryMB
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

// UnloadForAdapters returns the unload of a model that makes room for an adapter in demand which no
// engine with its model has memory for, and marks the engine as busy. A model with another replica,
// or an idle one, yields: a configuration can list adapters, or larger ones, for engines that models
// already fill.
func UnloadForAdapters(spec *kumquathitch.EngineSpec, engines Engines, demand Demand) []Action {
	p := newAdapterPlanner(spec, engines, demand.Adapters)
	chosen, full := "", []int(nil)
	for target, tokens := range demand.Adapters {
		if tokens < idleDemand || p.replicas[target] > 0 || (chosen != "" && target > chosen) {
			continue
		}
		if found := p.lackingMemory(target); len(found) > 0 {
			chosen, full = target, found
		}
	}
	model, _, _ := strings.Cut(chosen, "/")
	i, victim := p.leastUsedModel(full, model, demand.Models)
	if victim == "" {
		return nil
	}
	engines[i].Busy = true
	return []Action{{Instance: engines[i].Instance, Unload: true, Model: victim, Reason: "room for adapter " + chosen}}
}

// lackingMemory returns the engines that hold the model of an adapter and have, or could free, a slot
// for it but no memory. It returns none if another one has both.
func (p *adapterPlanner) lackingMemory(target string) []int {
	model, _, _ := strings.Cut(target, "/")
	size, listed := p.sizesMB[model]
	if !listed {
		return nil
	}
	var full []int
	for _, i := range p.holders(model) {
		room := p.room(&p.engines[i])
		switch {
		case room.slots <= 0:
		case room.memoryMB >= size:
			return nil
		default:
			full = append(full, i)
		}
	}
	return full
}

// leastUsedModel returns the model, and one of some engines that holds it, whose unload costs least
// demand. It is empty if none besides the model that is given may be unloaded.
func (p *adapterPlanner) leastUsedModel(engines []int, model string, demand map[string]float64) (engine int, victim string) {
	least := math.Inf(1)
	for _, i := range engines {
		e := &p.engines[i]
		if e.Busy {
			continue
		}
		for _, r := range e.Models {
			replicas := len(p.byModel[r.Name])
			if r.Name == model || e.RecentModels[r.Name] || (replicas < 2 && demand[r.Name] >= idleDemand) {
				continue
			}
			if cost := demand[r.Name] / float64(max(1, replicas)); cost < least {
				engine, victim, least = i, r.Name, cost
			}
		}
	}
	return engine, victim
}

// evict returns the order to unload an adapter that is idle or has another
// replica, to free a slot and memory for an adapter that is in demand and held nowhere. Of
// adapters that cost the same, the largest one is unloaded.
func (p *adapterPlanner) evict(holders []int, model, adapter string) (Action, bool) {
	if p.demand[model+"/"+adapter] < idleDemand || p.replicas[model+"/"+adapter] > 0 {
		return Action{}, false
	}
	best := -1
	var victim evictableAdapter
	for _, i := range holders {
		e := &p.engines[i]
		if e.AdaptersInFlight >= maxAdaptersInFlight {
			continue
		}
		room := p.room(e)
		if other := room.cheapest; other.name != "" && room.memoryMB >= p.sizesMB[model] && (best < 0 || other.isCheaper(&victim)) {
			best, victim = i, other
		}
	}
	if best < 0 {
		return Action{}, false
	}
	e := &p.engines[best]
	e.AdaptersInFlight = maxAdaptersInFlight
	return Action{
		Instance: e.Instance, Unload: true, Model: victim.model, Adapter: victim.name,
		Reason: "place for " + model + "/" + adapter,
	}, true
}

// evictableAdapter is an adapter that may be unloaded.
type evictableAdapter struct {
	model, name string
	cost        float64 // Demand that one of its replicas serves.
	memoryMB    float64
}

// isCheaper reports whether an adapter is unloaded rather than another one.
func (a *evictableAdapter) isCheaper(other *evictableAdapter) bool {
	return a.cost < other.cost || (a.cost == other.cost && a.memoryMB > other.memoryMB)
}

// adapterRoom is what an engine would have free without the adapters that may be unloaded.
type adapterRoom struct {
	memoryMB float64
	slots    int
	cheapest evictableAdapter // First one to unload; its name is empty if there is none.
}

// room returns the room of an engine. Adapters that are idle or have another replica may be unloaded.
func (p *adapterPlanner) room(e *Engine) adapterRoom {
	room := adapterRoom{memoryMB: e.freeMB(p.spec), slots: p.spec.AdapterSlots - e.UsedAdapterSlots}
	for _, r := range e.Models {
		for _, name := range r.Adapters {
			target := r.Name + "/" + name
			replicas := p.replicas[target]
			cost := p.demand[target] / float64(replicas)
			if (replicas == 1 && cost >= idleDemand) || e.RecentAdapters[target] {
				continue
			}
			other := evictableAdapter{model: r.Name, name: name, cost: cost, memoryMB: p.sizesMB[r.Name]}
			room.memoryMB += other.memoryMB
			room.slots++
			if room.cheapest.name == "" || other.isCheaper(&room.cheapest) {
				room.cheapest = other
			}
		}
	}
	return room
}
