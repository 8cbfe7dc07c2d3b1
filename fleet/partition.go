package fleet

import (
	"math"
	"slices"
	"strconv"

	"kumquathitch.example/kumquathitch"
)

// PartitionOrder returns the partitions that hold engines for a call, the preferred one
// first. Calls whose prompts begin with the same parts prefer the same partition, as its
// scheduler knows which engines have read them, and each partition is preferred by a
// fraction of the calls in proportion to its engines. Without such engines, any partition
// may be asked, since another VM may know of one.
func (f *Fleet) PartitionOrder(criteria kumquathitch.InstanceCriteria, count int) []kumquathitch.Partition {
	if count <= 1 {
		return []kumquathitch.Partition{{}}
	}
	engines := make([]int, count)
	for _, inst := range f.instancesIn(group{service: criteria.Service, model: criteria.Model}) {
		if !slices.Contains(criteria.Exclude, inst.id) {
			engines[kumquathitch.ShardOf(inst.id, count)]++
		}
	}
	key := partitionKey(criteria)
	var order []kumquathitch.Partition
	ranks := make([]float64, count)
	for i, n := range engines {
		if n > 0 {
			ranks[i] = partitionRank(key, i, n)
			order = append(order, kumquathitch.Partition{Index: i, Count: count})
		}
	}
	if len(order) == 0 {
		return []kumquathitch.Partition{{Index: kumquathitch.ShardOf(key, count), Count: count}}
	}
	slices.SortFunc(order, func(a, b kumquathitch.Partition) int {
		if ranks[a.Index] < ranks[b.Index] {
			return -1
		}
		return 1
	})
	return order
}

// partitionKey identifies the calls that can share a prefix cache: the last part of a
// prompt belongs to one call or session.
func partitionKey(criteria kumquathitch.InstanceCriteria) string {
	key := criteria.Model + "/" + criteria.Adapter
	for i := range len(criteria.Prompt) - 1 {
		key += "/" + criteria.Prompt[i].ID
	}
	if len(criteria.Prompt) < 2 {
		key += "/" + strconv.FormatUint(criteria.Content, 16)
	}
	return key
}

// partitionRank returns the rank of a partition in weighted rendezvous hashing. The lowest
// one is preferred.
func partitionRank(key string, index, weight int) float64 {
	uniform := (float64(kumquathitch.RendezvousWeight(key, strconv.Itoa(index))>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(weight)
}
