package fleet

import (
	"math"
	"slices"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// reportGrace is how long an assigned call counts although the report of its VM does
	// not contain it: the report may have been sent before the assignment arrived.
	reportGrace = 20 * time.Millisecond
	// arrivalTimeConstant is the time constant of the arrival rates. Bursts rise within
	// a second or two.
	arrivalTimeConstant = 1500 * time.Millisecond
	// maxRanks bounds the priorities that are told apart. Engines know ten.
	maxRanks = 10
)

// engineCall is a call that the scheduler assigned to an engine.
type engineCall struct {
	vm       string
	rank     int
	tokens   int64 // Of the prompt and the response.
	yields   bool
	waits    bool // For a slot of the engine.
	assigned time.Time
	run      time.Duration // Estimated.
	endsAt   time.Time     // Estimated.
}

// engineCalls tracks the calls of one engine by priority. VMs report how many calls they
// have in flight; which of the assigned ones have ended follows from the estimated ends.
type engineCalls struct {
	assigned  []engineCall
	arrivals  [maxRanks]float64 // Decaying sums of arrivals by rank, as of arrivedAt.
	arrivedAt time.Time
}

// add records an assigned call.
func (ec *engineCalls) add(call engineCall) {
	ec.assigned = append(ec.assigned, call)
}

// settle drops the calls of a VM that have ended, given the number that it reports, and
// returns the number of calls that count for it.
func (ec *engineCalls) settle(vm string, reported int, now time.Time) int {
	count := 0
	for i := range ec.assigned {
		if ec.assigned[i].vm == vm {
			count++
		}
	}
	for ; count > reported; count-- {
		first := -1
		for i := range ec.assigned {
			c := &ec.assigned[i]
			if c.vm == vm && now.Sub(c.assigned) >= reportGrace && (first < 0 || c.endsAt.Before(ec.assigned[first].endsAt)) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		started := !ec.assigned[first].waits
		last := len(ec.assigned) - 1
		ec.assigned[first] = ec.assigned[last]
		ec.assigned = ec.assigned[:last]
		if started {
			ec.startNext(now)
		}
	}
	return max(count, reported)
}

// startNext records that the engine starts the first of the calls that wait for a slot.
func (ec *engineCalls) startNext(now time.Time) {
	var next *engineCall
	for i := range ec.assigned {
		if c := &ec.assigned[i]; c.waits && (next == nil || (next.yields && !c.yields) || (next.yields == c.yields && c.assigned.Before(next.assigned))) {
			next = c
		}
	}
	if next != nil {
		next.waits, next.endsAt = false, now.Add(next.run)
	}
}

// engineLoad is what an engine has to do before and beside a call of a certain rank.
type engineLoad struct {
	ahead        int   // Calls that do not yield to it.
	urgent       int   // Calls of a more urgent rank.
	urgentOrSame int   // Calls of a more urgent rank or the same one, without those that yield.
	patient      int   // Assigned calls that are neither.
	tokens       int64 // Memory of all assigned calls.
}

// load returns the load for a call of a rank, out of the number of calls in flight. Calls
// that the scheduler did not assign count as more urgent.
func (ec *engineCalls) load(rank, inFlight int) engineLoad {
	unassigned := max(0, inFlight-len(ec.assigned))
	load := engineLoad{ahead: inFlight, urgent: unassigned, urgentOrSame: unassigned}
	for i := range ec.assigned {
		c := &ec.assigned[i]
		load.tokens += c.tokens
		if c.yields {
			load.ahead--
		}
		if c.rank < rank {
			load.urgent++
		}
		if c.rank < rank || (c.rank == rank && !c.yields) {
			load.urgentOrSame++
		} else {
			load.patient++
		}
	}
	return load
}

// wait returns the time until so many of the calls that do not yield have ended, in
// milliseconds. Calls that run for longer than estimated are taken to end one after the
// other, as those of a full engine do on average.
func (ec *engineCalls) wait(ends int, intervalMS float64, now time.Time) float64 {
	if ends <= 0 {
		return 0
	}
	remaining := make([]float64, 0, 64)
	overdue := 0
	for i := range ec.assigned {
		c := &ec.assigned[i]
		left := milliseconds(c.endsAt.Sub(now))
		switch {
		case c.yields || c.waits:
			continue
		case left <= 0:
			overdue++
			left = float64(overdue) * intervalMS
		}
		remaining = append(remaining, left)
	}
	slices.Sort(remaining)
	if ends <= len(remaining) {
		return remaining[ends-1]
	}
	return float64(ends) * intervalMS
}

// recordArrival counts a call that would go to this engine, whether it is assigned or not.
func (ec *engineCalls) recordArrival(rank int, now time.Time) {
	ec.decay(now)
	ec.arrivals[rank]++
}

func (ec *engineCalls) decay(now time.Time) {
	if elapsed := now.Sub(ec.arrivedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / arrivalTimeConstant.Seconds())
		for i := range ec.arrivals {
			ec.arrivals[i] *= factor
		}
		ec.arrivedAt = now
	}
}

// arrivalRate returns the arrivals of ranks below a limit, per second.
func (ec *engineCalls) arrivalRate(below int, now time.Time) float64 {
	total := 0.0
	for _, sum := range ec.arrivals[:min(below, maxRanks)] {
		total += sum
	}
	return total * math.Exp(-max(0, now.Sub(ec.arrivedAt).Seconds())/arrivalTimeConstant.Seconds()) / arrivalTimeConstant.Seconds()
}

// rankOf returns the rank of a call's priority.
func rankOf(request *kumquathitch.ScheduleRequest) int {
	return min(max(0, request.Priority), maxRanks-1)
}
