// Package soak_test runs entry VMs as processes on a stand-in platform and injects
// faults from outside: signals, restarts, platform and engine faults, and
// connections that are delayed, reset, or blocked in one or both directions. It
// checks the responses to callers against the calls that the engines executed.
//
// # Usage
//
//	go test ./soak                                     # The seeds that CI runs.
//	KUMQUATHITCH_SOAK_SEEDS=100-149 go test ./soak -timeout 30m
//
// A seed determines the faults and their timing. The interleaving of processes
// differs between runs of one seed.
package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

const (
	// faultPeriod is the time during which a run starts faults.
	faultPeriod = 6 * time.Second
	// callersPerVM is the number of concurrent callers of each VM.
	callersPerVM = 4
)

// seedRange returns the range of seeds in KUMQUATHITCH_SOAK_SEEDS, as FIRST or
// FIRST-LAST. Without it, it returns the seed that CI runs, twice.
func seedRange(seedInCI uint64) (first, last uint64) {
	value, ok := os.LookupEnv("KUMQUATHITCH_SOAK_SEEDS")
	if !ok {
		return seedInCI, seedInCI
	}
	low, high, found := strings.Cut(value, "-")
	if !found {
		high = low
	}
	first, _ = strconv.ParseUint(low, 10, 64)
	last, _ = strconv.ParseUint(high, 10, 64)
	return first, last
}

// seedsAreNamed reports whether KUMQUATHITCH_SOAK_SEEDS is set.
func seedsAreNamed() bool {
	_, ok := os.LookupEnv("KUMQUATHITCH_SOAK_SEEDS")
	return ok
}

// TestSoak checks under random faults that calls are not executed more often than
// their routes allow, refused calls are not executed, streams have no gaps, and VMs
// serve again within the recovery limit after the faults.
func TestSoak(t *testing.T) {
	runSeeds(t, 1, runSeed)
}

// runSeeds runs a soak with each seed of seedRange.
func runSeeds(t *testing.T, seedInCI uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	first, last := seedRange(seedInCI)
	if first > last || first == 0 {
		t.Fatalf("KUMQUATHITCH_SOAK_SEEDS is not a range of seeds above 0: %d-%d", first, last)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { run(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	c := newCluster(t)
	stop := c.startCallers(callersPerVM)
	random := rand.New(rand.NewPCG(seed, 0))
	withdrawn := c.startWithdrawals(rand.New(rand.NewPCG(seed, 1)))
	c.injectFaults(random)
	<-withdrawn
	for _, v := range c.vms {
		c.waitFor(v.name+" to become ready again", v.isReady)
	}
	c.writeConfiguration()
	for _, v := range c.vms {
		c.waitFor(v.name+" to apply the last configuration", func() bool {
			return c.call(t.Context(), http.DefaultClient, v, c.currentKey(), "/book/").status == http.StatusOK
		})
	}
	stop()
	c.checkWithdrawals()
	for _, engine := range c.engines {
		if engine.Crashed() {
			t.Errorf("%s was ordered to exceed its memory or adapter slots", engine.ID)
		}
	}
}

// injectFaults starts faults that may overlap and waits until all have ended.
func (c *cluster) injectFaults(random *rand.Rand) {
	end := time.Now().Add(faultPeriod)
	ended := make(chan struct{})
	started := 0
	for time.Now().Before(end) {
		started++
		duration := time.Duration(100+random.IntN(1500)) * time.Millisecond
		c.injectFault(random, duration, ended)
		<-time.After(time.Duration(50+random.IntN(500)) * time.Millisecond)
	}
	for range started {
		<-ended
	}
}

// injectFault starts a fault, ends it after a duration and then sends on ended.
// The faults that restart a VM take effect only at their end.
func (c *cluster) injectFault(random *rand.Rand, duration time.Duration, ended chan<- struct{}) {
	kind, at := random.IntN(11), random.IntN(vmCount)
	v, engine, engineProxy := c.vms[at], c.engines[random.IntN(engineCount)], c.engineProxies[random.IntN(engineCount)]
	storeProxy := v.storeProxy
	var end func()
	switch kind {
	case 0:
		end = func() { c.restart(v, v.kill) }
	case 1:
		end = func() { c.restart(v, v.terminate) }
	case 2:
		v.signal(syscall.SIGSTOP)
		end = func() { v.signal(syscall.SIGCONT) }
	case 3:
		storeProxy.setFault(proxyFault{delay: 200 * time.Millisecond})
		end = func() { storeProxy.setFault(proxyFault{}) }
	case 4:
		storeProxy.setFault(proxyFault{blockToTarget: random.IntN(2) == 0, blockToCaller: true})
		end = func() { storeProxy.setFault(proxyFault{}) }
	case 5:
		storeProxy.resetConnections()
		end = func() {}
	case 6:
		engineProxy.setFault(proxyFault{blockToTarget: true})
		end = func() { engineProxy.setFault(proxyFault{}) }
	case 7:
		engineProxy.resetConnections()
		end = engineProxy.resetConnections
	case 8:
		c.store.SetFaults(standin.KeyspaceFaults{Down: true})
		end = func() { c.store.SetFaults(standin.KeyspaceFaults{}) }
	case 9:
		engine.SetFaults(standin.InstanceFaults{RejectCalls: random.IntN(5), FailCalls: random.IntN(3), BreakCalls: random.IntN(3), BreakStreamAfter: random.IntN(5), RejectResumes: random.IntN(3)})
		end = func() { engine.SetFaults(standin.InstanceFaults{}) }
	default:
		c.writeConfiguration()
		end = func() {}
	}
	go func() {
		<-time.After(duration)
		end()
		ended <- struct{}{}
	}()
}

// restart stops a VM's process with stop and starts another. Concurrent restarts of
// a VM run one after the other.
func (c *cluster) restart(v *entryVM, stop func()) {
	v.restartMutex.Lock()
	defer v.restartMutex.Unlock()
	v.signal(syscall.SIGCONT)
	stop()
	v.start()
}

// disturbanceCount is the number of kinds of disturb.
const disturbanceCount = 3

// disturb kills, terminates or freezes the process of a VM, and returns when it runs again.
func (c *cluster) disturb(v *entryVM, kind int, random *rand.Rand) {
	switch kind {
	case 0:
		c.restart(v, v.kill)
	case 1:
		c.restart(v, v.terminate)
	default:
		v.signal(syscall.SIGSTOP)
		<-time.After(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		v.signal(syscall.SIGCONT)
	}
}

var lastCallID atomic.Uint64

// callResult is the result of one call as its caller saw it.
type callResult struct {
	id     string
	status int // HTTP status; 0 when the call failed without one.
	body   string
	err    error // Set when the response is missing or incomplete.
}

func (c *cluster) call(ctx context.Context, client *http.Client, v *entryVM, key, path string) callResult {
	result := callResult{id: fmt.Sprintf("%016x", lastCallID.Add(1))}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.ip+":8080"+path+result.id, strings.NewReader(result.id))
	if err != nil {
		result.err = err
		return result
	}
	r.Host = "a.example"
	for name, value := range map[string]string{"Request-Id": result.id, "Api-Key": key, "Deadline-Ms": "4000", "Model": "m", "Token-Count": "100,10"} {
		r.Header.Set(name, value)
	}
	c.withdrawals.recordCall(result.id, v)
	response, err := client.Do(r)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Server-Leaving") == "1" {
		c.withdrawals.recordLeaving(result.id, strings.TrimPrefix(response.Header.Get("Response-Signature"), "signed-by-"))
	}
	body, err := io.ReadAll(response.Body)
	result.status, result.body, result.err = response.StatusCode, string(body), err
	return result
}

// startCallers starts concurrent callers of each VM. The function that it returns ends them
// and checks that calls succeeded.
func (c *cluster) startCallers(perVM int) (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	successes := make(chan int, vmCount*perVM)
	for _, v := range c.vms {
		for range perVM {
			go func() { successes <- c.callRepeatedly(ctx, v) }()
		}
	}
	return func() {
		c.t.Helper()
		cancel()
		successful := 0
		for range vmCount * perVM {
			successful += <-successes
		}
		c.t.Logf("%d calls succeeded", successful)
		if successful == 0 {
			c.t.Error("no call succeeded")
		}
	}
}

// callRepeatedly calls a VM over keep-alive connections until ctx ends and checks
// every result. It returns the number of complete responses with status 200.
func (c *cluster) callRepeatedly(ctx context.Context, v *entryVM) int {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	successful := 0
	paths := []string{"/book/", "/read/", "/stream/"}
	for i := 0; ctx.Err() == nil; i++ {
		path := paths[i%len(paths)]
		result := c.call(ctx, client, v, "common", path)
		c.checkResult(path, result)
		if result.err == nil && result.status == http.StatusOK {
			successful++
		}
		<-time.After(10 * time.Millisecond)
	}
	return successful
}

// checkResult compares the result of a call with its executions on the engines.
func (c *cluster) checkResult(path string, result callResult) {
	executions := 0
	for _, engine := range c.engines {
		executions += engine.Executions(result.id)
	}
	switch {
	case path == "/book/" && executions > 1:
		c.t.Errorf("at-most-once call %s was executed %d times", result.id, executions)
	case executions > 2:
		c.t.Errorf("call %s was executed %d times; its route allows 2", result.id, executions)
	case result.err == nil && result.status == http.StatusOK && executions == 0:
		c.t.Errorf("call %s succeeded without an execution", result.id)
	case executions > 0 && (result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable):
		c.t.Errorf("call %s was refused with %d, but executed %d times", result.id, result.status, executions)
	}
	if path != "/stream/" || result.status != http.StatusOK {
		return
	}
	var complete strings.Builder
	for n := range c.engines[0].StreamEvents {
		fmt.Fprintf(&complete, "id: %d\ndata: event %d\n\n", n+1, n+1)
	}
	if !strings.HasPrefix(complete.String(), result.body) || (result.err == nil && result.body != complete.String()) {
		c.t.Errorf("stream %s has the body %q with error %v", result.id, result.body, result.err)
	}
}
