package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/account"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/entry"
	"kumquathitch.example/kumquathitch/gateway"
	"kumquathitch.example/kumquathitch/request"
	"kumquathitch.example/kumquathitch/standin"
	"kumquathitch.example/kumquathitch/telemetry"
)

// serviceFixture is a gateway with a plain service whose calls tests can make
// fail. It is also the limiter and the picker of the gateway.
type serviceFixture struct {
	t         *testing.T
	url       string
	key       string
	accounts  *account.Directory
	store     *standin.Store
	crashes   *request.CrashTracker
	refusal   error    // Returned by Pick for retries, as when the retry budget is spent; may be nil.
	addresses []string // Upstreams in the order in which they are picked.
	listeners []net.Listener
	unblock   chan struct{} // Calls of /slow wait until it is closed.

	mutex    sync.Mutex
	executed map[string]int // Executions by method, path and body.
}

func (*serviceFixture) Admit(context.Context, string, float64) (kumquathitch.Charge, error) {
	return kumquathitch.Charge{}, nil
}

func (*serviceFixture) Settle(kumquathitch.Charge, float64) {}

func (f *serviceFixture) Done(choice kumquathitch.UpstreamChoice, result kumquathitch.UpstreamResult) {
	f.crashes.End(choice.Upstream.Name, choice.Criteria.Fingerprint, result, time.Now())
}

func (f *serviceFixture) Pick(criteria kumquathitch.UpstreamCriteria) (kumquathitch.UpstreamChoice, error) {
	if err := f.crashes.Admit(criteria.Fingerprint, time.Now()); err != nil {
		return kumquathitch.UpstreamChoice{}, err
	}
	if f.refusal != nil && len(criteria.Exclude) > 0 {
		return kumquathitch.UpstreamChoice{}, f.refusal
	}
	for _, address := range f.addresses {
		if !slices.Contains(criteria.Exclude, address) && f.crashes.Begin(address, criteria.Fingerprint, time.Now()) {
			return kumquathitch.UpstreamChoice{Upstream: kumquathitch.Upstream{Name: address, Address: address}, Criteria: criteria}, nil
		}
	}
	return kumquathitch.UpstreamChoice{}, kumquathitch.NewRefusal(503, "no-upstream", "No upstream is left.")
}

// ServeHTTP executes a call. The last segment of the path selects a failure.
func (f *serviceFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mutex.Lock()
	f.executed[r.Method+r.URL.Path+string(body)]++
	f.mutex.Unlock()
	switch {
	case strings.HasSuffix(r.URL.Path, "/lost"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/crash"): // Of all upstreams; they accept no more connections.
		for _, listener := range f.listeners {
			_ = listener.Close()
		}
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/moved"):
		w.Header().Set("Location", r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	case strings.HasSuffix(r.URL.Path, "/slow"):
		select {
		case <-f.unblock:
		case <-f.t.Context().Done():
		}
	}
	_, _ = io.WriteString(w, "booked "+string(body))
}

func (f *serviceFixture) executions(call string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.executed[call]
}

func newServiceFixture(t *testing.T, upstreams int) *serviceFixture {
	key, presented := kumquathitch.NewKey(time.Now())
	c := clock.NewSystem()
	f := &serviceFixture{t: t, key: presented, store: standin.NewStore(c), crashes: request.NewCrashTracker("entry-1", time.Hour, time.Second, nil), unblock: make(chan struct{}), executed: map[string]int{}}
	for range upstreams {
		service := httptest.NewServer(f)
		t.Cleanup(service.Close)
		f.addresses = append(f.addresses, service.Listener.Addr().String())
		f.listeners = append(f.listeners, service.Listener)
	}
	f.accounts = account.NewDirectory()
	config := kumquathitch.Configuration{
		Generation: 1,
		Accounts:   kumquathitch.Accounts{{Name: "crew-a", Rate: 1, Keys: kumquathitch.Keys{key}}},
		Routes: kumquathitch.Routes{
			{Path: "/b/{id}", Service: "s"},
			{Method: "GET", Path: "/b/{id}", Service: "s"},
			{Method: "DELETE", Path: "/b/{id}", Service: "s"},
			{Path: "/strict/{id}", Service: "s", RequireIdempotencyKey: true},
			{Path: "/again/{id}", Service: "s", Idempotent: true},
			{Method: "GET", Path: "/again/{id}", Service: "s", Idempotent: true},
		},
	}
	config.SetDefaults()
	f.accounts.Apply(config)
	tracing, err := telemetry.NewTracing(t.Context(), "test", "")
	must.NoError(t, err)
	outcomes := request.NewCoordinator(f.store, c, entry.NewRegistry(kumquathitch.EntryVM{Name: "entry-1"}, entry.Settings{}), nil, request.Settings{})
	go func() { _ = outcomes.Run(t.Context()) }()
	server := gateway.NewServer(&gateway.Server{
		Authenticator: f.accounts, Limiter: f, Picker: f, Outcomes: outcomes, Clock: c, Tracing: tracing,
		Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	}, nil)
	server.Apply(config)
	front := httptest.NewServer(server)
	t.Cleanup(front.Close)
	f.url = front.URL
	return f
}

func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// expectation is the status of a response and the values of its headers
// kumquathitch-run and kumquathitch-repeat.
type expectation struct {
	status            int
	execution, repeat string
}

func (f *serviceFixture) request(ctx context.Context, method, path, idempotencyKey, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	must.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+f.key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return r
}

// call sends a request, checks the response and returns its body.
func (f *serviceFixture) call(method, path, idempotencyKey, body string, expected expectation) string {
	f.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	response, err := transport.RoundTrip(f.request(ctx, method, path, idempotencyKey, body))
	must.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	h := response.Header
	got := expectation{response.StatusCode, h.Get("kumquathitch-run"), h.Get("kumquathitch-repeat")}
	must.Eq(f.t, expected, got, must.Sprintf("%s %s: %s", method, path, text))
	return string(text)
}

// awaitExecution sends other calls until the given call has been executed.
func (f *serviceFixture) awaitExecution(call string) {
	for f.executions(call) == 0 {
		f.call("POST", "/b/other", "", "", expectation{status: 200})
	}
}

// A call of which no byte was sent must not be recorded as one that may have
// run, even if its retry is refused.
func TestUnreachableUpstreamMeansNotExecuted(t *testing.T) {
	f := newServiceFixture(t, 0)
	f.addresses = []string{closedAddress(t)}
	f.refusal = kumquathitch.NewFailure(503, "retry-budget-spent", "An upstream failed, and too many requests are being retried.")
	f.call("POST", "/b/far", "k", "laval", expectation{503, "not-run", ""})
	f.call("POST", "/b/far", "k", "laval", expectation{503, "not-run", ""}) // The repeat must not report that the call may have run.
}

// Neither net/http nor the gateway may send a non-idempotent call again after a
// broken connection or a redirect.
func TestCallIsSentOnce(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		for _, body := range []string{"", "laval"} {
			for _, key := range []string{"", "k"} {
				f := newServiceFixture(t, 3)
				f.call(method, "/b/warm", "", "", expectation{status: 200}) // Would leave an idle connection if any were kept.
				f.call(method, "/b/lost", key, body, expectation{502, "unknown", ""})
				f.call(method, "/b/moved", key+key, body, expectation{status: 307})
				must.Eq(t, 1, f.executions(method+"/b/lost"+body))
				must.Eq(t, 1, f.executions(method+"/b/moved"+body))
			}
		}
	}
}

// A second request with the same idempotency key must not run the call again,
// and every refusal must state correctly whether the call may have run.
func TestRepeatsAndExecutionStates(t *testing.T) {
	f := newServiceFixture(t, 1)
	must.Eq(t, "booked laval", f.call("POST", "/b/1", "k1", "laval", expectation{status: 200}))
	must.Eq(t, "booked laval", f.call("POST", "/b/1", "k1", "laval", expectation{200, "", "true"}))
	f.call("POST", "/b/1", "k1", "other", expectation{422, "not-run", ""})
	f.call("POST", "/b/2", "k1", "laval", expectation{422, "not-run", ""})
	must.Eq(t, 1, f.executions("POST/b/1laval"))

	f.call("POST", "/strict/1", "", "laval", expectation{400, "not-run", ""})
	f.call("POST", "/b/1", strings.Repeat("k", 256), "laval", expectation{400, "not-run", ""})

	f.call("POST", "/b/lost", "k2", "laval", expectation{502, "unknown", ""})
	f.call("POST", "/b/lost", "k2", "laval", expectation{409, "unknown", ""})
	must.Eq(t, 1, f.executions("POST/b/lostlaval"))

	f.store.SetFaults(standin.StoreFaults{Down: true})
	f.call("POST", "/b/1", "k3", "montreal", expectation{503, "not-run", ""})
	must.Eq(t, 0, f.executions("POST/b/1montreal"))
	f.store.SetFaults(standin.StoreFaults{LoseResponses: 1})
	f.call("POST", "/b/1", "k3", "montreal", expectation{status: 200})

	open, closed := f.addresses, []string{closedAddress(t), closedAddress(t)}
	f.addresses = closed
	f.call("POST", "/b/1", "k4", "hull", expectation{503, "not-run", ""})
	f.addresses = slices.Concat(closed, open) // An unreachable upstream does not count as crashed.
	f.call("POST", "/b/1", "k4", "hull", expectation{status: 200})
	f.addresses = slices.Concat(open, closed)
	// The first attempt may have run and the second did not, so the call may have run.
	f.call("POST", "/again/lost", "", "hull", expectation{502, "unknown", ""})
}

// The outcome of a claimed call must be recorded even if the caller goes away
// before the call ends.
func TestClaimedCallContinuesWithoutCaller(t *testing.T) {
	f := newServiceFixture(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	sendBooking := func(ctx context.Context) (*http.Response, error) {
		return http.DefaultClient.Do(f.request(ctx, "POST", "/b/slow", "k1", "laval"))
	}
	gone := make(chan error)
	go func() {
		_, err := sendBooking(ctx) //nolint:bodyclose // There is no answer.
		gone <- err
	}()
	f.awaitExecution("POST/b/slowlaval")
	cancel()
	must.Error(t, <-gone)
	f.call("POST", "/b/slow", "k1", "laval", expectation{409, "unknown", ""})
	close(f.unblock)
	for {
		response, err := sendBooking(t.Context())
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			must.Eq(t, "true", response.Header.Get("kumquathitch-repeat"))
			break
		}
		must.StrContains(t, string(text), "still-running")
	}
	must.Eq(t, 1, f.executions("POST/b/slowlaval"))
}

// When its key is withdrawn, a waiting caller must be refused immediately and
// must not get the response of a call that still runs. The call continues, so
// that its outcome is recorded.
func TestWithdrawnKeyIsRefusedImmediately(t *testing.T) {
	f := newServiceFixture(t, 1)
	answered := make(chan string)
	go func() {
		defer close(answered)
		answered <- f.call("POST", "/b/slow", "k1", "laval", expectation{401, "unknown", ""})
	}()
	f.awaitExecution("POST/b/slowlaval")
	f.accounts.Apply(kumquathitch.Configuration{Generation: 2})
	must.StrContains(t, <-answered, "key-withdrawn") // While the call still runs.
	close(f.unblock)
}

// After a call has crashed two upstreams, it must not be sent to any other.
func TestCrashingCallIsBlocked(t *testing.T) {
	f := newServiceFixture(t, 5)
	f.call("POST", "/again/lost", "", "crash", expectation{502, "unknown", ""})
	f.call("POST", "/again/lost", "", "crash", expectation{422, "not-run", ""})
	must.Eq(t, 2, f.executions("POST/again/lostcrash"))
	f.call("POST", "/again/1", "", "laval", expectation{status: 200})
}

// TestCrashOnKeptConnectionIsReported guards against a call that ran, and crashed its upstream,
// but is refused as not run because the connection that net/http opens next is refused.
func TestCrashOnKeptConnectionIsReported(t *testing.T) {
	f := newServiceFixture(t, 1)
	f.call("GET", "/again/1", "", "", expectation{status: 200})
	f.call("GET", "/again/crash", "", "", expectation{502, "unknown", ""})
	must.Eq(t, 1, f.executions("GET/again/crash"))
}
