package checker_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/random"
	"kumquathitch.example/kumquathitch/standin"
	"kumquathitch.example/kumquathitch/telemetry"
	"kumquathitch.example/kumquathitch/vm"
)

const (
	// Rate and burst of the account, and what the platform allows beyond them in a window.
	accountRate   = 100_000.0
	accountBurst  = 100_000.0
	quotaOverage  = 0.1
	quotaSlack    = 11_000.0
	quotaWindow   = 8 * time.Second
	callTokens    = 2500.0
	callsPerStep  = 4  // At most, of each VM, while the account presses.
	idleSteps     = 10 // Steps between the calls of a VM at other times.
	step          = 50 * time.Millisecond
	callTimeout   = time.Second // Of a call to the store.
	instanceCount = 4
	slowPeers     = 200 * time.Millisecond
)

// leaseClock is the store's clock for leases. It stops while leases pause in an outage.
type leaseClock struct {
	mutex  sync.Mutex
	paused int
	since  time.Time     // Start of the pause.
	lost   time.Duration // Sum of earlier pauses.
}

func (c *leaseClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.paused > 0 {
		return c.since.Add(-c.lost)
	}
	return time.Now().Add(-c.lost)
}

func (c *leaseClock) pause(by int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.paused
	c.paused += by
	switch {
	case before == 0 && c.paused > 0:
		c.since = time.Now()
	case before > 0 && c.paused == 0:
		c.lost += time.Since(c.since)
	}
}

// node is one VM and its links. The mutex of the world guards the fields that change.
type node struct {
	name    string
	address string
	link    *standin.KeyspaceLink
	running *vm.VM // Nil while the VM has no power.
	stop    context.CancelFunc
	end     chan error
	version uint64               // Highest configuration version of this process.
	removed map[string]time.Time // Starts of instances that this process knew and has removed.
	known   map[string]time.Time // Starts of those that it knew in the step before.
	frozen  int                  // Number of faults of each kind that hold now.
	silent  int
	refuse  int
	cut     int
	hang    int
	slow    int // Each delays messages between VMs by slowPeers.
	off     int
	weak    bool
	gone    bool // It is not started again.
}

// spending is a number of tokens spent in a step.
type spending struct {
	at     time.Time
	tokens float64
}

// world is a fleet of VMs and their store.
type world struct {
	mutex   sync.Mutex
	clock   *leaseClock
	store   *standin.Keyspace
	faults  standin.KeyspaceFaults
	tracing *telemetry.Tracing
	seed    uint64 // Of the VMs' own random choices.
	nodes   []*node
	version int
	fence   uint64 // Highest fence of a term so far.
	spent   []spending
	steps   int

	pressing int  // Number of events that make the account press.
	allLive  bool // No event removes an instance or keeps a VM from the store.

	described map[int]description // Of the instances that live.
	written   map[uint64]bool     // Revisions of all entries that instances have written.
}

// description is what an instance has written last.
type description struct {
	start    int
	revision uint64
}

func newWorld(o order, tracing *telemetry.Tracing) *world {
	w := &world{clock: &leaseClock{}, tracing: tracing, seed: o.Seed, described: map[int]description{}, written: map[uint64]bool{}}
	w.allLive = !slices.ContainsFunc(o.Events, func(e event) bool {
		return !slices.Contains([]string{storeRestored, "configure", "press", "power-off", "end-watches"}, e.Kind)
	})
	w.store = standin.NewKeyspace(w.clock)
	w.configure()
	for i := range instanceCount {
		w.describe(i, 0)
	}
	for i := range o.VMs {
		n := &node{name: fmt.Sprintf("entry-%d", i), address: fmt.Sprintf("10.0.0.%d:1", i+1), weak: i < o.Weak}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.startVM(n, true)
		w.wait(7 * time.Millisecond)
	}
	return w
}

func (w *world) wait(d time.Duration) { <-time.NewTimer(d).C }

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.writeConfiguration()
}

func (w *world) writeConfiguration() {
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"service":"web","max_attempts":1}],
 "services":[{"name":"web","max_conns":100}],
 "tenants":[{"name":"crew","api_keys":["k1"],"unit":"token","plain_tokens":10,"rate_per_s":%d,"burst":%d}]}`, w.version, int(accountRate), int(accountBurst)))
}

func instanceKey(i int) string { return fmt.Sprintf("servers/i-%d", i) }

// describe writes the entry of an instance, whose address depends on its start.
func (w *world) describe(i, start int) {
	revision := w.store.Put(instanceKey(i), fmt.Appendf(nil, `{"service":"web","address":"10.1.%d.%d:80","zone":"zone-a","version":"v1","slots":4,"state":"ready","seq":1,"born":%d}`, start, i, 1000+start))
	w.described[i], w.written[revision] = description{start: start, revision: revision}, true
}

// deregister removes the entry of an instance.
func (w *world) deregister(i int) {
	w.store.Delete(instanceKey(i))
	delete(w.described, i)
}

// rewriteConfiguration writes the newest configuration again if it is lost.
func (w *world) rewriteConfiguration() {
	item, err := w.store.Read(context.Background(), "op/config")
	if err != nil {
		panic(err) // The store itself has no faults.
	}
	if decoded, err := (platform.Codec{}).DecodeDeployment(item.Value); err != nil || decoded.Version < uint64(w.version) {
		w.writeConfiguration()
	}
}

// rewrite writes the entry of an instance again, as its last write is lost.
func (w *world) rewrite(i int) {
	if last, lives := w.described[i]; lives {
		w.describe(i, last.start)
	}
}

// dropGone removes the entries that the copy has brought back and that nobody writes.
func (w *world) dropGone() {
	for i := range instanceCount {
		if _, lives := w.described[i]; !lives {
			w.store.Delete(instanceKey(i))
		}
	}
}

func (w *world) startVM(n *node, bootstrap bool) {
	index := 0
	for i, other := range w.nodes {
		if other == n {
			index = i
		}
	}
	latency := time.Millisecond + time.Duration(index)*7*time.Microsecond // No two VMs call at the same moment.
	if n.link == nil {
		n.link = standin.NewKeyspaceLink(w.store, latency, callTimeout)
	}
	n.link.Forget()
	environment := kumquathitch.Environment{
		Name: n.name, DataCentre: "zone-a", Bootstrap: bootstrap, PeerAddress: n.address, Cores: 1, LinkMbps: 100,
		DrainLag: 300 * time.Millisecond, HandoverDelay: 300 * time.Millisecond, ChecksFencing: true,
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdOverage: 1.5, ColdSlack: 5,
		Store: n.link, Control: platform.NewEngineControl(time.Second), Dialect: platform.Dialect{}, Codec: platform.Codec{},
		Peers: &peerLink{world: w, from: n}, Clock: clock.NewSystem(), Random: random.NewSeeded(w.seed + uint64(index)),
	}
	for _, other := range w.nodes {
		environment.Seeds = append(environment.Seeds, other.address)
	}
	if n.weak {
		environment.Cores = 0.2
	}
	v := vm.New(environment, zap.NewNop(), metrics.NewSet(), w.tracing)
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	w.mutex.Lock()
	n.running, n.stop, n.end, n.version = v, stop, end, 0
	n.removed, n.known = map[string]time.Time{}, map[string]time.Time{}
	w.mutex.Unlock()
	w.applyFaults(n)
	go func() { end <- v.FollowFleet(ctx) }()
}

// powerOff ends a VM that has no time to tell anyone.
func (w *world) powerOff(n *node) {
	n.link.ChangeFaults(func(f *standin.LinkFaults) { f.Refusing, f.Frozen = true, false })
	w.mutex.Lock()
	n.running = nil
	w.mutex.Unlock()
	n.stop()
	if err := <-n.end; err != nil {
		panic(err) // The loops of a VM end without an error.
	}
}

// applyFaults sets the faults of a VM's link by the faults that hold.
func (w *world) applyFaults(n *node) {
	w.mutex.Lock()
	frozen, silent, refuse, hang := n.frozen > 0, n.silent > 0, n.refuse > 0, n.hang > 0
	w.mutex.Unlock()
	n.link.ChangeFaults(func(f *standin.LinkFaults) { f.Frozen, f.Silent, f.Refusing, f.Hanging = frozen, silent, refuse, hang })
}

// stopAll ends all VMs, in order.
func (w *world) stopAll() {
	for _, n := range w.nodes {
		if n.running != nil {
			w.powerOff(n)
		}
	}
}

// peerLink carries the exchanges of one VM.
type peerLink struct {
	world *world
	from  *node
}

var errUnreachable = errors.New("the VM cannot be reached")

func (l *peerLink) Close() {}

func (l *peerLink) Call(ctx context.Context, address, method string, params, result any) error {
	request, ok := params.(kumquathitch.ExchangeRequest)
	if !ok || method != "vm.exchange" {
		return errUnreachable
	}
	target, reachable := l.target(address)
	if target == nil {
		return errUnreachable
	}
	if !reachable {
		<-ctx.Done()
		return ctx.Err()
	}
	clock.Pause(ctx, 500*time.Microsecond)
	var sent kumquathitch.ExchangeRequest
	if err := transfer(request, &sent); err != nil {
		return err
	}
	response, err := target.HandleExchange(ctx, sent)
	if err != nil {
		return err
	}
	clock.Pause(ctx, 500*time.Microsecond+l.delay(address))
	if _, reachable = l.target(address); !reachable {
		<-ctx.Done()
		return ctx.Err()
	}
	return transfer(response, result)
}

// target returns the VM with an address, and whether messages pass now.
func (l *peerLink) target(address string) (*vm.VM, bool) {
	l.world.mutex.Lock()
	defer l.world.mutex.Unlock()
	for _, n := range l.world.nodes {
		if n.address == address {
			return n.running, n.running != nil && n.frozen+n.cut+l.from.frozen+l.from.cut == 0
		}
	}
	return nil, false
}

// delay returns the time by which a response comes late.
func (l *peerLink) delay(address string) time.Duration {
	l.world.mutex.Lock()
	defer l.world.mutex.Unlock()
	slow := l.from.slow
	for _, n := range l.world.nodes {
		if n.address == address {
			slow += n.slow
		}
	}
	return time.Duration(slow) * slowPeers
}

func transfer(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}
