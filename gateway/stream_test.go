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

// TestStreamIsWholeOrVisiblyBroken guards against a stream that is cut and
// looks whole, and against a resumed stream with missing or doubled parts, for
// every byte at which an upstream can break off.
func TestStreamIsWholeOrVisiblyBroken(t *testing.T) {
	body := chatBody("Plan the raise.", cutTokens)
	whole := wholeStream(body)
	lastEvent := len(whole) - len("data: [DONE]\n\n")
	var current atomic.Pointer[cutting] // A handler of the case before may still read its own.
	seconds := map[string]http.Handler{
		"resumes": engine(standin.EngineSettings{Resumes: true}).Handler(),
		"cannot":  engine(standin.EngineSettings{}).Handler(),
		"none":    nil,
	}
	for name, second := range seconds {
		var calls atomic.Int64
		// The first call is cut; the second, on the other upstream, is not.
		both := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case calls.Add(1) == 1:
				current.Load().ServeHTTP(w, r)
			case second == nil:
				panic(http.ErrAbortHandler)
			default:
				second.ServeHTTP(w, r)
			}
		})
		s := startSite(t, 60_000, both, both)
		for _, abort := range []bool{false, true} {
			for after := range len(whole) + 1 {
				cut := &cutting{after: after, abort: abort}
				current.Store(cut)
				calls.Store(0)
				s.reset()
				got := s.chat(context.Background(), body)
				where := must.Sprintf("%s, abort %t, cut after %d", name, abort, cut.after)
				switch {
				case got.status == http.StatusBadGateway:
					must.Less(t, strings.Index(whole, "\n\n")+2, cut.after, where) // Before the first event.
				case got.err == nil:
					must.Eq(t, whole, got.body, where)
				default:
					events, _, _ := strings.Cut(got.body, "data: {\"error\"")
					must.StrHasPrefix(t, events, whole, where)
					must.StrNotContains(t, got.body, "[DONE]", where)
					must.NotEq(t, "resumes", name, where)
					must.LessEq(t, lastEvent+len("data: [DONE]"), cut.after, where)
				}
			}
		}
		s.close()
	}
}

// crossing is an engine that answers each of two waiting requests with the
// answer of the other, now and then.
type crossing struct {
	mutex   sync.Mutex
	waiting chan exchanged
	crossed int
}

type exchanged struct {
	id, body string
	swap     chan exchanged
}

func (c *crossing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	mine := exchanged{id: r.Header.Get("Request-Id"), body: string(body), swap: make(chan exchanged, 1)}
	answered := mine
	select {
	case other := <-c.waiting:
		other.swap <- mine
		answered = other
		c.mutex.Lock()
		c.crossed++
		c.mutex.Unlock()
	default:
		select {
		case c.waiting <- mine:
			select {
			case answered = <-mine.swap:
			case <-time.After(5 * time.Millisecond): // The next request gets this late answer.
			}
		default:
		}
	}
	w.Header().Set("Request-Id", answered.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, wholeStream(answered.body))
}

// TestAnswersNeverCross guards against handing a caller the answer to another
// caller's request when engines mix up their answers.
func TestAnswersNeverCross(t *testing.T) {
	mixing := &crossing{waiting: make(chan exchanged, 1)}
	s := startSite(t, 300, mixing, engine(standin.EngineSettings{Echoes: true}).Handler())
	defer s.close()
	var whole int
	rapid.Check(t, func(t *rapid.T) {
		callers := rapid.IntRange(2, 8).Draw(t, "callers")
		prompts := rapid.SliceOfN(rapid.StringMatching(`[a-z ]{5,40}`), callers, callers).Draw(t, "prompts")
		got := make([]answer, callers)
		var running sync.WaitGroup
		for i := range callers {
			running.Go(func() { got[i] = s.chat(context.Background(), chatBody(fmt.Sprint(i, prompts[i]), cutTokens)) })
		}
		running.Wait()
		for i := range callers {
			if got[i].err == nil && got[i].status == http.StatusOK {
				whole++
				must.Eq(t, wholeStream(chatBody(fmt.Sprint(i, prompts[i]), cutTokens)), got[i].body)
			}
		}
	})
	must.Positive(t, whole)
	must.Positive(t, mixing.crossed, must.Sprint("the test has to cross answers"))
}

// TestRetriesOfRequestsStayInBudget guards against a failing model whose
// requests are multiplied by retries and hedges.
func TestRetriesOfRequestsStayInBudget(t *testing.T) {
	var calls atomic.Int64
	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	})
	s := startSite(t, 5000, failing, failing, failing, failing)
	defer s.close()
	const requests = 60
	began := time.Now()
	for i := range requests {
		got := s.chat(context.Background(), chatBody(fmt.Sprint(i), 1))
		must.Eq(t, http.StatusBadGateway, got.status)
	}
	allowed := requests + 3 + time.Since(began).Seconds()/10
	must.LessEq(t, allowed, float64(calls.Load()))
	must.Greater(t, requests, calls.Load(), must.Sprint("some are retried"))
}

// TestLateFirstTokenMovesElsewhere guards against waiting for an upstream that
// hangs, and against leaving the request there running.
func TestLateFirstTokenMovesElsewhere(t *testing.T) {
	var hung, cancelled atomic.Int64
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Without it, net/http does not notice that the caller left.
		hung.Add(1)
		<-r.Context().Done()
		cancelled.Add(1)
	})
	s := startSite(t, 50, hanging, engine(standin.EngineSettings{}).Handler())
	defer s.close()
	for i := 0; hung.Load() < 2; i++ {
		s.reset() // Else what was learned keeps requests away from the one that hangs.
		body := chatBody(fmt.Sprint(i), cutTokens)
		got := s.chat(context.Background(), body)
		must.NoError(t, got.err)
		must.Eq(t, wholeStream(body), got.body)
	}
	waitFor(t, "cancelled requests", func() bool { return cancelled.Load() == hung.Load() })
}

// TestCallerThatLeavesCancelsUpstream guards against engines that generate for nobody.
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
	s := startSite(t, 5000, endless)
	defer s.close()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go s.chat(ctx, chatBody("Plan.", 5))
	<-started
	leave()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream still runs")
	}
}

// TestClientErrorIsPassedOnWhole guards against hiding an engine's explanation
// of a bad request, and against retrying what cannot succeed.
func TestClientErrorIsPassedOnWhole(t *testing.T) {
	const explanation = `{"error":{"message":"The prompt is too long.","code":"context-length"}}`
	var calls atomic.Int64
	strict := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, explanation)
	})
	s := startSite(t, 5000, strict, strict)
	defer s.close()
	got := s.chat(context.Background(), chatBody("Plan.", 5))
	must.Eq(t, http.StatusUnprocessableEntity, got.status)
	must.Eq(t, explanation, got.body)
	must.Eq(t, "application/problem+json", got.header.Get("Content-Type"))
	must.Eq(t, 1, calls.Load())
}

// TestSlowCallerHoldsUpNobody guards against a caller that does not read and
// blocks the relay of others or grows the process.
func TestSlowCallerHoldsUpNobody(t *testing.T) {
	var sent atomic.Int64
	flood := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		if !strings.Contains(string(body), "slow") {
			_, _ = io.WriteString(w, wholeStream(string(body)))
			return
		}
		event := "data: {\"pad\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n"
		for r.Context().Err() == nil {
			if n, err := io.WriteString(w, event); err == nil {
				sent.Add(int64(n))
			}
		}
	})
	s := startSite(t, 5000, flood)
	defer s.close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.front.URL+"/v1/chat/completions",
		strings.NewReader(chatBody("slow", 5)))
	must.NoError(t, err)
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	for i := range 50 {
		body := chatBody(fmt.Sprint(i), cutTokens)
		got := s.chat(context.Background(), body)
		must.NoError(t, got.err)
		must.Eq(t, wholeStream(body), got.body)
	}
	must.Less(t, 64<<20, sent.Load(), must.Sprint("the upstream is held back, not read into memory"))
}

// TestShutdownCutsNoStream guards against a stopping server that breaks streams,
// also those that have to be resumed on another upstream while it stops.
func TestShutdownCutsNoStream(t *testing.T) {
	var calls atomic.Int64
	begun, proceed := make(chan struct{}), make(chan struct{})
	resuming := engine(standin.EngineSettings{Resumes: true}).Handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			resuming.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, wholeStream(string(body))[:200])
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-proceed
		panic(http.ErrAbortHandler)
	})
	s := startSite(t, 5000, handler, handler)
	defer s.close()
	body := chatBody("Plan.", cutTokens)
	got := make(chan answer, 1)
	go func() { got <- s.chat(context.Background(), body) }()
	<-begun
	down := make(chan error, 1)
	go func() { down <- s.front.Config.Shutdown(context.Background()) }()
	waitFor(t, "closed listener", func() bool { return !reachable(s.front) })
	close(proceed)
	whole := <-got
	must.NoError(t, whole.err)
	must.Eq(t, wholeStream(body), whole.body)
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
