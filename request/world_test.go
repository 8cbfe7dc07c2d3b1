package request_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/request"
	"kumquathitch.example/kumquathitch/standin"
)

var errInjected = errors.New("injected fault")

// fault is what happens to the next write of a VM.
type fault int

const (
	faultNone        fault = iota
	faultDieBefore         // The VM dies before the write.
	faultDieAfter          // The VM dies after the write, before it learns of it.
	faultLost              // The write has no effect, and its answer does not tell.
	faultAnswer            // The write takes effect and its answer is lost.
	faultDelayed           // The answer is lost and the write takes effect a second later.
	faultAnswerDown        // The answer is lost and the store is out of reach for two seconds.
	faultDelayedDown       // As faultDelayed, two seconds later and with the store out of reach for one.
	faultKinds
)

// world is a store and several VMs with the real coordinators.
type world struct {
	clock *clock.System
	store *standin.Store
	vms   []*vm
	group sync.WaitGroup // Requests and delayed writes under way.

	mutex      sync.Mutex
	executions map[string]int    // By key.
	answers    map[string]string // Outcome of the first run, by key.
	completed  map[string]bool   // Keys whose outcome a VM that lived on has recorded.
	bodies     map[string]map[int]bool
	died       map[string]bool      // Keys that a VM which died had claimed, or whose end it may not have recorded.
	touched    map[string]time.Time // When a call of a key last ended.
	violations []string
}

// vm is an entry VM: a coordinator behind a store and peers that can fail.
type vm struct {
	world       *world
	name        string
	coordinator *request.Coordinator
	stop        context.CancelFunc
	dead        atomic.Bool
	down        atomic.Int64 // Store out of reach until this time, nanoseconds since 1970.
	loseCalls   atomic.Int64 // Answers of peers that will be lost.
	stale       bool         // Its view keeps VMs that have died.

	mutex sync.Mutex
	next  fault
}

func newWorld(ctx context.Context, vms int, settings request.Settings) *world {
	c := clock.NewSystem()
	w := &world{
		clock: c, store: standin.NewStore(c), executions: map[string]int{}, answers: map[string]string{},
		completed: map[string]bool{}, bodies: map[string]map[int]bool{}, died: map[string]bool{},
		touched: map[string]time.Time{},
	}
	w.store.SetFaults(standin.StoreFaults{DelayMS: 2})
	for i := range vms {
		v := &vm{world: w, name: fmt.Sprintf("entry-%d", i), stale: i%2 == 1}
		v.coordinator = request.NewCoordinator(v, c, v, peers{v}, settings)
		if i == 3 {
			v.coordinator.Peers = nil // Writes all claims itself, as the VM of another data centre does.
		}
		w.vms = append(w.vms, v)
		running, stop := context.WithCancel(ctx)
		v.stop = stop
		w.group.Go(func() { _ = v.coordinator.Run(running) })
	}
	return w
}

func (w *world) violate(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

// Self, Live and Ranked make a VM its own kumquathitch.Members.
func (v *vm) Self() kumquathitch.EntryVM {
	return kumquathitch.EntryVM{Name: v.name, DataCentre: "dc", Address: v.name}
}

func (v *vm) Live(string, time.Time) kumquathitch.EntryVMs {
	var live kumquathitch.EntryVMs
	for _, other := range v.world.vms {
		if other != v && (v.stale || !other.dead.Load()) {
			live = append(live, other.Self())
		}
	}
	return live
}

func (v *vm) Ranked(key, _ string, n int, now time.Time) kumquathitch.EntryVMs {
	ranked := append(v.Live("", now), v.Self())
	slices.SortFunc(ranked, func(a, b kumquathitch.EntryVM) int {
		return cmp.Compare(kumquathitch.RendezvousWeight(key, b.Name), kumquathitch.RendezvousWeight(key, a.Name))
	})
	return ranked[:n]
}

// peers calls the other coordinators in the same process.
type peers struct{ from *vm }

func (p peers) Call(ctx context.Context, address, method string, params, result any) error {
	failed := &kumquathitch.PeerError{Address: address, Method: method, Cause: errInjected}
	for _, v := range p.from.world.vms {
		if v.name != address || v.dead.Load() || p.from.dead.Load() {
			continue
		}
		batch, _ := params.(request.Batch)
		answer, err := v.coordinator.Receive(ctx, batch)
		lost := p.from.loseCalls.Load() > 0 && p.from.loseCalls.Add(-1) >= 0
		if err != nil || lost || v.dead.Load() {
			return failed
		}
		target, _ := result.(*request.Results)
		*target = answer
		return nil
	}
	return failed
}

func (v *vm) reach(operation, key string) error {
	if v.dead.Load() || v.world.clock.Now().UnixNano() < v.down.Load() {
		return &kumquathitch.StoreError{Operation: operation, Key: key, Cause: errInjected}
	}
	return nil
}

func (v *vm) Get(ctx context.Context, key string) (kumquathitch.Record, error) {
	if err := v.reach("Get", key); err != nil {
		return kumquathitch.Record{}, err
	}
	return v.world.store.Get(ctx, key)
}

func (v *vm) List(context.Context, string) (kumquathitch.Records, error) { return nil, nil }

func (v *vm) Watch(context.Context, string, uint64) (kumquathitch.Records, error) { return nil, nil }

func (v *vm) VMs(context.Context) (kumquathitch.VMListings, error) { return nil, nil }

func (v *vm) setFault(f fault) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.next = f
}

func (v *vm) takeFault() fault {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	f := v.next
	v.next = faultNone
	return f
}

func (v *vm) CompareAndSwap(ctx context.Context, record kumquathitch.Record) (kumquathitch.Record, error) {
	if err := v.reach("CompareAndSwap", record.Key); err != nil {
		return kumquathitch.Record{}, err
	}
	lost := &kumquathitch.StoreError{Operation: "CompareAndSwap", Key: record.Key, Unknown: true, Cause: errInjected}
	switch f := v.takeFault(); f {
	case faultDieBefore:
		v.die()
		return kumquathitch.Record{}, lost
	case faultLost:
		return kumquathitch.Record{}, lost
	case faultDelayed, faultDelayedDown:
		delay := time.Second
		if f == faultDelayedDown {
			delay = 3 * time.Second
			v.down.Store(v.world.clock.Now().Add(time.Second).UnixNano())
		}
		v.world.group.Go(func() {
			time.Sleep(delay)
			_, _ = v.world.store.CompareAndSwap(context.WithoutCancel(ctx), record)
		})
		return kumquathitch.Record{}, lost
	case faultDieAfter, faultAnswer, faultAnswerDown:
		_, _ = v.world.store.CompareAndSwap(ctx, record)
		if f == faultDieAfter {
			v.die()
		}
		if f == faultAnswerDown {
			v.down.Store(v.world.clock.Now().Add(2 * time.Second).UnixNano())
		}
		return kumquathitch.Record{}, lost
	default:
		return v.world.store.CompareAndSwap(ctx, record)
	}
}

// unrecorded is how long the end of a call may wait to be recorded in these
// tests: an outage of three seconds and the linger.
const unrecorded = 4 * time.Second

func (v *vm) die() {
	v.dead.Store(true)
	v.stop()
	v.world.mutex.Lock()
	defer v.world.mutex.Unlock()
	for key, at := range v.world.touched {
		if v.world.clock.Now().Sub(at) < unrecorded {
			v.world.died[key] = true
		}
	}
}

// How the upstream ends a call.
const (
	endAnswer      = iota // Runs and answers.
	endLost               // Runs, and the answer is lost.
	endUnreachable        // The connection cannot be opened.
	endKinds
)

// call does what the gateway does with one request, and checks each answer.
func (v *vm) call(key string, body, end int, period time.Duration) {
	w := v.world
	claim := kumquathitch.NewClaim("crew-a", key, uint64(body), w.clock.Now().Add(claimPeriod))
	w.mutex.Lock()
	if w.bodies[key] == nil {
		w.bodies[key] = map[int]bool{}
	}
	w.bodies[key][body] = true
	w.mutex.Unlock()
	first, err := v.coordinator.Claim(context.Background(), claim)
	if v.dead.Load() {
		w.mutex.Lock()
		w.died[key] = true
		w.mutex.Unlock()
		return
	}
	if err != nil {
		w.touch(key)
	}
	if first != nil || err != nil {
		w.check(key, first, err)
		return
	}
	text := fmt.Sprintf("%s %d %x", key, body, claim.WriteID)
	w.mutex.Lock()
	if end != endUnreachable {
		w.executions[key]++
		w.answers[key] = text
	}
	w.mutex.Unlock()
	time.Sleep(period)
	if v.dead.Load() {
		w.mutex.Lock()
		w.died[key] = true
		w.mutex.Unlock()
		return
	}
	w.touch(key)
	switch end {
	case endAnswer:
		v.coordinator.Complete(claim, kumquathitch.Outcome{Status: 200, Body: []byte(text)})
		w.mutex.Lock()
		w.completed[key] = true
		w.mutex.Unlock()
	case endLost:
		v.coordinator.Abandon(claim)
	case endUnreachable:
		v.coordinator.Withdraw(claim)
	}
}

func (w *world) touch(key string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.touched[key] = w.clock.Now()
}

// check compares a repeat's answer with what has happened.
func (w *world) check(key string, first *kumquathitch.Outcome, err error) {
	w.mutex.Lock()
	answer, several := w.answers[key], len(w.bodies[key]) > 1
	w.mutex.Unlock()
	if first != nil && string(first.Body) != answer {
		w.violate("key %s: repeat got %q, the first run answered %q", key, first.Body, answer)
	}
	var refusal *kumquathitch.RefusalError
	if err != nil && !errors.As(err, &refusal) {
		w.violate("key %s: error without a run state: %v", key, err)
		return
	}
	if refusal == nil {
		return
	}
	if refusal.Status == 422 && !several {
		w.violate("key %s: refused for another body, but there was only one", key)
	}
	if refusal.Status == 409 && refusal.Run != kumquathitch.RunUnknown {
		w.violate("key %s: a repeat of a claimed call says %q", key, refusal.Run)
	}
	if refusal.Status != 409 && refusal.Run != kumquathitch.RunNot {
		w.violate("key %s: %v", key, refusal)
	}
}
