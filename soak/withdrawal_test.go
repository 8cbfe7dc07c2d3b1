package soak_test

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

const (
	// drainTime is the time after which a VM that has passed on the response of a leaving
	// engine sends it no more calls.
	drainTime = 500 * time.Millisecond
	// pauseDelay is the time after a rejection with Retry-After from which its pause holds,
	// and maxCallsInPause the calls that may arrive within it.
	pauseDelay      = 500 * time.Millisecond
	maxCallsInPause = 2
)

// disturbances are the times at which a process or a connection was interfered with.
type disturbances struct {
	mutex sync.Mutex
	times []time.Time
}

func (d *disturbances) add() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.times = append(d.times, time.Now())
}

func (d *disturbances) within(from, to time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, at := range d.times {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// withdrawals holds what callers know of the calls that they sent.
type withdrawals struct {
	mutex   sync.Mutex
	sent    map[string]sentCall // By request ID.
	leaving map[leavingResponse]time.Time
}

// leavingResponse is a response that said that its engine leaves.
type leavingResponse struct {
	call, engine string
}

type sentCall struct {
	vm *entryVM
	at time.Time
}

func (w *withdrawals) recordCall(id string, v *entryVM) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.sent == nil {
		w.sent, w.leaving = map[string]sentCall{}, map[leavingResponse]time.Time{}
	}
	w.sent[id] = sentCall{vm: v, at: time.Now()}
}

func (w *withdrawals) recordLeaving(id, engine string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving[leavingResponse{call: id, engine: engine}] = time.Now()
}

// startWithdrawals has engines ask for pauses, and one at a time leave and start again,
// during the fault period.
func (c *cluster) startWithdrawals(random *rand.Rand) <-chan struct{} {
	ended := make(chan struct{})
	end := time.Now().Add(faultPeriod)
	go func() {
		defer close(ended)
		for time.Now().Before(end) {
			at := random.IntN(engineCount)
			engine := c.engines[at]
			length := time.Duration(600+random.IntN(1400)) * time.Millisecond
			if random.IntN(2) == 0 {
				engine.UpdateFaults(func(f *standin.InstanceFaults) {
					f.RejectCalls, f.RetryAfter = 1+random.IntN(3), strconv.FormatFloat(length.Seconds(), 'f', 3, 64)
				})
				<-time.After(length / 2)
				continue
			}
			engine.UpdateFaults(func(f *standin.InstanceFaults) { f.Leaving = true })
			<-time.After(length)
			engine.Restart()
			c.store.Put("servers/"+engine.ID, engine.Registration(c.engineProxies[at].address))
		}
	}()
	return ended
}

// checkWithdrawals checks that each VM obeyed the engines that left or asked it for a
// pause, unless the VM was restarted or frozen, or its connections to the engine were cut.
func (c *cluster) checkWithdrawals() {
	c.withdrawals.mutex.Lock()
	defer c.withdrawals.mutex.Unlock()
	for at, engine := range c.engines {
		arrivals := engine.Arrivals()
		for i, answered := range arrivals {
			call := c.withdrawals.sent[answered.Call]
			leftAt, leaving := c.withdrawals.leaving[leavingResponse{call: answered.Call, engine: engine.ID}]
			inPause := 0
			for _, later := range arrivals[i+1:] {
				next := c.withdrawals.sent[later.Call]
				if next.vm != call.vm || later.Born != answered.Born || call.vm.disturbances.within(answered.At, later.At) ||
					c.engineProxies[at].disturbances.within(answered.At.Add(-time.Second), later.At) {
					continue
				}
				if later.At.After(answered.At.Add(pauseDelay)) && later.At.Before(answered.PausedUntil) {
					inPause++
				}
				if leaving && next.at.After(leftAt.Add(drainTime)) {
					c.t.Errorf("call %s reached %s %s after %s had passed on that it leaves", later.Call, engine.ID, later.At.Sub(leftAt), call.vm.name)
				}
			}
			if inPause > maxCallsInPause {
				c.t.Errorf("%d calls reached %s from %s within a pause until %s", inPause, engine.ID, call.vm.name, answered.PausedUntil)
			}
		}
	}
}
