package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/fleet"
)

// partitionedFleet returns a fleet of engines that hold a model, and one that holds another.
func partitionedFleet(engines int, now time.Time) *fleet.Fleet {
	f := fleet.NewFleet("entry-1", "zone-a")
	for i := range engines {
		f.Put(kumquathitch.Instance{ID: fmt.Sprint("i-", i), Service: "llm", Slots: 4, Models: kumquathitch.ResidentModels{{Name: "m"}}}, now)
	}
	f.Put(kumquathitch.Instance{ID: "rare", Service: "llm", Slots: 4, Models: kumquathitch.ResidentModels{{Name: "n"}}}, now)
	return f
}

func partitionCall(model, shared string) kumquathitch.InstanceCriteria {
	return kumquathitch.InstanceCriteria{
		Service: "llm", Model: model, Tokens: 100, LatencyObjective: time.Second,
		Prompt: kumquathitch.PromptParts{{ID: "system", Tokens: 50}, {ID: shared, Tokens: 40}, {ID: "own", Tokens: 10}},
	}
}

// TestPartitionsShareCallsByEngines guards against schedulers of which one gets most calls:
// its processor is the limit of a large fleet. Calls with a common prompt prefer one
// partition, and a rare model is asked for where its engine is.
func TestPartitionsShareCallsByEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	f := partitionedFleet(300, now)
	for _, count := range []int{2, 5, 9} {
		engines := make([]int, count)
		for i := range 300 {
			engines[kumquathitch.ShardOf(fmt.Sprint("i-", i), count)]++
		}
		calls := make([]int, count)
		for i := range 4000 {
			criteria := partitionCall("m", fmt.Sprint("shared-", i))
			order := f.PartitionOrder(criteria, count)
			must.Len(t, count, order)
			must.Eq(t, order, f.PartitionOrder(criteria, count))
			calls[order[0].Index]++
		}
		for i := range count {
			expected := float64(4000*engines[i]) / 300
			must.Between(t, 0.8*expected, float64(calls[i]), 1.2*expected, must.Sprintf("partition %d of %d", i, count))
		}
		rare := f.PartitionOrder(partitionCall("n", "shared"), count)
		must.Len(t, 1, rare)
		must.True(t, rare[0].Contains("rare"))
		must.Len(t, 1, f.PartitionOrder(partitionCall("unknown", "shared"), count))
	}
	must.Eq(t, []kumquathitch.Partition{{}}, f.PartitionOrder(partitionCall("m", "shared"), 1))
}

// TestSchedulersOfPartitionsShareNoEngine guards against engines that two schedulers fill
// without knowing of each other's calls.
func TestSchedulersOfPartitionsShareNoEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	f := partitionedFleet(30, now)
	const count = 3
	calls := map[string]int{}
	for index := range count {
		scheduler := fleet.NewGlobalScheduler(f)
		partition := kumquathitch.Partition{Index: index, Count: count}
		for i := range 200 {
			request := &kumquathitch.ScheduleRequest{
				From: fmt.Sprint("entry-", i), DataCentre: "zone-a", Service: "llm", Model: "m", Tokens: 10,
				LatencyObjective: time.Second, FirstByteLimit: time.Second, Partition: partition,
			}
			response := scheduler.Schedule(request, now)
			if response.Instance != "" {
				must.True(t, partition.Contains(response.Instance))
				calls[response.Instance]++
			}
		}
	}
	must.MapLen(t, 30, calls)
}
