package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"kumquathitch.example/kumquathitch"
)

// EngineSettings describes a stand-in engine.
type EngineSettings struct {
	Name            string
	ChecksFencing   bool          // Refuses orders with an old fencing number and expired ones.
	TokenInterval   time.Duration // Time between two tokens; 0 streams as fast as it can.
	Resident        []string      // Models and adapters loaded at the start.
	Accelerators    kumquathitch.Accelerators
	ResidentWeights []kumquathitch.ResidentWeights // Like Resident, with versions and bytes.
	LoadTime        time.Duration                  // How long a load of a model takes; its memory is taken at once.
	ResumesStreams  bool                           // Resumes streams after the events that Resume-From counts.
	EchoesRequestID bool                           // Sends the request id back.
	OnCrash         func()                         // Called when a request holds the crash marker; a process exits here.
}

// EngineFaults is how an engine misbehaves.
type EngineFaults struct {
	TruncateAfter int    `json:"truncate-after"` // Ends streams after this many tokens; 0 for never.
	CrashOn       string `json:"crash-on"`       // A request whose body holds this text crashes the engine.
	DropOrders    bool   `json:"drop-orders"`    // Accepts orders and does not execute them.
	Leaving       bool   `json:"leaving"`
}

// RecordedRequest is what an engine or service saw of one request.
type RecordedRequest struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// maxSeen bounds how many requests a stand-in remembers.
const maxSeen = 256

// Engine is a model engine with an OpenAI-compatible interface. Its answers
// are a fixed function of the request's body.
type Engine struct {
	settings EngineSettings
	clock    kumquathitch.Clock
	running  atomic.Int64
	tokens   atomic.Int64
	crashed  atomic.Bool

	mutex       sync.Mutex
	sequence    uint64
	faults      EngineFaults
	seen        []RecordedRequest
	resident    map[slot]resident
	role        string
	roleBytes   int64
	lastFence   uint64
	lastOrders  []string
	overcommits int
}

// slot is a place that weights can take; one version of a model takes it at most once.
type slot struct {
	Accelerator   int
	Name, Version string
}

type resident struct {
	Bytes   int64
	Adapter bool
	Ready   time.Time // When the load ends.
}

// NewEngine returns an engine.
func NewEngine(settings EngineSettings, clock kumquathitch.Clock) *Engine {
	e := &Engine{settings: settings, clock: clock, resident: map[slot]resident{}}
	e.loadFirst()
	return e
}

func (e *Engine) loadFirst() {
	for _, name := range e.settings.Resident {
		e.resident[slot{Name: name}] = resident{}
	}
	for _, w := range e.settings.ResidentWeights {
		e.resident[slot{w.Accelerator, w.Name, w.Version}] = resident{Bytes: w.Bytes, Adapter: w.Adapter}
	}
}

// SetFaults replaces how the engine misbehaves.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Requests returns the requests that the engine remembers, oldest first.
func (e *Engine) Requests() []RecordedRequest {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.seen)
}

// Overcommits returns how many orders made an accelerator hold more than its
// memory, or adapters more than its pool.
func (e *Engine) Overcommits() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.overcommits
}

// Handler serves the engine:
//
//	POST /v1/chat/completions   chat completions, streamed or whole
//	GET /load                   a kumquathitch.LoadReport
//	POST /orders                a kumquathitch.Order; 409 for an old fencing number
//	PUT /standin/faults         an EngineFaults
//	GET /standin/requests       the requests seen
func (e *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(e.refuseAfterCrash)
	router.Post("/v1/chat/completions", e.serveChat)
	router.Get("/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Report()) })
	router.Post("/orders", e.serveOrder)
	router.Put("/standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults EngineFaults
		if readJSON(w, r, &faults) {
			e.SetFaults(faults)
		}
	})
	router.Get("/standin/requests", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Requests()) })
	return router
}

func (e *Engine) refuseAfterCrash(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.crashed.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Restart brings an engine back with its first models, or empty. It keeps the
// last fencing number only when it checks them: an engine that forgets the
// number counts as one that ignores it.
func (e *Engine) Restart(empty bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence, e.lastOrders = 0, nil
	e.role, e.roleBytes = "", 0
	if !e.settings.ChecksFencing {
		e.lastFence = 0
	}
	e.resident = map[slot]resident{}
	if !empty {
		e.loadFirst()
	}
	e.crashed.Store(false)
}

type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := e.remember(r, body)
	if faults.CrashOn != "" && strings.Contains(string(body), faults.CrashOn) {
		e.crashed.Store(true)
		if e.settings.OnCrash != nil {
			e.settings.OnCrash()
		}
		panic(http.ErrAbortHandler)
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.holds(chat.Model) {
		http.Error(w, "the model is not resident", http.StatusServiceUnavailable)
		return
	}
	tokens := ResponseTokens(body, chat.MaxTokens)
	e.running.Add(1)
	e.tokens.Add(int64(len(tokens)))
	defer func() {
		e.running.Add(-1)
		e.tokens.Add(-int64(len(tokens)))
	}()
	report, _ := json.Marshal(e.Report())
	w.Header().Set("Engine-Load", string(report))
	if e.settings.EchoesRequestID {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}
	if chat.Stream {
		e.stream(w, r, chat.Model, tokens, len(body), faults)
		return
	}
	for range tokens {
		if !e.pause(r) {
			return
		}
	}
	writeJSON(w, http.StatusOK, json.RawMessage(wholeAnswer(chat.Model, tokens, len(body))))
}

// defaultTokens is how many tokens an engine generates when the request sets no limit.
const defaultTokens = 16

// ResponseTokens returns the answer to a request body: a fixed function of it.
func ResponseTokens(body []byte, limit int) []string {
	if limit <= 0 {
		limit = defaultTokens
	}
	seed := xxhash.Sum64(body)
	tokens := make([]string, limit)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%04x-%d ", (seed>>(i%48))&0xffff, i)
	}
	return tokens
}

// EventStream returns the server-sent events that answer a request body.
func EventStream(model string, tokens []string, promptBytes int) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(tokenEvent(model, t))
	}
	b.WriteString(usageEvent(model, len(tokens), promptBytes))
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func tokenEvent(model, token string) string {
	return fmt.Sprintf("data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		model, token)
}

func usageEvent(model string, tokens, promptBytes int) string {
	return fmt.Sprintf("data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":{\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n",
		model, tokens, tokens+promptBytes/4)
}

func wholeAnswer(model string, tokens []string, promptBytes int) string {
	return fmt.Sprintf("{\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q}}],"+
		"\"usage\":{\"completion_tokens\":%d,\"total_tokens\":%d}}",
		model, strings.Join(tokens, ""), len(tokens), len(tokens)+promptBytes/4)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, model string, tokens []string, promptBytes int, faults EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	from := e.resumeFrom(w, r, len(tokens))
	for i, t := range tokens {
		if i < from {
			continue
		}
		if faults.TruncateAfter > 0 && i == faults.TruncateAfter {
			return
		}
		if !e.pause(r) {
			return
		}
		_, _ = io.WriteString(w, tokenEvent(model, t))
		_ = controller.Flush()
	}
	if from <= len(tokens) {
		_, _ = io.WriteString(w, usageEvent(model, len(tokens), promptBytes))
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// resumeFrom returns how many events the caller has already: the tokens, and
// then the usage. An engine that does not resume starts from the beginning.
func (e *Engine) resumeFrom(w http.ResponseWriter, r *http.Request, tokens int) int {
	from, err := strconv.Atoi(r.Header.Get("Resume-From"))
	if !e.settings.ResumesStreams || err != nil || from < 0 || from > tokens+1 {
		return 0
	}
	w.Header().Set("Resumed-From", strconv.Itoa(from))
	return from
}

// pause waits for the next token and reports whether the caller still listens.
func (e *Engine) pause(r *http.Request) bool {
	if e.settings.TokenInterval <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(e.settings.TokenInterval):
		return !e.crashed.Load()
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) remember(r *http.Request, body []byte) EngineFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.seen = appendSeen(e.seen, r, body)
	return e.faults
}

func appendSeen(seen []RecordedRequest, r *http.Request, body []byte) []RecordedRequest {
	if len(seen) == maxSeen {
		seen = slices.Delete(seen, 0, 1)
	}
	return append(seen, RecordedRequest{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Clone(), Body: string(body),
	})
}

func (e *Engine) holds(model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for at, r := range e.resident {
		if at.Name == model && !e.clock.Now().Before(r.Ready) {
			return true
		}
	}
	return false
}

// Report returns the engine's load report.
func (e *Engine) Report() kumquathitch.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	report := kumquathitch.LoadReport{
		Sequence: e.sequence, TakenAt: e.clock.Now(), Running: int(e.running.Load()), RemainingTokens: e.tokens.Load(),
		Leaving: e.faults.Leaving, LastFence: e.lastFence, LastOrders: slices.Clone(e.lastOrders),
		Role: e.role,
	}
	for at, r := range e.resident {
		loading := report.TakenAt.Before(r.Ready)
		if !loading {
			report.Resident = append(report.Resident, at.Name)
		}
		report.Weights = append(report.Weights, kumquathitch.ResidentWeights{
			Accelerator: at.Accelerator, Name: at.Name, Version: at.Version, Bytes: r.Bytes, Adapter: r.Adapter, Loading: loading,
		})
	}
	slices.Sort(report.Resident)
	report.Resident = slices.Compact(report.Resident)
	slices.SortFunc(report.Weights, func(a, b kumquathitch.ResidentWeights) int {
		return cmp.Or(cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	for i := range e.settings.Accelerators {
		report.FreeBytes = append(report.FreeBytes, e.freeBytes(i))
	}
	return report
}

func (e *Engine) freeBytes(accelerator int) int64 {
	free := e.settings.Accelerators[accelerator].Bytes - e.roleBytes
	for at, r := range e.resident {
		if at.Accelerator == accelerator {
			free -= r.Bytes
		}
	}
	return free
}

// poolOverflows reports whether the adapters of an accelerator take more than its pool.
func (e *Engine) poolOverflows(accelerator int) bool {
	var used int64
	for at, r := range e.resident {
		if at.Accelerator == accelerator && r.Adapter {
			used += r.Bytes
		}
	}
	return used > e.settings.Accelerators[accelerator].AdapterPool
}
