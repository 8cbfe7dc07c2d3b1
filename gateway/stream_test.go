package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"kumquathitch.example/kumquathitch/standin"
)

// A truncated stream must not look complete, and a resumed one must not miss or
// repeat any part. The test truncates the stream of an upstream at every byte.
func TestStreamIsCompleteOrVisiblyBroken(t *testing.T) {
	body := chatBody("Plan the raise.", streamTokens)
	full := fullStream(body)
	lastEvent := len(full) - len("data: [DONE]\n\n")
	var truncating atomic.Pointer[truncatingEngine] // Atomic, because a handler of the previous case may still run.
	secondUpstreams := map[string]http.Handler{
		"resumes": engine(standin.EngineSettings{ResumesStreams: true}).Handler(),
		"cannot":  engine(standin.EngineSettings{}).Handler(),
		"none":    nil,
	}
	for name, second := range secondUpstreams {
		var calls atomic.Int64
		// The first call is truncated; the second, on the other upstream, is not.
		upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case calls.Add(1) == 1:
				truncating.Load().ServeHTTP(w, r)
			case second == nil:
				panic(http.ErrAbortHandler)
			default:
				second.ServeHTTP(w, r)
			}
		})
		g := newGatewayFixture(t, 60_000, upstream, upstream)
		for _, abort := range []bool{false, true} {
			for length := range len(full) + 1 {
				current := &truncatingEngine{length: length, abortConn: abort}
				truncating.Store(current)
				calls.Store(0)
				g.resetTable()
				got := g.chat(context.Background(), body)
				where := must.Sprintf("%s, abort %t, cut after %d", name, abort, current.length)
				switch {
				case got.status == http.StatusBadGateway:
					must.Less(t, strings.Index(full, "\n\n")+2, current.length, where) // Truncated before the end of the first event.
				case got.err == nil:
					must.Eq(t, full, got.body, where)
				default:
					events, _, _ := strings.Cut(got.body, "data: {\"error\"")
					must.StrHasPrefix(t, events, full, where)
					must.StrNotContains(t, got.body, "[DONE]", where)
					must.NotEq(t, "resumes", name, where)
					must.LessEq(t, lastEvent+len("data: [DONE]"), current.length, where)
				}
			}
		}
		g.close()
	}
}

// crossingEngine sometimes swaps the responses of two concurrent requests.
type crossingEngine struct {
	mutex   sync.Mutex
	waiting chan pendingRequest
	crossed int
}

type pendingRequest struct {
	id, body string
	swapped  chan pendingRequest
}

func (e *crossingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	own := pendingRequest{id: r.Header.Get("Request-Id"), body: string(body), swapped: make(chan pendingRequest, 1)}
	served := own
	select {
	case other := <-e.waiting:
		other.swapped <- own
		served = other
		e.mutex.Lock()
		e.crossed++
		e.mutex.Unlock()
	default:
		select {
		case e.waiting <- own:
			select {
			case served = <-own.swapped:
			case <-time.After(5 * time.Millisecond): // The next request gets the response to this one.
			}
		default:
		}
	}
	w.Header().Set("Request-Id", served.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, fullStream(served.body))
}

// A caller must not get the response to another caller's request when an engine
// mixes up its responses.
func TestResponsesNeverCross(t *testing.T) {
	crossing := &crossingEngine{waiting: make(chan pendingRequest, 1)}
	g := newGatewayFixture(t, 300, crossing, engine(standin.EngineSettings{EchoesRequestID: true}).Handler())
	defer g.close()
	var complete int
	rapid.Check(t, func(t *rapid.T) {
		callers := rapid.IntRange(2, 8).Draw(t, "callers")
		prompts := rapid.SliceOfN(rapid.StringMatching(`[a-z ]{5,40}`), callers, callers).Draw(t, "prompts")
		got := make([]chatResponse, callers)
		var running sync.WaitGroup
		for i := range callers {
			running.Go(func() { got[i] = g.chat(context.Background(), chatBody(fmt.Sprint(i, prompts[i]), streamTokens)) })
		}
		running.Wait()
		for i := range callers {
			if got[i].err == nil && got[i].status == http.StatusOK {
				complete++
				must.Eq(t, fullStream(chatBody(fmt.Sprint(i, prompts[i]), streamTokens)), got[i].body)
			}
		}
	})
	must.Positive(t, complete)
	must.Positive(t, crossing.crossed, must.Sprint("the engine must have swapped some responses"))
}

// Retries and hedges must not multiply the requests to a failing model.
func TestRequestRetriesStayInBudget(t *testing.T) {
	var calls atomic.Int64
	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	})
	g := newGatewayFixture(t, 5000, failing, failing, failing, failing)
	defer g.close()
	const requests = 60
	began := time.Now()
	for i := range requests {
		got := g.chat(context.Background(), chatBody(fmt.Sprint(i), 1))
		must.Eq(t, http.StatusBadGateway, got.status)
	}
	allowed := requests + 3 + time.Since(began).Seconds()/10
	must.LessEq(t, allowed, float64(calls.Load()))
	must.Greater(t, requests, calls.Load(), must.Sprint("some are retried"))
}

// When an upstream hangs, the request must be hedged on another one, and the
// attempt on the hanging upstream must be cancelled.
func TestLateFirstTokenIsHedged(t *testing.T) {
	var hung, cancelled atomic.Int64
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects that the caller has left only after the body was read.
		hung.Add(1)
		<-r.Context().Done()
		cancelled.Add(1)
	})
	g := newGatewayFixture(t, 50, hanging, engine(standin.EngineSettings{}).Handler())
	defer g.close()
	for i := 0; hung.Load() < 2; i++ {
		g.resetTable() // Otherwise the recorded state of the hanging upstream keeps requests away from it.
		body := chatBody(fmt.Sprint(i), streamTokens)
		got := g.chat(context.Background(), body)
		must.NoError(t, got.err)
		must.Eq(t, fullStream(body), got.body)
	}
	waitFor(t, "cancelled requests", func() bool { return cancelled.Load() == hung.Load() })
}

// An engine must not continue to generate tokens after the caller has gone away.
func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	g := newGatewayFixture(t, 5000, endless)
	defer g.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.chat(ctx, chatBody("Plan.", 5))
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream still runs")
	}
}

// The caller must get an engine's explanation of a bad request unchanged, and
// the request must not be retried.
func TestClientErrorIsRelayedUnchanged(t *testing.T) {
	const explanation = `{"error":{"message":"The prompt is too long.","code":"context-length"}}`
	var calls atomic.Int64
	rejecting := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, explanation)
	})
	g := newGatewayFixture(t, 5000, rejecting, rejecting)
	defer g.close()
	got := g.chat(context.Background(), chatBody("Plan.", 5))
	must.Eq(t, http.StatusUnprocessableEntity, got.status)
	must.Eq(t, explanation, got.body)
	must.Eq(t, "application/problem+json", got.header.Get("Content-Type"))
	must.Eq(t, 1, calls.Load())
}

// TestEngineThatAsksForPauseGetsNoRequests guards against requests to an engine that rejected
// one with a Retry-After, until that time.
func TestEngineThatAsksForPauseGetsNoRequests(t *testing.T) {
	sound := engine(standin.EngineSettings{TokenInterval: 5 * time.Millisecond}).Handler() // A slow one is not preferred.
	var rejected atomic.Int64
	rejecting := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rejected.Add(1)
		w.Header().Set("Retry-After", "60.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g := newGatewayFixture(t, 5000, rejecting, sound)
	defer g.close()
	calls := 0
	chat := func() {
		calls++ // Engines are preferred for prompts that they have cached.
		must.Eq(t, http.StatusOK, g.chat(context.Background(), chatBody(fmt.Sprint(calls, " plans."), 3)).status)
	}
	for rejected.Load() == 0 && calls < 500 {
		chat()
	}
	for range 20 {
		chat()
	}
	must.Eq(t, 1, rejected.Load())
}

// A caller that does not read its stream must neither block other callers nor
// make the gateway buffer the stream in memory.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	var sent atomic.Int64
	flood := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		if !strings.Contains(string(body), "slow") {
			_, _ = io.WriteString(w, fullStream(string(body)))
			return
		}
		event := "data: {\"pad\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n"
		for r.Context().Err() == nil {
			if n, err := io.WriteString(w, event); err == nil {
				sent.Add(int64(n))
			}
		}
	})
	g := newGatewayFixture(t, 5000, flood)
	defer g.close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.front.URL+"/v1/chat/completions",
		strings.NewReader(chatBody("slow", 5)))
	must.NoError(t, err)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	for i := range 50 {
		body := chatBody(fmt.Sprint(i), streamTokens)
		got := g.chat(context.Background(), body)
		must.NoError(t, got.err)
		must.Eq(t, fullStream(body), got.body)
	}
	must.Less(t, 64<<20, sent.Load(), must.Sprint("the gateway must not read the whole stream into memory"))
}

// A graceful shutdown must not break streams, including those that have to be
// resumed on another upstream during the shutdown.
func TestShutdownCompletesStreams(t *testing.T) {
	var calls atomic.Int64
	streaming, proceed := make(chan struct{}), make(chan struct{})
	resuming := engine(standin.EngineSettings{ResumesStreams: true}).Handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			resuming.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, fullStream(string(body))[:200])
		_ = http.NewResponseController(w).Flush()
		close(streaming)
		<-proceed
		panic(http.ErrAbortHandler)
	})
	g := newGatewayFixture(t, 5000, handler, handler)
	defer g.close()
	body := chatBody("Plan.", streamTokens)
	got := make(chan chatResponse, 1)
	go func() { got <- g.chat(context.Background(), body) }()
	<-streaming
	down := make(chan error, 1)
	go func() { down <- g.front.Config.Shutdown(context.Background()) }()
	waitFor(t, "closed listener", func() bool { return !reachable(g.front) })
	close(proceed)
	response := <-got
	must.NoError(t, response.err)
	must.Eq(t, fullStream(body), response.body)
	must.NoError(t, <-down)
}

func reachable(server *httptest.Server) bool {
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(server.URL + "/-/live")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}
