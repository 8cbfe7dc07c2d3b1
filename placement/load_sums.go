package placement

// loadSums holds sums over the engines of each model, by which the gain of a move is computed
// in a time that does not depend on the number of engines. With 858 engines and a loop over
// those of each model in every gain, one plan took 29 s of the leader.
type loadSums struct {
	index  map[string]int        // Of each configured model in load.
	load   []float64             // Load of the engines that hold a model.
	shared map[modelPair]float64 // Number of the engines that hold both of two models.
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
	s.load = make([]float64, len(p.spec.Models))
	s.shared = map[modelPair]float64{}
	held := make([][]int, len(p.engines)) // Models of each engine.
	for m := range p.spec.Models {
		for _, i := range p.holders[p.spec.Models[m].Name] {
			s.load[m] += p.engineLoads[i]
			for _, other := range held[i] {
				s.shared[newModelPair(m, other)]++
			}
			held[i] = append(held[i], m)
		}
	}
}

// loadShift is the change of the load of the engines of one model by a move, without that of
// the engine which the move changes.
type loadShift struct {
	model   int
	change  float64 // Of the load of each of these engines.
	engines float64 // Their number.
	load    float64 // Their load before, together.
}

// gain returns the decrease of the cost of the placement by a move: of the sum of the squares
// of the engines' loads, and of the penalties for replicas.
func (p *planner) gain(model string, engine int, victims []string) float64 {
	load := p.engineLoads[engine]
	held := len(p.holders[model])
	gain := p.replicaCost(model, held) - p.replicaCost(model, held+1)
	shifts := make([]loadShift, 0, 3) // A move has at most two victims.
	change := 0.0                     // Of the load of the engine.
	if m, ok := p.sums.index[model]; ok {
		shift := loadShift{model: m, engines: float64(held), load: p.sums.load[m]}
		if held > 0 {
			shift.change = p.shares[model] * (1/float64(held+1) - 1/float64(held))
		}
		change += p.shares[model] / float64(held+1)
		shifts = append(shifts, shift)
	}
	for _, victim := range victims {
		held := len(p.holders[victim])
		gain += p.replicaCost(victim, held) - p.replicaCost(victim, held-1)
		if v, ok := p.sums.index[victim]; ok {
			shift := loadShift{model: v, engines: float64(held - 1), load: p.sums.load[v] - load}
			if held > 1 {
				shift.change = p.shares[victim] * (1/float64(held-1) - 1/float64(held))
			}
			change -= p.shares[victim] / float64(held)
			shifts = append(shifts, shift)
		}
	}
	increase := 2*load*change + change*change
	for k, a := range shifts {
		increase += 2*a.change*a.load + a.change*a.change*a.engines
		for _, b := range shifts[k+1:] {
			shared := p.sums.shared[newModelPair(a.model, b.model)]
			if k > 0 { // The engine holds both victims.
				shared--
			}
			increase += 2 * a.change * b.change * shared
		}
	}
	return gain - float64(len(p.engines))*increase
}
