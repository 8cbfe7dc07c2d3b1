// Package placement decides which models and adapters the engines of a service
// hold, and gives them the orders to do so. Only the leader runs it.
//
// # Usage
//
//	owner := placement.NewOwner(control, holder, log, metrics)
//	owner.Begin(term.Fence, now)        // At the start of a term.
//	owner.Tick(ctx, services, instances, demand, now, mayOrder)
//	places := owner.Adapter(ctx, want, ...) // An adapter that is nowhere.
//
// What an instance may hold is counted from its description and from every
// order that may still be carried out: an order without an answer counts until
// the instance has accepted a later one. Memory is never ordered twice.
package placement

import (
	"math"
	"slices"
	"strings"

	"kumquathitch.example/kumquathitch"
)

const (
	// spread is how many replicas a model gets beyond its part of the demand,
	// so that demand can rise before a load ends.
	spread = 1.25
	// demandedReplicas is the least number of replicas of a model that is asked
	// for: one instance can be lost without a gap.
	demandedReplicas = 2
	// adapterSpread is the same for adapters.
	adapterSpread = 1.3
	// spareReplicas is the number of replicas of a model that nobody asks for,
	// where there is free memory for them: demand moves faster than loads.
	spareReplicas = 2
	// fetchLoss is added to what an unload costs where the model that gets the
	// room would come from the weight store, in tokens per second: that takes
	// seconds longer than a copy that the engine has.
	fetchLoss = 2000.0
	// quietDemand is the tokens per second below which a model counts as not asked for.
	quietDemand = 1.0
)

// Engine is an instance as the plan sees it.
type Engine struct {
	Instance kumquathitch.Instance
	Models   kumquathitch.Residents // Resident, or being loaded.
	Loading  string                 // The model that is being loaded.
	UsedMB   float64                // By everything that may become resident.
	Busy     bool                   // An order for a model is under way or in doubt.
	Adapters int                    // Adapter places that may be taken.
	InFlight int                    // Adapter orders under way.
	Fresh    map[string]bool        // Adapters ordered lately, which stay.
}

// Engines is a list of engines.
type Engines []Engine

// Demand is what is asked of a service, in tokens per second.
type Demand struct {
	Models   map[string]float64 // By model, with its adapters.
	Adapters map[string]float64 // By model, a slash, and adapter.
}

// Action is an order that the plan asks for.
type Action struct {
	Instance kumquathitch.Instance
	Unload   bool
	Model    string
	Adapter  string
	Counted  bool // The load comes from the weight store, and counts against its rate.
	Reason   string
}

// Plan returns the orders for the models of a service, the most urgent first.
// Loads is the number of loads from the weight store that may begin now.
func Plan(class *kumquathitch.EngineClass, engines Engines, demand Demand, loads int) []Action {
	p := newPlanner(class, engines, demand)
	var actions []Action
	for range 2 * len(engines) {
		model := p.neediest()
		if model == nil {
			if !p.spare() {
				break
			}
			continue
		}
		action, ok := p.place(model, loads > 0)
		if !ok {
			p.given[model.Name] = true
			continue
		}
		if action.Counted {
			loads--
		}
		actions = append(actions, action)
	}
	return actions
}

type planner struct {
	class    *kumquathitch.EngineClass
	engines  Engines
	demand   map[string]float64
	total    float64
	adapters map[string]int // Adapters of a model that are asked for.
	replicas map[string]int
	targets  map[string]int
	given    map[string]bool // Models that found no place.
	reserve  float64         // MB for adapters on each engine.
	sparing  bool            // Only free memory is filled from now on.
}

func newPlanner(class *kumquathitch.EngineClass, engines Engines, demand Demand) *planner {
	p := &planner{
		class: class, engines: slices.Clone(engines), demand: demand.Models, adapters: map[string]int{},
		replicas: map[string]int{}, targets: map[string]int{}, given: map[string]bool{},
	}
	for _, m := range class.Models {
		p.total += demand.Models[m.Name]
	}
	for target, tokens := range demand.Adapters {
		if model, _, _ := strings.Cut(target, "/"); tokens >= quietDemand {
			p.adapters[model]++
		}
	}
	p.reserve = adapterReserve(class)
	for _, e := range engines {
		for _, r := range e.Models {
			p.replicas[r.Name]++
		}
	}
	for _, m := range class.Models {
		p.targets[m.Name] = p.target(m.Name)
	}
	return p
}

// adapterReserve is the memory that is kept for adapters on each engine, in MB.
func adapterReserve(class *kumquathitch.EngineClass) float64 {
	largest := 0.0
	for _, m := range class.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(class.AdapterSlots)
}

// target returns the number of replicas that a model should have: its part of
// the demand, and places for the adapters that are asked for.
func (p *planner) target(model string) int {
	if p.demand[model] < quietDemand || p.total <= 0 {
		return min(1, len(p.engines))
	}
	part := p.demand[model] / p.total
	byLoad := int(math.Ceil(part * float64(len(p.engines)) * spread))
	byAdapters := 0
	if p.class.AdapterSlots > 0 {
		byAdapters = (p.adapters[model] + p.class.AdapterSlots - 1) / p.class.AdapterSlots
	}
	return min(len(p.engines), max(demandedReplicas, byLoad, byAdapters))
}

// spare raises the targets to fill free memory. It reports false when it did before.
func (p *planner) spare() bool {
	if p.sparing {
		return false
	}
	p.sparing = true
	for _, m := range p.class.Models {
		p.targets[m.Name] = max(p.targets[m.Name], min(spareReplicas, len(p.engines)))
	}
	return true
}

// neediest returns the model that lacks replicas and loses most by it.
func (p *planner) neediest() *kumquathitch.ModelClass {
	var best *kumquathitch.ModelClass
	most := 0.0
	for i := range p.class.Models {
		m := &p.class.Models[i]
		have := p.replicas[m.Name]
		if p.given[m.Name] || have >= p.targets[m.Name] {
			continue
		}
		// A model without a replica answers nobody; otherwise the load on each replica counts.
		score := (1 + p.demand[m.Name]) / float64(have*have+1)
		if have == 0 {
			score *= 1000
		}
		if best == nil || score > most {
			best, most = m, score
		}
	}
	return best
}

// place returns the order that brings a model closer to its target: a load
// where there is room, else an unload that makes room. Without fetch, only
// engines that have the weights at hand are ordered to load.
func (p *planner) place(m *kumquathitch.ModelClass, fetch bool) (Action, bool) {
	best, room := -1, false
	for i := range p.engines {
		e := &p.engines[i]
		if e.Busy || e.Models.Holds(m.Name, "") || e.UsedMB+m.MemoryMB+p.reserve > p.class.MemoryMB {
			continue
		}
		room = true
		if !fetch && !slices.Contains(e.Instance.Cached, m.Name) {
			continue
		}
		if best < 0 || p.better(m.Name, e, &p.engines[best]) {
			best = i
		}
	}
	if best >= 0 {
		e := &p.engines[best]
		e.Busy = true
		e.UsedMB += m.MemoryMB
		e.Models = append(slices.Clone(e.Models), kumquathitch.Resident{Name: m.Name})
		p.replicas[m.Name]++
		return Action{
			Instance: e.Instance, Model: m.Name, Counted: !slices.Contains(e.Instance.Cached, m.Name),
			Reason: "replicas below target",
		}, true
	}
	if room || p.sparing {
		return Action{}, false
	}
	return p.evict(m)
}

// better reports whether an engine suits a load better than another one: with
// the weights at hand first, then the one whose models are asked for least.
func (p *planner) better(model string, e, other *Engine) bool {
	cached, otherCached := slices.Contains(e.Instance.Cached, model), slices.Contains(other.Instance.Cached, model)
	if cached != otherCached {
		return cached
	}
	return p.pressure(e) < p.pressure(other)
}

// pressure is the demand that falls on an engine.
func (p *planner) pressure(e *Engine) float64 {
	total := 0.0
	for _, r := range e.Models {
		total += p.demand[r.Name] / float64(max(1, p.replicas[r.Name]))
	}
	return total
}

// evict returns the unload that costs least and makes room for a model. A
// model keeps its target; only for a model that is nowhere may others fall
// below it, and the last replica goes only when nobody asks for it.
func (p *planner) evict(m *kumquathitch.ModelClass) (Action, bool) {
	nowhere := p.replicas[m.Name] == 0 && p.demand[m.Name] >= quietDemand
	best, victim := -1, ""
	least := math.Inf(1)
	for i := range p.engines {
		e := &p.engines[i]
		if e.Busy || e.Models.Holds(m.Name, "") {
			continue
		}
		for _, r := range e.Models {
			loss, allowed := p.loss(r.Name, nowhere)
			size := p.size(r.Name)
			if !allowed || e.UsedMB-size+m.MemoryMB+p.reserve > p.class.MemoryMB {
				continue
			}
			if !slices.Contains(e.Instance.Cached, m.Name) {
				loss += fetchLoss
			}
			if loss < least {
				best, victim, least = i, r.Name, loss
			}
		}
	}
	if best < 0 {
		return Action{}, false
	}
	e := &p.engines[best]
	e.Busy = true
	p.replicas[victim]--
	p.given[m.Name] = true
	return Action{Instance: e.Instance, Unload: true, Model: victim, Reason: "room for " + m.Name}, true
}

// loss is what a replica less costs, and whether it may go.
func (p *planner) loss(model string, nowhere bool) (float64, bool) {
	have, target := p.replicas[model], p.targets[model]
	demand := p.demand[model]
	switch {
	case have > target:
		return demand / float64(have), true
	case nowhere && have > 1:
		return 1e6 + demand/float64(have), true
	case nowhere && have == 1 && demand < quietDemand:
		return 1e9, true
	}
	return 0, false
}

func (p *planner) size(model string) float64 {
	if m := p.class.Models.Find(model); m != nil {
		return m.MemoryMB
	}
	return 0
}
