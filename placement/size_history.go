package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// unlistedSizeTTL is how long the sizes of a model are kept after a configuration has
	// removed it. Then the model counts as one of unknown size.
	unlistedSizeTTL = time.Hour
	// maxReplacedSizes bounds the earlier sizes kept for a model.
	maxReplacedSizes = 8
)

// sizeHistory keeps the sizes that configurations listed for the models of each service. An
// engine that loaded a model under an earlier configuration still holds as much as that one
// listed. It is safe for concurrent use.
type sizeHistory struct {
	shards [shardCount]sizeShard
}

type sizeShard struct {
	mutex    sync.Mutex
	services map[string]modelSizes // By service.
}

// modelSizes are the sizes of the models of a service: those in force, and earlier ones.
type modelSizes struct {
	spec     *kumquathitch.EngineSpec
	listed   map[string]*kumquathitch.ModelSpec // Models of spec, by name.
	weights  replacedSizes
	adapters replacedSizes // Of one adapter of each model.
}

// replacedSizes are earlier sizes by model; latest last, each one smaller than those before. They
// are immutable.
type replacedSizes map[string][]replacedSize

// replacedSize is a size that a configuration listed until a time.
type replacedSize struct {
	memoryMB float64
	until    time.Time
}

func newSizeHistory() *sizeHistory {
	h := &sizeHistory{}
	for i := range h.shards {
		h.shards[i].services = map[string]modelSizes{}
	}
	return h
}

// record records the sizes that a configuration lists, and returns them with the earlier ones.
func (h *sizeHistory) record(s *kumquathitch.Service, now time.Time) modelSizes {
	shard := &h.shards[kumquathitch.ShardOf(s.Name, shardCount)]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.services[s.Name]
	if known.spec != s.Engine {
		known = known.replacedBy(s.Engine, now)
		shard.services[s.Name] = known
	}
	return known
}

// replacedBy returns the sizes after a configuration has replaced another one.
func (m modelSizes) replacedBy(spec *kumquathitch.EngineSpec, now time.Time) modelSizes {
	next := modelSizes{
		spec: spec, listed: make(map[string]*kumquathitch.ModelSpec, len(spec.Models)),
		weights: m.weights.clone(), adapters: m.adapters.clone(),
	}
	for i := range spec.Models {
		next.listed[spec.Models[i].Name] = &spec.Models[i]
	}
	for name, before := range m.listed {
		listed := next.listed[name]
		if listed == nil || listed.MemoryMB < before.MemoryMB {
			next.weights[name] = addReplaced(m.weights[name], replacedSize{memoryMB: before.MemoryMB, until: now})
		}
		if listed == nil || listed.AdapterMB < before.AdapterMB {
			next.adapters[name] = addReplaced(m.adapters[name], replacedSize{memoryMB: before.AdapterMB, until: now})
		}
	}
	next.weights.dropUnlisted(next.listed, now)
	next.adapters.dropUnlisted(next.listed, now)
	return next
}

// clone returns a copy that can be changed.
func (r replacedSizes) clone() replacedSizes {
	if r == nil {
		return replacedSizes{}
	}
	return maps.Clone(r)
}

// dropUnlisted drops the sizes of models that have not been listed for unlistedSizeTTL.
func (r replacedSizes) dropUnlisted(listed map[string]*kumquathitch.ModelSpec, now time.Time) {
	maps.DeleteFunc(r, func(name string, sizes []replacedSize) bool {
		return listed[name] == nil && now.Sub(sizes[len(sizes)-1].until) > unlistedSizeTTL
	})
}

// largest returns the larger of a size and those that were listed for a model after a time.
func (r replacedSizes) largest(model string, size float64, orderedAt time.Time) float64 {
	for _, replaced := range r[model] {
		if replaced.until.After(orderedAt) {
			size = max(size, replaced.memoryMB)
		}
	}
	return size
}

// addReplaced returns the earlier sizes of a model with one more. A size that a later one exceeds
// says nothing more; beyond maxReplacedSizes, the two earliest are joined to the larger and
// later of both.
func addReplaced(sizes []replacedSize, added replacedSize) []replacedSize {
	kept := slices.DeleteFunc(slices.Clone(sizes), func(r replacedSize) bool { return r.memoryMB <= added.memoryMB })
	kept = append(kept, added)
	if len(kept) > maxReplacedSizes {
		kept[1].memoryMB = kept[0].memoryMB
		kept = kept[1:]
	}
	return kept
}

// memoryMB returns the most memory that a model and each of its adapters take on an engine that was
// ordered to load the model at a time, or at an unknown one if that is zero. It returns false if
// no size of the model is known.
func (m modelSizes) memoryMB(model string, orderedAt time.Time) (weights, adapter float64, known bool) {
	listed, known := m.listed[model]
	if !known {
		listed = &kumquathitch.ModelSpec{}
	}
	weights = m.weights.largest(model, listed.MemoryMB, orderedAt)
	return weights, m.adapters.largest(model, listed.AdapterMB, orderedAt), known || weights > 0
}
