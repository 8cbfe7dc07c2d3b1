package model

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
)

const (
	// minGainRatio is the least ratio of the value gained to the value lost for a
	// load that evicts replicas.
	minGainRatio = 1.2
	// minMoveInterval is the minimum time between two moves of a model. It must be
	// longer than moveTTL: while a move may still be started, no other may be
	// planned for its model.
	minMoveInterval = 60 * time.Second
	// moveTTL is the time after planning within which a move may be started.
	moveTTL = 20 * time.Second
	// maxLoadsPerPlan bounds the loads of one plan, and those that evictions make
	// room for. A weight store that allows a few loads per second cannot carry out
	// more before the next plan.
	maxLoadsPerPlan = 64
)

// Server is the planner's input for one engine.
type Server struct {
	Upstream        kumquathitch.Upstream
	Plan            accelerator.Plan
	StartupModels   accelerator.Allocations // Models loaded when the engine starts.
	StartupAdapters accelerator.Allocations // Adapters loaded when the engine starts.
	Available       bool                    // The server may get new work.
}

// PlanInput is everything that the plan of one data centre depends on.
type PlanInput struct {
	Models                 kumquathitch.Models
	Homes                  map[string]Home      // By model, of the models whose home is in this data centre.
	ServedElsewhere        map[string]string    // By model whose home is in another data centre, a server that serves it there.
	Servers                []Server             // Engines of this data centre.
	Demand                 map[string]float64   // By model, tokens per second.
	ReplicaTokensPerSecond float64              // Demand that one replica should carry.
	LastMoved              map[string]time.Time // By model, when a move of it was last planned.
}

// Move is the load or unload of a model on a server.
type Move struct {
	Action   string          `json:"action"` // kumquathitch.ActionLoad or ActionUnload.
	Server   string          `json:"server"`
	Key      accelerator.Key `json:"key"`
	Bytes    int64           `json:"bytes,omitempty"`
	Deadline time.Time       `json:"deadline"` // Latest time to start the move.
	// RemainingServer is a server that goes on serving an unloaded model. Its
	// engine is asked before the unload order is sent. It is empty when the model
	// is no longer listed.
	RemainingServer string `json:"keeper,omitempty"`
}

// Moves is a list of moves, most urgent first.
type Moves []Move

// Plan returns the moves that a data centre should start now. A load goes to an
// accelerator with enough free memory. If there is none, the least valuable
// replicas are unloaded, and a later plan contains the load.
func Plan(input PlanInput, now time.Time) Moves {
	p := newPlanner(input, now)
	p.unloadObsolete()
	for _, need := range p.neededLoads() {
		if p.loads+p.evictions >= maxLoadsPerPlan {
			break
		}
		p.planLoad(need)
	}
	return p.withRemainingServers()
}

// withRemainingServers returns the planned moves with RemainingServer set in
// unloads, without those unloads that would leave no server.
func (p *planner) withRemainingServers() Moves {
	serving := map[string]string{}
	for i := range p.input.Servers {
		s := &p.input.Servers[i]
		if !s.Available {
			continue
		}
		for j := range s.Plan.Allocations {
			alloc := &s.Plan.Allocations[j]
			state := p.models[alloc.Name]
			if state == nil || !alloc.Serving() || p.unloaded[alloc] {
				continue
			}
			if _, ok := serving[alloc.Name]; !ok || alloc.Version == state.Model.Version {
				serving[alloc.Name] = s.Upstream.Name
			}
		}
	}
	var kept Moves
	for _, m := range p.moves {
		if m.Action == kumquathitch.ActionUnload && p.models[m.Key.Name] != nil {
			if m.RemainingServer = cmp.Or(serving[m.Key.Name], p.input.ServedElsewhere[m.Key.Name]); m.RemainingServer == "" {
				continue
			}
		}
		kept = append(kept, m)
	}
	return kept
}

// urgency is the class of a needed load. Lower values are planned first.
type urgency int

const (
	homeReplica  urgency = iota // The model's home is here, and it has no replica here.
	firstReplica                // The model has no replica here, or none of the listed version.
	extraReplica                // The demand needs more replicas.
)

type neededLoad struct {
	Model   *kumquathitch.Model
	Urgency urgency
	Gain    float64 // Demand per replica after the load, tokens per second.
}

// modelState counts the replicas of a model in the data centre.
type modelState struct {
	Model       *kumquathitch.Model
	Wanted      int     // Replicas that the demand needs, at least 1.
	Serving     int     // Confirmed replicas of any version that are not being unloaded.
	Current     int     // Serving replicas of the listed version.
	Loading     int     // Loads of the listed version that may still succeed.
	Demand      float64 // Tokens per second.
	InCooldown  bool    // A move was planned less than minMoveInterval ago, or by this plan.
	MovePending bool    // A move was planned less than moveTTL ago and may not have been started yet.
}

type planner struct {
	input        PlanInput
	now          time.Time
	models       map[string]*modelState
	servers      map[string]int             // Index by name.
	free         [][]accelerator.FreeMemory // By server and accelerator.
	pendingFree  [][]int64                  // Bytes that pending unloads will free, by server and accelerator.
	plannedLoads map[plannedLoad]bool
	unloaded     map[*accelerator.Allocation]bool // Unloaded by this plan.
	moves        Moves
	loads        int // Loads planned.
	evictions    int // Loads for which evictions were tried.
}

type plannedLoad struct {
	Server int
	Model  string
}

func newPlanner(input PlanInput, now time.Time) *planner {
	p := &planner{
		input: input, now: now, models: make(map[string]*modelState, len(input.Models)),
		plannedLoads: map[plannedLoad]bool{}, unloaded: map[*accelerator.Allocation]bool{},
		servers: make(map[string]int, len(input.Servers)),
	}
	for i := range input.Models {
		m := &input.Models[i]
		moved, ok := input.LastMoved[m.Name]
		demand := input.Demand[m.Name]
		p.models[m.Name] = &modelState{
			Model: m, Demand: demand, InCooldown: ok && now.Before(moved.Add(minMoveInterval)),
			MovePending: ok && now.Before(moved.Add(moveTTL)),
			Wanted:      max(1, int(math.Ceil(demand/max(input.ReplicaTokensPerSecond, 1)))),
		}
	}
	for i := range input.Servers {
		s := &input.Servers[i]
		p.servers[s.Upstream.Name] = i
		p.free = append(p.free, s.Plan.FreeMemory(s.Upstream, s.StartupModels))
		p.pendingFree = append(p.pendingFree, make([]int64, len(s.Upstream.Accelerators)))
		p.countServer(i, s)
	}
	return p
}

// countServer adds the replicas on a server to the states of their models.
func (p *planner) countServer(server int, s *Server) {
	if len(s.Upstream.Accelerators) == 0 { // Not managed by placement: it keeps its startup models.
		for _, name := range s.Upstream.Models {
			if state := p.models[name]; state != nil && s.Available {
				state.Serving++
				state.Current++
			}
		}
		return
	}
	for i := range s.Plan.Allocations {
		alloc := &s.Plan.Allocations[i]
		if alloc.Unload.ID != "" && alloc.Accelerator < len(p.pendingFree[server]) {
			p.pendingFree[server][alloc.Accelerator] += alloc.Bytes
		}
		state := p.models[alloc.Name]
		if state == nil || !s.Available {
			continue
		}
		current := alloc.Version == state.Model.Version
		switch {
		case alloc.Serving():
			state.Serving++
			if current {
				state.Current++
			}
		case current && alloc.Unload.ID == "" && (alloc.Loading || !p.now.After(alloc.Load.ExecutableUntil)):
			state.Loading++
		}
	}
}

// unloadObsolete unloads models that are no longer listed, and old versions
// while enough other replicas serve.
func (p *planner) unloadObsolete() {
	inCooldown := map[string]bool{}
	for name, state := range p.models {
		inCooldown[name] = state.InCooldown
	}
	for i := range p.input.Servers {
		s := &p.input.Servers[i]
		for j := range s.Plan.Allocations {
			alloc := &s.Plan.Allocations[j]
			state := p.models[alloc.Name]
			switch {
			case !canUnload(s, alloc) || inCooldown[alloc.Name]:
			case state == nil:
				p.unload(i, alloc)
			case alloc.Version != state.Model.Version && state.Current >= 1 && state.Serving > state.Wanted:
				p.unload(i, alloc)
			}
		}
	}
}

// canUnload reports whether an order to unload an allocation may be sent.
func canUnload(s *Server, alloc *accelerator.Allocation) bool {
	return s.Available && alloc.Settled && alloc.Unload.ID == "" && alloc.Accelerator < len(s.Upstream.Accelerators)
}

// neededLoads returns the loads that models need, most urgent first. It lists
// all replicas that a model lacks at once: a step in the demand for a model is
// handled by one plan.
func (p *planner) neededLoads() []neededLoad {
	var needed []neededLoad
	for i := range p.input.Models {
		state := p.models[p.input.Models[i].Name]
		current := state.Current + state.Loading
		if state.Serving == 0 && state.Loading == 0 && p.hasHome(state.Model.Name) && !state.MovePending {
			needed = append(needed, neededLoad{Model: state.Model, Urgency: homeReplica, Gain: state.Demand})
			continue
		}
		if state.InCooldown {
			continue
		}
		for k := current; k < state.Wanted && k < current+maxLoadsPerPlan; k++ {
			need := neededLoad{Model: state.Model, Urgency: extraReplica, Gain: state.Demand / float64(k+1)}
			if k == 0 {
				need.Urgency = firstReplica
			}
			needed = append(needed, need)
		}
	}
	slices.SortStableFunc(needed, func(a, b neededLoad) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(b.Gain, a.Gain), cmp.Compare(a.Model.Name, b.Model.Name))
	})
	return needed
}

func (p *planner) hasHome(name string) bool {
	_, ok := p.input.Homes[name]
	return ok
}

// planLoad plans one load, or the unloads that make room for it. It prefers the
// model's home: all models with the same home fit there together.
func (p *planner) planLoad(need neededLoad) {
	bytes := need.Model.Bytes + need.Model.CacheReserve
	home, homeAvailable := p.homeServer(need.Model)
	if homeAvailable && p.fits(home, p.input.Homes[need.Model.Name].Accelerator, need.Model, bytes) {
		p.load(home, p.input.Homes[need.Model.Name].Accelerator, need.Model, bytes)
		return
	}
	if server, accel := p.mostFree(need.Model, bytes); server >= 0 {
		p.load(server, accel, need.Model, bytes)
		return
	}
	p.evictions++
	if !p.evictFor(need, bytes) && homeAvailable && need.Urgency != extraReplica {
		p.restoreHomes()
	}
}

// homeServer returns the index of a model's home server, if that is in this
// data centre and available.
func (p *planner) homeServer(m *kumquathitch.Model) (int, bool) {
	home, ok := p.input.Homes[m.Name]
	if !ok || home.Server == "" {
		return -1, false
	}
	i, ok := p.servers[home.Server]
	return i, ok && p.input.Servers[i].Available
}

// restoreHomes moves one model whose only replica is elsewhere in the data
// centre to its home. Once all models are at home, every model whose home is
// here fits, and the room that CheckChange found is free or taken by replicas
// that may be unloaded. Models that block each other's homes are first moved to
// any other accelerator.
func (p *planner) restoreHomes() {
	misplaced := p.misplaced()
	for _, m := range misplaced {
		home, _ := p.homeServer(m)
		if p.moveHome(m, home, p.input.Homes[m.Name].Accelerator) {
			return
		}
	}
	for _, m := range misplaced {
		bytes := m.Bytes + m.CacheReserve
		if server, accel := p.mostFree(m, bytes); server >= 0 {
			p.load(server, accel, m, bytes)
			return
		}
		if p.evictFor(neededLoad{Model: m, Urgency: homeReplica}, bytes) {
			return
		}
	}
}

// misplaced returns the models whose only replica here is not at its home.
func (p *planner) misplaced() []*kumquathitch.Model {
	var misplaced []*kumquathitch.Model
	for i := range p.input.Servers {
		s := &p.input.Servers[i]
		for j := range s.Plan.Allocations {
			alloc := &s.Plan.Allocations[j]
			state := p.models[alloc.Name]
			if state == nil || state.Serving != 1 || state.InCooldown || !alloc.Serving() || p.unloaded[alloc] {
				continue
			}
			if home, ok := p.homeServer(state.Model); ok && (home != i || p.input.Homes[alloc.Name].Accelerator != alloc.Accelerator) {
				misplaced = append(misplaced, state.Model)
			}
		}
	}
	return misplaced
}

// moveHome loads a model at its home, or unloads the replicas that block it
// there. It returns false when neither is possible.
func (p *planner) moveHome(m *kumquathitch.Model, home, accel int) bool {
	bytes := m.Bytes + m.CacheReserve
	if p.fits(home, accel, m, bytes) {
		p.load(home, accel, m, bytes)
		return true
	}
	missing := bytes - p.free[home][accel].Running - p.pendingFree[home][accel]
	e, ok := p.leastLoss(neededLoad{Model: m, Urgency: homeReplica}, home, accel, missing)
	if !ok || p.hasModel(home, m) {
		return false
	}
	for _, alloc := range e.Allocations {
		p.unload(home, alloc)
	}
	return true
}

func (p *planner) fits(server, accel int, m *kumquathitch.Model, bytes int64) bool {
	free := p.free[server][accel]
	return free.Running >= bytes && free.AfterRestart >= bytes && !p.input.Servers[server].Plan.LastReportAt.IsZero() && !p.hasModel(server, m)
}

// hasModel reports whether a server has the listed version of a model, or may get it.
func (p *planner) hasModel(server int, m *kumquathitch.Model) bool {
	if p.plannedLoads[plannedLoad{server, m.Name}] {
		return true
	}
	return slices.ContainsFunc(p.input.Servers[server].Plan.Allocations, func(alloc accelerator.Allocation) bool {
		return alloc.Name == m.Name && alloc.Version == m.Version
	})
}

// mostFree returns the accelerator with the most free memory for a load; server
// is -1 when the load fits on none.
func (p *planner) mostFree(m *kumquathitch.Model, bytes int64) (server, accel int) {
	server, most := -1, int64(-1)
	for i := range p.input.Servers {
		s := &p.input.Servers[i]
		if !s.Available || s.Plan.LastReportAt.IsZero() {
			continue
		}
		for j, free := range p.free[i] {
			if free.Running >= bytes && free.AfterRestart >= bytes && free.Running > most && !p.hasModel(i, m) {
				server, accel, most = i, j, free.Running
			}
		}
	}
	return server, accel
}

func (p *planner) load(server, accel int, m *kumquathitch.Model, bytes int64) {
	s := &p.input.Servers[server]
	p.moves = append(p.moves, Move{
		Action: kumquathitch.ActionLoad, Server: s.Upstream.Name, Bytes: bytes, Deadline: p.now.Add(moveTTL),
		Key: accelerator.Key{Accelerator: accel, Name: m.Name, Version: m.Version},
	})
	p.free[server][accel].Running -= bytes
	p.free[server][accel].AfterRestart -= bytes
	p.models[m.Name].InCooldown = true
	p.plannedLoads[plannedLoad{server, m.Name}] = true
	p.loads++
}

func (p *planner) unload(server int, alloc *accelerator.Allocation) {
	s := &p.input.Servers[server]
	p.moves = append(p.moves, Move{
		Action: kumquathitch.ActionUnload, Server: s.Upstream.Name, Key: alloc.Key, Deadline: p.now.Add(moveTTL),
	})
	p.pendingFree[server][alloc.Accelerator] += alloc.Bytes
	p.unloaded[alloc] = true
	if state := p.models[alloc.Name]; state != nil {
		state.InCooldown = true
		if alloc.Serving() {
			state.Serving--
		}
	}
}
