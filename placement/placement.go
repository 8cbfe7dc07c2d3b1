// Package placement decides which models and adapters the engines of a service
// hold, and sends them the orders to load and unload. Only the leader sends orders.
//
// # Usage
//
//	controller := placement.NewController(control, holder, currentFence, clock, log, metrics, panics)
//	controller.Reconcile(ctx, services, instances, demand) // Several times a second.
//	ids := controller.PlaceAdapter(ctx, service, request, holders) // For a call whose adapter no instance holds.
//
// The memory in use on an instance is computed from its description and from
// every order that may still be carried out. An order without a response counts
// until the instance has accepted a later one, so that memory is never promised
// twice.
package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kumquathitch.example/kumquathitch"
)

const (
	// idleDemand is the demand, in tokens per second, below which a model or
	// adapter counts as idle.
	idleDemand = 1.0
	// unservedDemandCost is the cost of demand that no engine serves, per unit of its
	// share of the whole. A balanced placement costs 1 in total.
	unservedDemandCost = 100.0
	// unplacedCost is the cost of any listed model without a replica, since a call
	// for it may come at any time. It is unplacedCopyCost when an engine has a copy
	// on its disk, which loads within a second or two. The unit of both is the cost
	// of one engine with an even share of the demand.
	unplacedCost     = 1.2
	unplacedCopyCost = 0.24
	// overloadFactor is the load of an engine, in even shares of the demand, from which its
	// calls are taken to be refused when an engine without models is filled.
	overloadFactor = 1.5
	// singleReplicaCost is the cost of a model with one replica, per unit of its
	// share of the demand, because the loss of one engine makes it unavailable.
	singleReplicaCost = 0.4
	// storeLoadCost is the cost of a load from the weight store, and copyLoadCost
	// that of a load from an engine's own copy; a move must gain more than its load
	// costs. The unit is the cost of one engine with an even share of the demand.
	// A load takes seconds, and an unload drops the engine's prefix cache.
	storeLoadCost = 0.72
	copyLoadCost  = 0.36
	// One plan makes at most movesPerPlan moves, or one for each enginesPerMove
	// engines if that is more, but no more than maxMovesPerPlan. Plans are made several
	// times a second.
	movesPerPlan    = 3
	enginesPerMove  = 12
	maxMovesPerPlan = 24
	// maxSampledEngines is the number of engines above which only some are weighed for each
	// move, others each time: with 2,600 engines a plan took 0.27 s.
	maxSampledEngines = 512
	// Staging loads a model only to leave a copy of its weights on an engine's disk.
	// It happens while less than stagingBusyFraction of the engines are busy, and
	// may raise the cost of the placement by at most maxStagingLoss, in the cost of
	// one engine with an even share of the demand.
	stagingBusyFraction = 0.25
	maxStagingLoss      = 0.14
	// minLoadsForStaging is the number of loads that the weight store must allow
	// before a model is staged, so that staging does not delay loads for demand.
	minLoadsForStaging = 2
	// maxCandidateModels bounds the models for which moves are evaluated.
	maxCandidateModels = 8
)

// Engine is the planner's view of an instance.
type Engine struct {
	Instance         kumquathitch.Instance
	Models           kumquathitch.ResidentModels // Resident, loading, or to be loaded by an open order.
	Unlisted         []string                    // Names of Models that the service does not list.
	Loading          string                      // The model that is being loaded, or is about to be; empty for none.
	HeldMB           map[string]float64          // Memory of each of Models; one that is missing takes what the service lists.
	UsedMB           float64                     // Memory of all Models, without their adapters.
	AdaptersMB       float64                     // Memory of the adapters in Models, and of those added by a plan.
	Busy             bool                        // No model order can be sent now.
	UsedAdapterSlots int                         // Slots of the adapters in Models, and of those added by a plan.
	AdaptersInFlight int                         // Adapter orders in flight.
	RecentAdapters   map[string]bool             // Recently ordered adapters, by model, a slash, and adapter; they are not evicted.
	RecentModels     map[string]bool             // Recently loaded models, which are not unloaded.
}

// Engines is a list of engines.
type Engines []Engine

// Demand is the demand for a service, in tokens per second.
type Demand struct {
	Models   map[string]float64 // By model, including its adapters.
	Adapters map[string]float64 // By model, a slash, and adapter.
}

// Action is an order that a plan requires.
type Action struct {
	Instance  kumquathitch.Instance
	Unload    bool
	Model     string
	Adapter   string
	FromStore bool // The load reads from the weight store and counts against its rate limit.
	Reason    string
}

// Move loads a model on an engine, after the unloads that free the memory.
type Move struct {
	Unloads []Action
	Load    Action
}

// Plan returns the moves of models of a service that gain most. loads is the
// number of loads from the weight store that may start now.
//
// The cost of a placement is the sum of the squares of the engines' shares of the
// demand, scaled so that an even distribution costs 1, plus penalties for models
// with too few replicas. Each model's demand is assumed to be spread evenly over
// its replicas. A move is made when it lowers the cost by more than its load costs. An engine
// without models first gets one whose replicas are overloaded.
func Plan(spec *kumquathitch.EngineSpec, engines Engines, demand Demand, loads int) []Move {
	p := newPlanner(spec, engines, demand)
	var moves []Move
	for range min(maxMovesPerPlan, max(movesPerPlan, len(engines)/enginesPerMove)) {
		best, ok := p.bestMove(loads > 0)
		if !ok {
			break
		}
		if best.fromStore {
			loads--
		}
		moves = append(moves, p.apply(best))
	}
	if len(moves) == 0 && loads >= minLoadsForStaging {
		if staged, ok := p.stagingMove(); ok {
			moves = append(moves, p.apply(staged))
		}
	}
	return moves
}

// UnloadUnlisted returns the unloads of models that the service does not list any more, at most
// one on each engine, and marks these engines as busy.
func UnloadUnlisted(engines Engines) []Action {
	var unloads []Action
	for i := range engines {
		e := &engines[i]
		if e.Busy || len(e.Unlisted) == 0 {
			continue
		}
		unloads = append(unloads, Action{Instance: e.Instance, Unload: true, Model: e.Unlisted[0], Reason: "not listed"})
		e.Busy = true
	}
	return unloads
}

type planner struct {
	spec        *kumquathitch.EngineSpec
	engines     Engines
	shares      map[string]float64 // Share of the demand, by model.
	minReplicas map[string]int     // Replicas required for the adapters in demand, by model.
	holders     map[string][]int   // Indices of the engines that hold a model.
	copies      map[string]int     // Number of engines with a copy of the weights, by model.
	engineLoads []float64          // Share of the demand, by engine.
	reserveMB   float64            // Memory for adapters on each engine.
	sizesMB     map[string]float64 // Memory that the service lists, by model.
	sums        loadSums           // Of the present holders and loads.
}

// candidate is a possible move.
type candidate struct {
	model     *kumquathitch.ModelSpec
	engine    int      // Index of the engine.
	victims   []string // Models to unload first.
	fromStore bool
	gain      float64 // Decrease of the cost of the placement, less the load cost unless the move only stages.
}

func newPlanner(spec *kumquathitch.EngineSpec, engines Engines, demand Demand) *planner {
	p := &planner{
		spec: spec, engines: slices.Clone(engines), shares: map[string]float64{}, minReplicas: map[string]int{},
		holders: map[string][]int{}, copies: map[string]int{}, engineLoads: make([]float64, len(engines)), reserveMB: adapterReserveMB(spec),
		sizesMB: make(map[string]float64, len(spec.Models)),
	}
	total := 0.0
	for _, m := range spec.Models {
		p.sizesMB[m.Name] = m.MemoryMB
		if demand.Models[m.Name] >= idleDemand {
			total += demand.Models[m.Name]
		}
	}
	for _, m := range spec.Models {
		if tokens := demand.Models[m.Name]; tokens >= idleDemand {
			p.shares[m.Name] = tokens / total
		}
	}
	for target, tokens := range demand.Adapters {
		if model, _, _ := strings.Cut(target, "/"); tokens >= idleDemand {
			p.minReplicas[model]++
		}
	}
	for model, adapters := range p.minReplicas {
		p.minReplicas[model] = (adapters + max(1, spec.AdapterSlots) - 1) / max(1, spec.AdapterSlots)
	}
	for i := range engines {
		for _, r := range engines[i].Models {
			p.holders[r.Name] = append(p.holders[r.Name], i)
		}
		for _, name := range copiesOn(&engines[i]) {
			p.copies[name]++
		}
	}
	for model, held := range p.holders {
		for _, i := range held {
			p.engineLoads[i] += p.shares[model] / float64(len(held))
		}
	}
	p.updateSums()
	return p
}

// adapterReserveMB returns the memory that is reserved for adapters on each engine, in MB.
func adapterReserveMB(spec *kumquathitch.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.AdapterCount > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// freeMB returns the memory of an engine that neither models nor adapters take.
func (e *Engine) freeMB(spec *kumquathitch.EngineSpec) float64 {
	return spec.MemoryMB - e.UsedMB - e.AdaptersMB
}

// freeForModelMB returns the memory of an engine that a model can take. Adapters may take more
// than their reserve if the configuration has changed since they were loaded.
func (e *Engine) freeForModelMB(spec *kumquathitch.EngineSpec, reserveMB float64) float64 {
	return spec.MemoryMB - e.UsedMB - max(reserveMB, e.AdaptersMB)
}

// bestMove returns the move with the greatest gain. Without allowStore, only
// engines with a copy of the weights are considered.
func (p *planner) bestMove(allowStore bool) (candidate, bool) {
	var best candidate
	sample := p.sampleEngines()
	for _, m := range p.candidateModels() {
		for _, i := range sample {
			e := &p.engines[i]
			fromStore := !slices.Contains(e.Instance.CachedModels, m.Name)
			if e.Busy || e.Models.Holds(m.Name, "") || (fromStore && !allowStore) {
				continue
			}
			cost := p.engineCost(copyLoadCost)
			if fromStore {
				cost = p.engineCost(storeLoadCost)
			}
			cost -= p.relief(m.Name, e)
			for _, victims := range p.victimSets(m, e) {
				gain := p.gain(m.Name, i, victims) - cost
				if gain > best.gain {
					best = candidate{model: m, engine: i, victims: victims, fromStore: fromStore, gain: gain}
				}
			}
		}
	}
	return best, best.model != nil
}

// sampleEngines returns the indices of the engines that are weighed for the next move: all
// of a small fleet, and of a large one every n-th and those without models.
func (p *planner) sampleEngines() []int {
	step := 1 + len(p.engines)/(maxSampledEngines+1)
	busy := 0
	for i := range p.engines {
		if p.engines[i].Busy {
			busy++
		}
	}
	sample := make([]int, 0, min(len(p.engines), maxSampledEngines))
	for i := range p.engines {
		e := &p.engines[i]
		if !e.Busy && (i%step == busy%step || len(e.Models) == 0) { // Each move makes one more engine busy.
			sample = append(sample, i)
		}
	}
	return sample
}

// copiesOn returns the models whose weights an engine has in memory or on disk.
func copiesOn(e *Engine) []string {
	names := slices.Clone(e.Instance.CachedModels)
	for _, r := range e.Models {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// stagingMove returns the load of the model with the fewest copies on an engine
// with room on its disk. A later load from that copy takes only a second or two.
func (p *planner) stagingMove() (candidate, bool) {
	busy, size := 0, 0.0
	for i := range p.engines {
		if p.engines[i].Busy {
			busy++
		}
	}
	for _, m := range p.spec.Models {
		size = max(size, m.MemoryMB)
	}
	if size == 0 || float64(busy) >= stagingBusyFraction*float64(len(p.engines)) {
		return candidate{}, false
	}
	copiesPerEngine := int(p.spec.DiskMB / size)
	enough := copiesPerEngine * len(p.engines) / max(1, len(p.spec.Models))
	var best candidate
	sample := p.sampleEngines()
	for i := range p.spec.Models {
		m := &p.spec.Models[i]
		if p.copies[m.Name] >= enough || (best.model != nil && p.copies[m.Name] >= p.copies[best.model.Name]) {
			continue
		}
		if found, ok := p.stageOnBest(m, sample, copiesPerEngine); ok {
			best = found
		}
	}
	return best, best.model != nil
}

// stageOnBest returns the staging load of a model on the engine where it costs least.
func (p *planner) stageOnBest(m *kumquathitch.ModelSpec, sample []int, copiesPerEngine int) (candidate, bool) {
	var best candidate
	for _, i := range sample {
		e := &p.engines[i]
		copies := copiesOn(e)
		if slices.Contains(copies, m.Name) || len(copies) >= copiesPerEngine {
			continue
		}
		for _, victims := range p.victimSets(m, e) {
			gain := p.gain(m.Name, i, victims)
			if gain > -p.engineCost(maxStagingLoss) && (best.model == nil || gain > best.gain) {
				best = candidate{model: m, engine: i, victims: victims, fromStore: true, gain: gain}
			}
		}
	}
	return best, best.model != nil
}

// candidateModels returns the models for which another replica would gain most,
// disregarding any unloads that it needs.
func (p *planner) candidateModels() []*kumquathitch.ModelSpec {
	weight := func(m *kumquathitch.ModelSpec) float64 {
		held, share := len(p.holders[m.Name]), p.shares[m.Name]
		gain := p.replicaCost(m.Name, held) - p.replicaCost(m.Name, held+1)
		if held > 0 {
			gain += float64(len(p.engines)) * share * share / float64(held*(held+1))
		}
		return gain
	}
	type weighed struct {
		model  *kumquathitch.ModelSpec
		weight float64
	}
	all := make([]weighed, 0, len(p.spec.Models))
	for i := range p.spec.Models {
		all = append(all, weighed{model: &p.spec.Models[i], weight: weight(&p.spec.Models[i])})
	}
	slices.SortStableFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	models := make([]*kumquathitch.ModelSpec, 0, maxCandidateModels)
	for _, w := range all[:min(maxCandidateModels, len(all))] {
		models = append(models, w.model)
	}
	return models
}

// victimSets returns the sets of models whose unloads would free the memory for a
// model on an engine. Each set has at most two models; one that is empty means
// that the model fits as it is.
func (p *planner) victimSets(m *kumquathitch.ModelSpec, e *Engine) [][]string {
	free := e.freeForModelMB(p.spec, p.reserveMB)
	if free >= m.MemoryMB {
		return [][]string{nil}
	}
	var sets [][]string
	for i, first := range e.Models {
		if e.RecentModels[first.Name] {
			continue
		}
		if size := p.heldMB(e, first.Name); free+size >= m.MemoryMB {
			sets = append(sets, []string{first.Name})
			continue
		}
		for _, second := range e.Models[i+1:] {
			if !e.RecentModels[second.Name] && free+p.heldMB(e, first.Name)+p.heldMB(e, second.Name) >= m.MemoryMB {
				sets = append(sets, []string{first.Name, second.Name})
			}
		}
	}
	return sets
}

// relief returns the cost of the calls that the replicas of a model are taken to refuse, if
// the engine holds no models: engines that crash come back empty, and what they held is
// missing most.
func (p *planner) relief(model string, e *Engine) float64 {
	held := len(p.holders[model])
	if len(e.Models) > 0 || held == 0 { // Without a replica, it is part of replicaCost.
		return 0
	}
	return unservedDemandCost * max(0, p.shares[model]/float64(held)-p.engineCost(overloadFactor))
}

// engineCost converts a cost from the unit of one engine with an even share of the
// demand to that of the whole placement, where all engines together cost 1.
func (p *planner) engineCost(engines float64) float64 {
	return engines / float64(max(1, len(p.engines)))
}

// replicaCost returns the penalty for a model by its number of replicas alone.
func (p *planner) replicaCost(model string, replicas int) float64 {
	share := p.shares[model]
	cost := 0.0
	switch {
	case replicas <= 0 && p.copies[model] > 0:
		cost = p.engineCost(unplacedCopyCost) + unservedDemandCost*share
	case replicas <= 0:
		cost = p.engineCost(unplacedCost) + unservedDemandCost*share
	case replicas == 1:
		cost = singleReplicaCost * share
	}
	if share > 0 && replicas < p.minReplicas[model] {
		cost += singleReplicaCost * share * float64(p.minReplicas[model]-replicas)
	}
	return cost
}

// apply records a candidate as made, and returns it as a move.
func (p *planner) apply(c candidate) Move {
	e := &p.engines[c.engine]
	move := Move{Load: Action{Instance: e.Instance, Model: c.model.Name, FromStore: c.fromStore, Reason: fmt.Sprintf("gain %.3f", c.gain)}}
	for _, victim := range c.victims {
		move.Unloads = append(move.Unloads, Action{Instance: e.Instance, Unload: true, Model: victim, Reason: "room for " + c.model.Name})
		p.setHolders(victim, slices.DeleteFunc(slices.Clone(p.holders[victim]), func(i int) bool { return i == c.engine }))
	}
	p.setHolders(c.model.Name, append(slices.Clone(p.holders[c.model.Name]), c.engine))
	p.updateSums()
	e.Busy = true
	return move
}

// setHolders replaces the holders of a model and updates the engines' loads.
func (p *planner) setHolders(model string, holders []int) {
	share := p.shares[model]
	for _, i := range p.holders[model] {
		p.engineLoads[i] -= share / float64(len(p.holders[model]))
	}
	for _, i := range holders {
		p.engineLoads[i] += share / float64(len(holders))
	}
	p.holders[model] = holders
}

// heldMB returns the memory that a model takes on an engine.
func (p *planner) heldMB(e *Engine, model string) float64 {
	if size, ok := e.HeldMB[model]; ok {
		return size
	}
	return p.sizesMB[model]
}
