package placement

// loadSums holds sums over the engines of each model, by which the gain of a move is computed
// in a time that does not depend on the number of engines. With 858 engines and a loop over
// those of each model in every gain, one plan took 29 s of the leader.
type loadSums struct {
	index map[string]int // Of each configured model in capacity and load.
	// capacity and load are the capacity and the load of the engines that hold a model.
	capacity []float64
	load     []float64
	shared   map[modelPair]float64 // Capacity of the engines that hold both of two models.
}

// modelPair is a pair of indices of models, the lower one first.
type modelPair struct{ a, b int }

func newModelPair(a, b int) modelPair {
	return modelPair{a: min(a, b), b: max(a, b)}
}

// updateSums computes the sums for the present holders and loads.
func (p *planner) updateSums() {
	s := &p.sums
	if s.index == nil {
		s.index = make(map[string]int, len(p.spec.Models))
		for i := range p.spec.Models {
			s.index[p.spec.Models[i].Name] = i
		}
	}
	s.capacity, s.load = make([]float64, len(p.spec.Models)), make([]float64, len(p.spec.Models))
	s.shared = map[modelPair]float64{}
	held := make([][]int, len(p.engines)) // Models of each engine.
	for m := range p.spec.Models {
		for _, i := range p.holders[p.spec.Models[m].Name] {
			s.capacity[m] += p.capacities[i]
			s.load[m] += p.engineLoads[i]
			for _, other := range held[i] {
				s.shared[newModelPair(m, other)] += p.capacities[i]
			}
			held[i] = append(held[i], m)
		}
	}
}

// loadShift is the change of the load of the engines of one model by a move, without that of
// the engine which the move changes. The load of each engine changes by factor times its
// capacity.
type loadShift struct {
	model    int
	factor   float64
	capacity float64 // Of these engines.
	load     float64
}

// gain returns the decrease of the cost of the placement by a move: of the sum of the squares
// of the engines' loads, each divided by its capacity, and of the penalties for replicas.
func (p *planner) gain(model string, engine int, victims []string) float64 {
	capacity, load := p.capacities[engine], p.engineLoads[engine]
	held := len(p.holders[model])
	gain := p.replicaCost(model, held) - p.replicaCost(model, held+1)
	shifts := make([]loadShift, 0, 3) // A move has at most two victims.
	change := 0.0                     // Of the load of the engine.
	if m, ok := p.sums.index[model]; ok {
		shift := loadShift{model: m, capacity: p.sums.capacity[m], load: p.sums.load[m]}
		if held > 0 {
			shift.factor = p.shares[model] * (1/(shift.capacity+capacity) - 1/shift.capacity)
		}
		change += p.shares[model] * capacity / (shift.capacity + capacity)
		shifts = append(shifts, shift)
	}
	for _, victim := range victims {
		held := len(p.holders[victim])
		gain += p.replicaCost(victim, held) - p.replicaCost(victim, held-1)
		if v, ok := p.sums.index[victim]; ok {
			before := p.sums.capacity[v]
			shift := loadShift{model: v, capacity: before - capacity, load: p.sums.load[v] - load}
			if held > 1 {
				shift.factor = p.shares[victim] * (1/shift.capacity - 1/before)
			}
			change -= p.shares[victim] * capacity / before
			shifts = append(shifts, shift)
		}
	}
	increase := (2*load*change + change*change) / capacity
	for k, a := range shifts {
		increase += 2*a.factor*a.load + a.factor*a.factor*a.capacity
		for _, b := range shifts[k+1:] {
			increase += 2 * a.factor * b.factor * p.sharedCapacity(a.model, b.model, k > 0, capacity)
		}
	}
	return gain - float64(len(p.engines))*increase
}

// sharedCapacity returns the capacity of the engines that hold both of two models, without
// that of an engine which the move changes, if it holds both.
func (p *planner) sharedCapacity(a, b int, bothOnEngine bool, capacity float64) float64 {
	shared := p.sums.shared[newModelPair(a, b)]
	if bothOnEngine {
		shared -= capacity
	}
	return shared
}
