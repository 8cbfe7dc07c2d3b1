package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/deployment"
	"kumquathitch.example/kumquathitch/fleet"
	"kumquathitch.example/kumquathitch/model"
	"kumquathitch.example/kumquathitch/platform"
	"kumquathitch.example/kumquathitch/quota"
	"kumquathitch.example/kumquathitch/relay"
	"kumquathitch.example/kumquathitch/retry"
	"kumquathitch.example/kumquathitch/standin"
	"kumquathitch.example/kumquathitch/telemetry"
)

const apiKey = "key-of-the-crew"

// testVM is one VM that forwards calls to stand-in instances.
type testVM struct {
	t             *testing.T
	handler       *relay.Handler
	fleet         *fleet.Fleet
	contents      *retry.CrashGuard
	prompts       *retry.PromptGuard
	crashes       *retry.CrashDetector
	address       string
	stopping      atomic.Bool
	cancelBase    context.CancelFunc // Cancels the handler's BaseContext.
	placeRequests atomic.Int64       // Number of requests to the leader to place an adapter.
	schedule      func() error       // Instead of scheduleError.
	scheduleError error              // Returned by Schedule; nil for that of a VM without a leader.
	instances     []*standin.Instance
}

// PlaceAdapter reports that the adapter is placed, although no stand-in instance holds it.
func (vm *testVM) PlaceAdapter(context.Context, kumquathitch.AdapterRequest) bool {
	vm.placeRequests.Add(1)
	return true
}

// Schedule returns an error, by default that of a VM that has no leader.
func (vm *testVM) Schedule(context.Context, kumquathitch.InstanceCriteria) (kumquathitch.Assignment, error) {
	if vm.schedule != nil {
		return kumquathitch.Assignment{}, vm.schedule()
	}
	if vm.scheduleError != nil {
		return kumquathitch.Assignment{}, vm.scheduleError
	}
	return kumquathitch.Assignment{}, errors.New("no leader")
}

// Admit admits all calls.
func (vm *testVM) Admit(context.Context, *kumquathitch.Instance) (time.Time, bool) {
	return time.Time{}, true
}

func newTestVM(t *testing.T, instances ...*standin.Instance) *testVM {
	t.Helper()
	vm := &testVM{t: t, fleet: fleet.NewFleet("entry-1", "zone-a"), instances: instances}
	for _, instance := range instances {
		vm.startInstance(instance)
	}
	current := deployment.NewCurrent()
	current.Apply(routes(), nil)
	relayMetrics := relay.NewMetrics(metrics.NewSet())
	base, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	vm.cancelBase = cancel
	handler := &relay.Handler{
		Dialect: platform.Dialect{}, Deployments: current, Chooser: vm.fleet, Scheduler: vm, TokenBuckets: quota.NewLocalBuckets(clock.Monotonic{}, true),
		RetryBudget:   retry.NewBudget(retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, time.Now()),
		AdapterPlacer: vm, Demand: model.NewDemand(), Clock: clock.Monotonic{}, Logger: zap.NewNop(),
		Tracer: noop.NewTracerProvider().Tracer("test"), Metrics: relayMetrics, Pool: relay.NewPool(relayMetrics),
		Buffers: relay.NewBuffers(0), Panics: telemetry.NewPanicGuard(zap.NewNop(), metrics.NewSet()), Draining: vm.stopping.Load, Stopping: vm.stopping.Load, BaseContext: base,
	}
	vm.handler = handler
	vm.contents = retry.NewCrashGuard("vm-1")
	vm.prompts = retry.NewPromptGuard("vm-1", vm.contents)
	vm.crashes = retry.NewCrashDetector(vm.contents, vm.prompts)
	handler.CrashGuard, handler.PromptGuard, handler.CrashDetector = vm.contents, vm.prompts, vm.crashes
	front := httptest.NewServer(handler)
	t.Cleanup(front.Close)
	vm.address = front.URL
	return vm
}

func (vm *testVM) startInstance(instance *standin.Instance) {
	listener := httptest.NewServer(instance)
	vm.t.Cleanup(listener.Close)
	vm.t.Cleanup(instance.Close)
	vm.register(instance, listener.Listener.Addr().String())
}

// loseInstance has the entry of an instance disappear without notice.
func (vm *testVM) loseInstance(id string) {
	vm.t.Helper()
	instance, known := vm.fleet.Instance(id)
	must.True(vm.t, known)
	vm.crashes.RecordGone(&instance, time.Now())
	vm.fleet.Remove(id, time.Now())
}

func (vm *testVM) register(instance *standin.Instance, address string) {
	entry := kumquathitch.KeyItem{Key: "servers/" + instance.ID, Revision: 1, Value: instance.Registration(address)}
	description, err := platform.Codec{}.DecodeInstance(entry, time.Now())
	must.NoError(vm.t, err)
	vm.fleet.Put(description, time.Now())
}

func routes() *kumquathitch.Deployment {
	route := func(path string, mode kumquathitch.RetryMode) kumquathitch.DeploymentRoute {
		return kumquathitch.DeploymentRoute{
			Name: path, Host: "a.example", PathPrefix: path, RetryMode: mode, Stream: strings.HasPrefix(path, "/stream/"), MaxAttempts: 2,
			Shares:  kumquathitch.ServiceShares{{Service: "llm", Weight: 1}},
			Timeout: 4 * time.Second, LatencyObjective: 200 * time.Millisecond, GapLimit: 20 * time.Millisecond,
		}
	}
	return &kumquathitch.Deployment{
		Version: 1, Services: kumquathitch.Services{{Name: "llm"}},
		Routes: kumquathitch.DeploymentRoutes{
			route("/book/", kumquathitch.RetryNever), route("/read/", kumquathitch.RetryRestart),
			route("/stream/plan/", kumquathitch.RetryResume), route("/stream/draft/", kumquathitch.RetryNever),
		},
		Tenants: kumquathitch.Tenants{{Name: "crew", Keys: []string{apiKey}, Priority: 1}},
	}
}

type callResult struct {
	status int
	header http.Header
	body   string
	err    error // Set if the response is incomplete.
}

func (vm *testVM) call(id, path string) callResult {
	return vm.callModel(id, path, "")
}

func (vm *testVM) callModel(id, path, model string) callResult {
	vm.t.Helper()
	return vm.callHeaders(id, path, map[string]string{"Model": model})
}

func (vm *testVM) callHeaders(id, path string, headers map[string]string) callResult {
	vm.t.Helper()
	return vm.callContext(vm.t.Context(), id, path, headers)
}

func (vm *testVM) callContext(ctx context.Context, id, path string, headers map[string]string) callResult {
	vm.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.address+path, strings.NewReader("body"))
	must.NoError(vm.t, err)
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("Deadline-Ms", "4000")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (vm *testVM) runCount(id string) int {
	total := 0
	for _, instance := range vm.instances {
		total += instance.Executions(id)
	}
	return total
}

func newInstancePair() (*standin.Instance, *standin.Instance) {
	return standin.NewInstance("i-1", "llm"), standin.NewInstance("i-2", "llm")
}

func setFaults(one, two *standin.Instance, faults standin.InstanceFaults) {
	one.SetFaults(faults)
	two.SetFaults(faults)
}

// TestForwardsResponse checks that status, signature and body of a response reach
// the caller unchanged, and that the caller's key does not reach the instance.
func TestForwardsResponse(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	vm := newTestVM(t, one)
	got := vm.call("r1", "/book/1")
	must.NoError(t, got.err)
	must.Eq(t, 200, got.status)
	must.Eq(t, "answer to r1 from i-1", got.body)
	must.Eq(t, "signed-by-i-1", got.header.Get("Response-Signature"))
	head := one.RequestHeaders()[0]
	must.Eq(t, "", head.Get("Api-Key"))
	must.Eq(t, "crew", head.Get("Tenant"))
	must.Eq(t, "i-1", head.Get("Expect-Instance"))
}

// TestAtMostOnceCallRunsOnce checks an at-most-once call whose connection breaks
// before the response: it runs once, and the caller gets 502, since it may have run.
func TestAtMostOnceCallRunsOnce(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	for n := range 20 {
		setFaults(one, two, standin.InstanceFaults{BreakCalls: 1})
		id := fmt.Sprintf("r%d", n)
		got := vm.call(id, "/book/"+id) // With equal content, the calls would be blocked for crashing instances.
		must.Eq(t, 502, got.status)
		must.Eq(t, 1, vm.runCount(id))
	}
}

// TestCrashingCallIsBlocked checks that a call that crashed three instances is
// not sent again, while other calls still are.
func TestCrashingCallIsBlocked(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	for n := range 3 {
		setFaults(one, two, standin.InstanceFaults{BreakCalls: 1})
		must.Eq(t, 502, vm.call(fmt.Sprintf("r%d", n), "/book/crash").status)
	}
	got := vm.call("r3", "/book/crash")
	must.Eq(t, 503, got.status)
	must.Eq(t, 0, vm.runCount("r3"))
	setFaults(one, two, standin.InstanceFaults{})
	must.Eq(t, 200, vm.call("other", "/book/other").status)
}

// TestNotRunCallIsSentToAnotherInstance checks that an at-most-once call is sent to
// another instance if the first one states that it did not run it.
func TestNotRunCallIsSentToAnotherInstance(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	one.SetFaults(standin.InstanceFaults{RejectCalls: 3})
	for n := range 6 {
		got := vm.call(fmt.Sprintf("r%d", n), "/book/1")
		must.Eq(t, 200, got.status)
	}
	setFaults(one, two, standin.InstanceFaults{RejectCalls: 99})
	got := vm.call("full", "/book/1")
	must.Eq(t, 503, got.status)
	must.Eq(t, 0, vm.runCount("full"))
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

// TestIdempotentCallIsRepeated checks that a call that may run again is answered
// while another instance can answer it.
func TestIdempotentCallIsRepeated(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	setFaults(one, two, standin.InstanceFaults{BreakCalls: 1})
	got := vm.call("r1", "/read/1")
	if got.status == 200 {
		t.Fatal("both instances broke the connection, so the call should have failed")
	}
	got = vm.call("r2", "/read/1")
	must.Eq(t, 200, got.status)
}

// TestUnreachableInstanceIsSkipped guards against calls that fail because an
// instance is gone while its record is still in the store.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	vm := newTestVM(t, one)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	vm.register(standin.NewInstance("i-2", "llm"), listener.Addr().String())
	for n := range 10 {
		must.Eq(t, 200, vm.call(fmt.Sprintf("r%d", n), "/book/1").status)
	}
}

// TestReusedAddress guards against a call that runs on an instance that has taken
// over the address of an earlier one.
func TestReusedAddress(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	vm := newTestVM(t)
	listener := httptest.NewServer(one)
	t.Cleanup(listener.Close)
	vm.register(standin.NewInstance("i-0", "llm"), listener.Listener.Addr().String())
	got := vm.call("r1", "/book/1")
	must.Eq(t, 503, got.status)
	must.Eq(t, 0, one.Executions("r1"))
}

// TestMismatchedResponseIsDropped guards against forwarding the response to another
// call that arrives on the same connection.
func TestMismatchedResponseIsDropped(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	one.SetFaults(standin.InstanceFaults{WrongResponseFirst: true})
	vm := newTestVM(t, one)
	got := vm.call("r1", "/book/1")
	must.Eq(t, 200, got.status)
	must.Eq(t, "answer to r1 from i-1", got.body)
}

// TestStreamResumesOnAnotherInstance checks that a stream whose instance fails is
// resumed without a missing, duplicate or truncated event. A stream that cannot
// be resumed must not look complete.
func TestStreamResumesOnAnotherInstance(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	one.SetFaults(standin.InstanceFaults{BreakStreamAfter: 3})
	whole := ""
	for n := 1; n <= 5; n++ {
		whole += fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
	}
	for n := range 6 {
		got := vm.call(fmt.Sprintf("r%d", n), "/stream/plan/1")
		must.NoError(t, got.err)
		must.Eq(t, whole, got.body)
	}
	setFaults(one, two, standin.InstanceFaults{BreakStreamAfter: 3})
	got := vm.call("draft", "/stream/draft/1")
	must.Error(t, got.err)
	must.Eq(t, 1, vm.runCount("draft"))
}

// TestResetOfIdleConnectionCountsAsRun guards against more runs of a call than its
// route allows: an instance that resets a reused connection may have run the call
// (seed 1 of the soak test: four runs, two allowed).
func TestResetOfIdleConnectionCountsAsRun(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	for n := range 4 { // Leaves an idle connection to each instance.
		must.Eq(t, 200, vm.call(fmt.Sprintf("warm%d", n), "/read/1").status)
	}
	setFaults(one, two, standin.InstanceFaults{BreakCalls: 10})
	vm.call("r1", "/read/1")
	must.LessEq(t, 2, vm.runCount("r1"))
}

// TestInterruptedStreamWaitsForCapacity guards against ending an interrupted stream
// because all instances that could resume it are full for a moment (LOST on
// laurentide-montage-grown).
func TestInterruptedStreamWaitsForCapacity(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	setFaults(one, two, standin.InstanceFaults{BreakStreamAfter: 3, RejectResumes: 3})
	got := vm.call("r1", "/stream/plan/1")
	must.NoError(t, got.err)
	must.Eq(t, 5, strings.Count(got.body, "data:"))
	must.Eq(t, 2, vm.runCount("r1"))
}

// TestSilentStreamResumesOnAnotherInstance guards against a stream that stalls until
// its deadline although another instance could resume it.
func TestSilentStreamResumesOnAnotherInstance(t *testing.T) {
	one, two := newInstancePair()
	vm := newTestVM(t, one, two)
	one.SetFaults(standin.InstanceFaults{StallStreamAfter: 2})
	for n := range 4 {
		got := vm.call(fmt.Sprintf("r%d", n), "/stream/plan/1")
		must.NoError(t, got.err)
		must.Eq(t, 5, strings.Count(got.body, "data:"))
	}
}

// TestSilentStreamWithoutAlternativeIsKept guards against ending a silent stream
// before its deadline although no other instance could resume it (LOST on hunted
// days of cellarkeep-hq).
func TestSilentStreamWithoutAlternativeIsKept(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	one.SetFaults(standin.InstanceFaults{StallStreamAfter: 2})
	vm := newTestVM(t, one)
	begun := time.Now()
	got := vm.call("r1", "/stream/plan/1")
	must.Error(t, got.err)
	must.GreaterEq(t, 3900*time.Millisecond, time.Since(begun)) // The deadline is 4 s.
	must.Eq(t, 1, one.Executions("r1"))
}

// TestPlaceRequestsArePaced guards against a busy loop of requests for an adapter
// that the leader reports as placed and this VM cannot use (scale-2 of
// cellarkeep-hq with seed 11: 72 s of processor time in a day).
func TestPlaceRequestsArePaced(t *testing.T) {
	vm := newTestVM(t, standin.NewInstance("i-1", "llm", "m"))
	got := vm.callModel("r1", "/read/1", "m/a1")
	must.Eq(t, 503, got.status)
	must.Between(t, 1, vm.placeRequests.Load(), 12)
}

// TestStoppingVMAnswersOpenCalls guards against a call that gets neither a response
// nor a refusal because it still runs on an instance when the VM stops.
func TestStoppingVMAnswersOpenCalls(t *testing.T) {
	reached := make(chan struct{}, 2) // Buffered, so that a second arrival does not block the instance.
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after the body is read.
		reached <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	vm := newTestVM(t)
	vm.register(standin.NewInstance("i-1", "llm"), server.Listener.Addr().String())
	answered := make(chan callResult, 1)
	go func() { answered <- vm.call("r1", "/read/1") }()
	<-reached
	vm.cancelBase()
	got := <-answered
	must.NoError(t, got.err)
	must.Eq(t, 502, got.status)
	must.StrContains(t, got.body, "shutting-down")
	must.Eq(t, 0, len(reached)) // The call was sent once.
}

// TestCallerDisconnectCancelsRun guards against instances that go on working for
// callers who have disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	left := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}))
	t.Cleanup(server.Close)
	vm := newTestVM(t)
	vm.register(standin.NewInstance("i-1", "llm"), server.Listener.Addr().String())
	ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, vm.address+"/read/1", http.NoBody)
	must.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Api-Key", apiKey)
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // There is no answer.
	must.Error(t, err)
	<-left
}

// TestRefusalStatus checks that calls without a route or a valid key, and calls to
// a stopping VM, are refused and not forwarded.
func TestRefusalStatus(t *testing.T) {
	one := standin.NewInstance("i-1", "llm")
	vm := newTestVM(t, one)
	must.Eq(t, 404, vm.call("r1", "/nowhere/1").status)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, vm.address+"/read/1", http.NoBody)
	must.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("Api-Key", "another")
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, 401, response.StatusCode)
	vm.stopping.Store(true)
	got := vm.call("r2", "/book/1")
	must.Eq(t, 503, got.status)
	must.Eq(t, 0, len(one.RequestHeaders()))
}
