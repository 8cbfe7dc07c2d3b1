package fleet

import (
	"math"
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
	late     bool  // In any case.
	assigned time.Time
	endsAt   time.Time // Estimated.
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
		last := len(ec.assigned) - 1
		ec.assigned[first] = ec.assigned[last]
		ec.assigned = ec.assigned[:last]
	}
	return max(count, reported)
}

// engineLoad is what an engine has to do before and beside a call of a certain rank.
type engineLoad struct {
	urgent       int   // Calls of a more urgent rank.
	urgentOrSame int   // Calls of a more urgent rank or the same one, without those that are late.
	patient      int   // Assigned calls that are neither.
	tokens       int64 // Memory of all assigned calls.
}

// load returns the load for a call of a rank, out of the number of calls in flight. Calls
// that the scheduler did not assign count as more urgent.
func (ec *engineCalls) load(rank, inFlight int) engineLoad {
	unassigned := max(0, inFlight-len(ec.assigned))
	load := engineLoad{urgent: unassigned, urgentOrSame: unassigned}
	for i := range ec.assigned {
		c := &ec.assigned[i]
		load.tokens += c.tokens
		if c.rank < rank {
			load.urgent++
		}
		if c.rank < rank || (c.rank == rank && !c.late) {
			load.urgentOrSame++
		} else {
			load.patient++
		}
	}
	return load
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

// rate returns the arrivals of a rank, per second.
func (ec *engineCalls) rate(rank int, now time.Time) float64 {
	if ec.arrivals[rank] == 0 {
		return 0
	}
	return ec.arrivals[rank] * math.Exp(-max(0, now.Sub(ec.arrivedAt).Seconds())/arrivalTimeConstant.Seconds()) / arrivalTimeConstant.Seconds()
}

// arrivalRate returns the arrivals of ranks below a limit, per second.
func (ec *engineCalls) arrivalRate(below int, now time.Time) float64 {
	total := 0.0
	for rank := range min(below, maxRanks) {
		total += ec.rate(rank, now)
	}
	return total
}

// rankOf returns the rank of a call's priority.
func rankOf(request *kumquathitch.ScheduleRequest) int {
	return min(max(0, request.Priority), maxRanks-1)
}
