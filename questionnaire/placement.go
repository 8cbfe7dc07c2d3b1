package questionnaire

import (
	"fmt"
	"slices"

	"kumquathitch.example/kumquathitch"
)

// serverMemory tracks the free memory of an engine's server during the assignment.
type serverMemory struct {
	upstream     *kumquathitch.Upstream
	freeWeights  []int64        // Bytes for each accelerator, without its adapter pool.
	freePool     []int64        // Bytes of the adapter pool of each accelerator.
	accelerators map[string]int // Index of the accelerator of each assigned model, by its name.
}

// assignStartupModels sets the models and adapters that each engine loads at its
// start. Each model gets one replica in every data centre that has memory for it, on
// the accelerator with the most free memory. Larger models are assigned first.
func assignStartupModels(config *kumquathitch.Configuration, problems *kumquathitch.Problems) {
	servers := newServerMemories(config.Upstreams)
	models := slices.Clone(config.Models)
	slices.SortStableFunc(models, func(a, b kumquathitch.Model) int {
		return int((b.Bytes + b.CacheReserve - a.Bytes - a.CacheReserve) >> 20) // In MiB, which does not overflow a 32-bit int.
	})
	for i := range models {
		assigned := false
		for _, centre := range config.DataCentres {
			assigned = assignModel(servers, &models[i], centre.Name) || assigned
		}
		if !assigned {
			problems.Add("models."+models[i].Name, fmt.Sprintf("%d MiB", (models[i].Bytes+models[i].CacheReserve)>>20),
				"weights and cache reserve that fit on one accelerator next to the models that are already assigned; add servers or use smaller models")
		}
	}
	for i := range config.Adapters {
		a := &config.Adapters[i]
		if !assignAdapter(servers, a) && config.Models.Find(a.Model) != nil {
			problems.Add("adapters."+a.Name, fmt.Sprintf("%d MiB", a.Bytes>>20),
				"an adapter that fits into the adapter pool of a server with its model")
		}
	}
}

func newServerMemories(upstreams kumquathitch.Upstreams) []*serverMemory {
	var servers []*serverMemory
	for i := range upstreams {
		if upstreams[i].Kind != kumquathitch.KindEngine {
			continue
		}
		s := &serverMemory{upstream: &upstreams[i], accelerators: map[string]int{}}
		for _, a := range upstreams[i].Accelerators {
			s.freeWeights = append(s.freeWeights, a.Bytes-a.AdapterPool)
			s.freePool = append(s.freePool, a.AdapterPool)
		}
		servers = append(servers, s)
	}
	return servers
}

func assignModel(servers []*serverMemory, m *kumquathitch.Model, dataCentre string) bool {
	var best *serverMemory
	accelerator := 0
	for _, s := range servers {
		if s.upstream.DataCentre != dataCentre {
			continue
		}
		for i, free := range s.freeWeights {
			if free >= m.Bytes+m.CacheReserve && (best == nil || free > best.freeWeights[accelerator]) {
				best, accelerator = s, i
			}
		}
	}
	if best == nil {
		return false
	}
	best.freeWeights[accelerator] -= m.Bytes + m.CacheReserve
	best.accelerators[m.Name] = accelerator
	best.upstream.Models = append(best.upstream.Models, m.Name)
	return true
}

// assignAdapter assigns an adapter to every server that has a replica of its model and
// enough memory in its adapter pool. It reports whether there is one.
func assignAdapter(servers []*serverMemory, a *kumquathitch.Adapter) bool {
	assigned := false
	for _, s := range servers {
		accelerator, ok := s.accelerators[a.Model]
		if !ok || s.freePool[accelerator] < a.Bytes {
			continue
		}
		s.freePool[accelerator] -= a.Bytes
		s.upstream.Models = append(s.upstream.Models, a.Name)
		assigned = true
	}
	return assigned
}
