package fleet

import (
	"sync"
	"time"
)

// ScheduleCounts counts the scheduler's decisions on the calls of one priority.
type ScheduleCounts struct {
	Assigned    int
	Late        int           // Of those assigned: the response starts after the objective.
	Deferred    int           // Told to ask again, since more urgent calls need the room.
	Returned    int           // Of those assigned: the caller came back at the time that it was told.
	Reserved    int           // Of those deferred or refused: a slot was free, and kept for more urgent calls.
	Waited      time.Duration // Of those assigned, in sum, at their VMs.
	FullPrefill int           // Refused: the prefill that was assigned before would take too long.
	FullSlots   int           // Refused: the wait for a slot would take too long.
	Limited     int           // Refused: all engines have reached the limits that they name.
	NoEngine    int           // No engine holds the model, or all that do are excluded.
}

// EngineUse is the use of the engines to which the scheduler assigned calls.
type EngineUse struct {
	Engines   int
	Full      int           // Engines with a call in each slot.
	Calls     int           // In flight, of all VMs.
	Backlog   time.Duration // Sum over the engines of the assigned prefill that is left.
	DeepQueue int           // Engines with more than half a second of prefill left.
}

// deepQueue is the prefill left at which an engine counts for EngineUse.DeepQueue.
const deepQueue = 500 * time.Millisecond

// scheduleCounter counts decisions by priority.
type scheduleCounter struct {
	mutex      sync.Mutex
	byPriority map[int]ScheduleCounts
}

func (c *scheduleCounter) add(priority int, counts ScheduleCounts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byPriority == nil {
		c.byPriority = map[int]ScheduleCounts{}
	}
	total := c.byPriority[priority]
	total.Assigned += counts.Assigned
	total.Late += counts.Late
	total.Deferred += counts.Deferred
	total.Returned += counts.Returned
	total.Reserved += counts.Reserved
	total.Waited += counts.Waited
	total.FullPrefill += counts.FullPrefill
	total.FullSlots += counts.FullSlots
	total.Limited += counts.Limited
	total.NoEngine += counts.NoEngine
	c.byPriority[priority] = total
}

// TakeCounts returns the decisions since the last call, by priority of the calls.
func (gs *GlobalScheduler) TakeCounts() map[int]ScheduleCounts {
	gs.counts.mutex.Lock()
	defer gs.counts.mutex.Unlock()
	counts := gs.counts.byPriority
	gs.counts.byPriority = nil
	return counts
}

// EngineUse returns the present use of the engines to which calls were assigned.
func (gs *GlobalScheduler) EngineUse(now time.Time) EngineUse {
	var use EngineUse
	for i := range gs.engines {
		s := &gs.engines[i]
		s.mutex.Lock()
		for _, engine := range s.engines {
			use.Engines++
			use.Calls += engine.inFlight
			if engine.slots > 0 && float64(engine.inFlight) >= engine.slots {
				use.Full++
			}
			left := duration(prefillShare * max(0, milliseconds(engine.prefillUntil.Sub(now))))
			use.Backlog += left
			if left > deepQueue {
				use.DeepQueue++
			}
		}
		s.mutex.Unlock()
	}
	return use
}

// Waiting returns the number of calls that wait for their turn at their VMs, by rank.
func (gs *GlobalScheduler) Waiting(now time.Time) [maxRanks]int {
	return gs.turns.lengths(now)
}
