package fleet

import (
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// ticketGrace is how long after its time a waiting call keeps its place. A caller that
	// has left is noticed by its VM, which then does not ask again.
	ticketGrace = 250 * time.Millisecond
	// promiseTTL is how long after its time a promised turn is kept.
	promiseTTL = 2 * time.Second
	// promiseLead is how much earlier than promised a caller may come back. Callers round
	// the time, and may reach another VM sooner.
	promiseLead = 50 * time.Millisecond
	// minTurns is the least rate of turns, per second.
	minTurns = 1.0
	// maxRefusals bounds the refused calls that are remembered for one model.
	maxRefusals = 1024
	// minPromiseDelay is the earliest promised turn. Runs last seconds, so that an earlier
	// one would find the same queue.
	minPromiseDelay = 2 * time.Second
	// maxPromiseDelay is the latest.
	maxPromiseDelay = 5 * time.Second
)

// turnQueues holds the calls that wait for a turn at the engines of a model, and the turns
// that refused callers were promised. The calls themselves wait at their VMs: a scheduler
// that is lost takes only their order with it, which the next one restores from the time
// that each call has waited. It is safe for concurrent use.
type turnQueues struct {
	shards [shardCount]turnShard
}

// turnShard holds the queues of models.
type turnShard struct {
	mutex  sync.Mutex
	queues map[group]*turnQueue
}

// turnQueue is the queue of one model.
type turnQueue struct {
	waiting    map[uint64]waitingCall
	refusals   map[uint64]refusedCall // By content of the call.
	nextTurn   time.Time              // Next turn that can be promised.
	unpromised int                    // Callers without a promise, which spreads the times at which they come back.
	prunedAt   time.Time
	expiresAt  time.Time // Nothing in the queue counts after that.
}

// refusedCall is a call whose caller was told when to come back.
type refusedCall struct {
	turn     time.Time
	promised bool
}

// waitingCall is a call that waits at its VM.
type waitingCall struct {
	rank      int
	arrivedAt time.Time
	expiresAt time.Time
}

func newTurnQueues() *turnQueues {
	q := &turnQueues{}
	for i := range q.shards {
		q.shards[i].queues = map[group]*turnQueue{}
	}
	return q
}

// with calls do with the queue of a model, under its lock. A queue is created only if create is set.
func (q *turnQueues) with(key group, create bool, do func(*turnQueue)) {
	s := &q.shards[kumquathitch.ShardOf(key.service+"/"+key.model, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue := s.queues[key]
	if queue == nil {
		if !create {
			return
		}
		queue = &turnQueue{waiting: map[uint64]waitingCall{}, refusals: map[uint64]refusedCall{}}
		s.queues[key] = queue
	}
	do(queue)
}

// ahead returns the number of waiting calls that come before a call, and whether the call
// itself waits already.
func (q *turnQueues) ahead(key group, ticket uint64, rank int, arrivedAt, now time.Time) (count int, waits bool) {
	q.with(key, false, func(queue *turnQueue) {
		_, waits = queue.waiting[ticket]
		for other, w := range queue.waiting {
			switch {
			case now.After(w.expiresAt):
				delete(queue.waiting, other)
			case other != ticket && (w.rank < rank || (w.rank == rank && w.arrivedAt.Before(arrivedAt))):
				count++
			}
		}
	})
	return count, waits
}

// wait puts a call in the queue, or keeps its place. It reports false if the queue is full.
func (q *turnQueues) wait(key group, ticket uint64, call waitingCall, limit int) bool {
	entered := false
	q.with(key, true, func(queue *turnQueue) {
		_, waits := queue.waiting[ticket]
		if entered = waits || len(queue.waiting) < limit; entered {
			queue.waiting[ticket] = call
			queue.extend(call.expiresAt)
		}
	})
	return entered
}

// leave removes a call that got its turn, or was refused.
func (q *turnQueues) leave(key group, ticket uint64) {
	q.with(key, false, func(queue *turnQueue) { delete(queue.waiting, ticket) })
}

func (tq *turnQueue) extend(until time.Time) {
	if until.After(tq.expiresAt) {
		tq.expiresAt = until
	}
}

// promise returns the time at which a refused caller comes back. Turns are perSecond apart, so
// that callers do not come back all at once. Those for whom no turn is left within the time
// that they wait come back at the times of others, without a promise.
func (q *turnQueues) promise(key group, content uint64, perSecond float64, returnIn time.Duration, now time.Time) time.Time {
	var turn time.Time
	q.with(key, true, func(queue *turnQueue) {
		queue.prune(now)
		first, last := now.Add(minPromiseDelay), now.Add(maxPromiseDelay)
		if by := now.Add(returnIn); returnIn > 0 && by.Before(last) {
			last = by
		}
		if last.Before(first) {
			first = last
		}
		if queue.nextTurn.Before(first) {
			queue.nextTurn = first
		}
		interval := time.Duration(float64(time.Second) / max(minTurns, perSecond))
		promised := !queue.nextTurn.After(last)
		if turn = queue.nextTurn; promised {
			queue.nextTurn = turn.Add(interval)
		} else {
			queue.unpromised++
			turn = first.Add(time.Duration(queue.unpromised) * interval % (last.Sub(first) + 1))
		}
		if len(queue.refusals) < maxRefusals {
			queue.refusals[content] = refusedCall{turn: turn, promised: promised}
			queue.extend(turn.Add(promiseTTL))
		}
	})
	return turn
}

// prune drops the refusals that no caller came back for.
func (tq *turnQueue) prune(now time.Time) {
	if now.Sub(tq.prunedAt) <= promiseTTL {
		return
	}
	tq.prunedAt = now
	for content, refused := range tq.refusals {
		if now.Sub(refused.turn) > promiseTTL {
			delete(tq.refusals, content)
		}
	}
}

// returned reports whether the caller of a call was refused before, and comes back for
// a promised turn.
func (q *turnQueues) returned(key group, content uint64, now time.Time) (refused, promised bool) {
	q.with(key, false, func(queue *turnQueue) {
		before, found := queue.refusals[content]
		refused = found && now.Sub(before.turn) < promiseTTL
		promised = refused && before.promised && now.Add(promiseLead).After(before.turn)
	})
	return refused, promised
}

// forget drops the refusal of a call that was assigned.
func (q *turnQueues) forget(key group, content uint64) {
	q.with(key, false, func(queue *turnQueue) { delete(queue.refusals, content) })
}

// lengths returns the number of calls that wait, by rank, and drops queues that no longer count.
func (q *turnQueues) lengths(now time.Time) [maxRanks]int {
	var counts [maxRanks]int
	for i := range q.shards {
		s := &q.shards[i]
		s.mutex.Lock()
		for key, queue := range s.queues {
			if now.After(queue.expiresAt) {
				delete(s.queues, key)
				continue
			}
			for _, w := range queue.waiting {
				if !now.After(w.expiresAt) {
					counts[w.rank]++
				}
			}
		}
		s.mutex.Unlock()
	}
	return counts
}
