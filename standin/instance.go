package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// InstanceFaults are the faults that an instance simulates. Numbers of calls count
// down with each call that they apply to.
type InstanceFaults struct {
	RejectCalls        int    // Number of calls to refuse with 503 and the header Not-Executed.
	RetryAfter         string // Retry-After of these refusals; empty for none.
	Leaving            bool   // Marks all responses with Server-Leaving.
	FailCalls          int    // Number of calls to execute and answer with 500.
	BreakCalls         int    // Number of calls to execute before closing the connection without a response.
	BreakStreamAfter   int    // Closes the connection within the event after this many, unless the stream is resumed there or later; 0 for never.
	RejectResumes      int    // Number of calls that resume a stream to refuse, as RejectCalls does.
	HangCalls          bool   // Executes calls and never responds.
	WrongResponseFirst bool   // Sends a response to another call before each response.
	StallStreamAfter   int    // Sends nothing more on a stream after this many events; 0 for never.
	Limit              string // Server-Limit of all responses; empty for none.
	CrashContent       string // Body of calls that crash the instance as soon as it begins to execute them; empty for none.
}

// Instance is a server of the users' platform: it answers calls, streams events,
// and executes orders to load and unload models. It is safe for concurrent use.
type Instance struct {
	ID           string
	Service      string
	Zone         string
	StreamEvents int                // Number of events of a stream.
	MemoryMB     float64            // Memory for weights.
	AdapterSlots int                // Number of adapters that fit.
	ModelMB      map[string]float64 // Sizes by model name; 0 for a model without an entry.
	OnCrash      func()             // Called when CrashContent crashes the instance; it ends the connections and restarts the instance later.

	mutex          sync.Mutex
	born           int64 // Start of the instance, in Unix milliseconds.
	faults         InstanceFaults
	arrivals       []Arrival
	executions     map[string]int // By request id.
	requestHeaders []http.Header
	models         map[string][]string
	orderCount     uint64
	crashed        bool
	closed         chan struct{}
}

// Arrival is a call that reached an instance.
type Arrival struct {
	Call        string // Request ID.
	At          time.Time
	Born        int64     // Start of the instance that it reached.
	PausedUntil time.Time // Set if the call was rejected with Retry-After.
	Crashed     bool      // The call crashed the instance.
}

// NewInstance returns an instance in zone-a with resident models.
func NewInstance(id, service string, models ...string) *Instance {
	i := &Instance{
		ID: id, born: 1, Service: service, Zone: "zone-a", StreamEvents: 5, MemoryMB: 200, AdapterSlots: 8, ModelMB: map[string]float64{},
		executions: map[string]int{}, models: map[string][]string{}, closed: make(chan struct{}),
	}
	for _, name := range models {
		i.models[name] = []string{}
	}
	return i
}

// SetFaults replaces the simulated faults.
func (i *Instance) SetFaults(faults InstanceFaults) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.faults = faults
}

// UpdateFaults changes the simulated faults.
func (i *Instance) UpdateFaults(update func(*InstanceFaults)) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	update(&i.faults)
}

// Restart starts the instance again under its ID, without faults. It keeps its models.
func (i *Instance) Restart() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.born = time.Now().UnixMilli()
	i.orderCount, i.faults = 0, InstanceFaults{}
}

// Arrivals returns the calls that reached the instance, in order.
func (i *Instance) Arrivals() []Arrival {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Clone(i.arrivals)
}

// Executions returns how many times the call with a request id was executed.
func (i *Instance) Executions(call string) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.executions[call]
}

// RequestHeaders returns the headers of the executed calls, in order.
func (i *Instance) RequestHeaders() []http.Header {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Clone(i.requestHeaders)
}

// Crashed reports whether orders ever exceeded the memory or the adapter slots. The
// instance goes on serving.
func (i *Instance) Crashed() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.crashed
}

// Close ends the calls that HangCalls and StallStreamAfter hold open. It must be
// called once only.
func (i *Instance) Close() {
	close(i.closed)
}

// Registration returns the record with which the instance registers in the store.
func (i *Instance) Registration(address string) []byte {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	text, _ := json.Marshal(map[string]any{ // Plain values always encode.
		"service": i.Service, "address": address, "zone": i.Zone, "version": "v1", "slots": 4,
		"state": "ready", "seq": 7, "born": i.born, "models": i.describeModels(),
	})
	return text
}

func (i *Instance) describeModels() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range i.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return list
}

// ServeHTTP serves load reports at /v1/report, orders at /v1/order, event streams
// below /stream/ and plain calls at any other path. A request whose
// Expect-Instance header names another instance gets 421.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != i.ID {
		w.Header().Set("Instance-Id", i.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		i.mutex.Lock()
		defer i.mutex.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"stage": "colocated", "models": i.describeModels(), "busy": false, "seq": i.orderCount, "born": i.born})
	case "/v1/order":
		i.serveOrder(w, r)
	default:
		i.serveCall(w, r)
	}
}

func (i *Instance) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	content, _ := io.ReadAll(r.Body) // A call whose connection broke has no content that matters.
	faults, rejected := i.beginCall(r, id, content)
	w.Header().Set("Request-Id", id)
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if faults.Limit != "" {
		w.Header().Set("Server-Limit", faults.Limit)
	}
	if rejected {
		w.Header().Set("Not-Executed", "1")
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case crashes(faults, content):
		i.OnCrash()
		panic(http.ErrAbortHandler)
	case faults.HangCalls:
		select {
		case <-i.closed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case faults.BreakCalls > 0:
		panic(http.ErrAbortHandler)
	case faults.WrongResponseFirst:
		i.writeWrongResponseFirst(w, id)
		return
	}
	w.Header().Set("Response-Signature", "signed-by-"+i.ID)
	w.Header().Set("Server-Load", "1,0,4")
	switch {
	case faults.FailCalls > 0:
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		i.writeEvents(w, r, faults)
	default:
		_, _ = fmt.Fprintf(w, "answer to %s from %s", id, i.ID)
	}
}

func crashes(faults InstanceFaults, content []byte) bool {
	return faults.CrashContent != "" && string(content) == faults.CrashContent
}

func (i *Instance) beginCall(r *http.Request, id string, content []byte) (InstanceFaults, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	arrival := Arrival{Call: id, At: time.Now(), Born: i.born}
	defer func() { i.arrivals = append(i.arrivals, arrival) }()
	if i.faults.RejectCalls > 0 {
		i.faults.RejectCalls--
		if seconds, err := strconv.ParseFloat(i.faults.RetryAfter, 64); err == nil {
			arrival.PausedUntil = arrival.At.Add(time.Duration(seconds * float64(time.Second)))
		}
		return i.faults, true
	}
	if i.faults.RejectResumes > 0 && r.Header.Get("Last-Event-Id") != "" {
		i.faults.RejectResumes--
		return i.faults, true
	}
	arrival.Crashed = crashes(i.faults, content)
	i.executions[id]++
	i.requestHeaders = append(i.requestHeaders, r.Header.Clone())
	faults := i.faults
	i.faults.FailCalls, i.faults.BreakCalls = max(0, faults.FailCalls-1), max(0, faults.BreakCalls-1)
	return faults, false
}

// writeWrongResponseFirst writes a response to another call before the one to this
// call, on the hijacked connection.
func (i *Instance) writeWrongResponseFirst(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	for _, requestID := range []string{"another-call", id} {
		body := "answer to " + requestID + " from " + i.ID
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", requestID, len(body), body)
	}
}

// writeEvents writes the events after Last-Event-Id.
func (i *Instance) writeEvents(w http.ResponseWriter, r *http.Request, faults InstanceFaults) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= i.StreamEvents; n++ {
		if faults.BreakStreamAfter > from && n > faults.BreakStreamAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if faults.StallStreamAfter > 0 && n > faults.StallStreamAfter {
			select {
			case <-i.closed:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

type instanceOrder struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  uint64 `json:"expected"`
}

// serveOrder executes an order at once.
func (i *Instance) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o instanceOrder
	if !readJSON(w, r, &o) {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	adapters, resident := i.models[o.Model]
	switch {
	case o.Expected != i.orderCount:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Operation == "unload" && o.Adapter != "":
		i.models[o.Model] = slices.DeleteFunc(adapters, func(name string) bool { return name == o.Adapter })
		i.orderCount++
		w.WriteHeader(http.StatusOK)
		return
	case o.Operation == "unload":
		delete(i.models, o.Model)
	case o.Adapter != "":
		i.models[o.Model] = append(adapters, o.Adapter)
	case !resident:
		i.models[o.Model] = []string{}
	}
	i.orderCount++
	i.updateCrashed()
	w.WriteHeader(http.StatusAccepted)
}

func (i *Instance) updateCrashed() {
	used, adapterCount := 0.0, 0
	for name, adapters := range i.models {
		used += i.ModelMB[name]
		adapterCount += len(adapters)
	}
	i.crashed = i.crashed || used > i.MemoryMB || adapterCount > i.AdapterSlots
}
