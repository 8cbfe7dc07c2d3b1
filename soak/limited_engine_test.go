package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

const (
	// limitedPeriod is the time during which two engines of three name a limit.
	limitedPeriod = 11 * time.Second
	// limitWindow is the length of the windows in which calls are counted, limitFactor and
	// limitSlack what they may hold: limitFactor times what the limit allows, and limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is the time after which a VM that has passed on a limit obeys it.
	limitDelay = 500 * time.Millisecond
)

// TestSoakLimitedEngine guards against engines that get more calls than the limit that they
// name, over all VMs.
func TestSoakLimitedEngine(t *testing.T) {
	runSeeds(t, 1, runLimitedEngine)
}

func runLimitedEngine(t *testing.T, seed uint64) {
	c := newCluster(t)
	stop := c.startCallers(callersPerVM)
	random := rand.New(rand.NewPCG(seed, 3))
	<-time.After(time.Second)
	limits := []float64{1 + 3*random.Float64(), 1 + 3*random.Float64()}
	for at, limit := range limits {
		c.engines[at].UpdateFaults(func(f *standin.InstanceFaults) { f.Limit = fmt.Sprintf("%.1f", limit) })
	}
	limited := time.Now()
	<-time.After(time.Duration(1000+random.IntN(5000)) * time.Millisecond)
	v := c.vms[random.IntN(vmCount)]
	if kind := random.IntN(disturbanceCount + 1); kind < disturbanceCount {
		c.disturb(v, kind, random)
	}
	<-time.After(time.Until(limited.Add(limitedPeriod)))
	for at, limit := range limits {
		c.checkLimit(at, limit, limited)
		c.engines[at].UpdateFaults(func(f *standin.InstanceFaults) { f.Limit = "" })
	}
	for _, v := range c.vms {
		c.waitFor(v.name+" to serve", func() bool {
			return c.call(t.Context(), http.DefaultClient, v, "common", "/read/").status == http.StatusOK
		})
	}
	stop()
}

// checkLimit counts the calls that reached a limited engine, in each window that begins
// later than stableWindow after it first named its limit, from undisturbed VMs that had
// passed on such a response.
func (c *cluster) checkLimit(at int, limit float64, limited time.Time) {
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	arrivals := slices.DeleteFunc(c.engines[at].Arrivals(), func(a standin.Arrival) bool { return a.At.Before(limited) })
	c.withdrawals.mutex.Lock()
	defer c.withdrawals.mutex.Unlock()
	told := map[*entryVM]time.Time{} // First arrival from a VM; its response names the limit.
	var counted []time.Time
	for _, arrival := range arrivals {
		v := c.withdrawals.sent[arrival.Call].vm
		if told[v].IsZero() || v.disturbances.within(told[v], arrival.At) {
			told[v] = arrival.At
		}
		if arrival.At.After(told[v].Add(limitDelay)) && arrival.At.After(limited.Add(stableWindow)) {
			counted = append(counted, arrival.At)
		}
	}
	most := 0
	for i, first := range counted {
		end := first.Add(limitWindow)
		n := 0
		for n < len(counted)-i && counted[i+n].Before(end) {
			n++
		}
		most = max(most, n)
	}
	c.t.Logf("at most %d calls in %s reached %s, which names a limit of %.1f a second; %d in all", most, limitWindow, c.engines[at].ID, limit, len(arrivals))
	if float64(most) > allowed {
		c.t.Errorf("%d calls in %s reached %s; its limit allows %.0f", most, limitWindow, c.engines[at].ID, allowed)
	}
}
