package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model server: it registers itself in the store, answers streams,
// and carries out orders, as the users' protocol page describes them.
type engine struct {
	store   *store
	log     *record
	service string
	zone    string
	name    string // Of the machine; the id is new at each start.
	address string

	weightsMB    float64
	adapterSlots int
	slots        int
	modelMB      map[string]float64
	adapterMB    map[string]float64 // Of each adapter, by model.
	loadTime     map[string]time.Duration
	pieceTime    time.Duration // Between two events of a stream.
	downTime     time.Duration // From a crash to the next start.
	deadPart     string        // Part of a prompt that crashes the server when it begins to write an answer.

	mutex     sync.Mutex
	id        string
	born      int64
	starts    int
	seq       uint64
	beat      uint64
	fence     uint64
	loading   string // Model that is being loaded; its memory is taken.
	leaving   map[string]bool
	models    map[string]int64
	heldMB    map[string]float64 // Of the weights that are held or loaded, by model; a new version may be of another size.
	adapters  map[string][]string
	runs      map[string]int // Running streams, by model.
	onDisk    map[string]bool
	crashes   int
	crashedAt time.Time     // Last crash.
	ended     chan struct{} // Closed at a crash.
	server    *http.Server
	stopped   bool
}

func (e *engine) start(models ...string) error {
	listener, err := net.Listen("tcp", e.listenAddress())
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.address = listener.Addr().String()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.starts)
	e.born, e.seq, e.fence, e.loading = time.Now().UnixMilli(), 0, 0, ""
	e.models, e.adapters, e.runs, e.leaving = map[string]int64{}, map[string][]string{}, map[string]int{}, map[string]bool{}
	if e.onDisk == nil {
		e.onDisk = map[string]bool{}
	}
	e.heldMB = map[string]float64{}
	for _, m := range models {
		e.models[m], e.onDisk[m], e.heldMB[m] = 1, true, e.modelMB[m]
	}
	e.ended = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server, ended := e.server, e.ended
	e.mutex.Unlock()
	e.describe()
	go func() { _ = server.Serve(listener) }()
	go e.heartbeat(ended)
	return nil
}

func (e *engine) listenAddress() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.address != "" {
		return e.address
	}
	return "127.0.0.1:0"
}

func (e *engine) heartbeat(ended chan struct{}) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			e.describe()
		}
	}
}

// release makes a new version of a model known, whose weights have another size. The copies on disk are of the
// version before.
func (e *engine) release(model string, sizeMB float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	sizes := maps.Clone(e.modelMB)
	sizes[model] = sizeMB
	e.modelMB = sizes
	delete(e.onDisk, model)
}

// describe writes the server's entry.
func (e *engine) describe() {
	e.mutex.Lock()
	e.beat++
	text, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0,
		"stage": "colocated", "models": e.list(), "seq": e.beat, "born": e.born,
		"available": map[string]any{"in_memory": []string{}, "on_disk": e.copies()},
	})
	key, stopped := "servers/"+e.id, e.stopped
	e.mutex.Unlock()
	if !stopped {
		e.store.put(key, text)
	}
}

func (e *engine) list() []map[string]any {
	list := []map[string]any{}
	for name, version := range e.models {
		adapters := e.adapters[name]
		if adapters == nil {
			adapters = []string{}
		}
		list = append(list, map[string]any{"name": name, "version": version, "adapters": adapters})
	}
	slices.SortFunc(list, func(a, b map[string]any) int { return strings.Compare(a["name"].(string), b["name"].(string)) })
	return list
}

// copies are the models whose weights lie on the server's disk.
func (e *engine) copies() []string {
	names := []string{}
	for name := range e.onDisk {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// usedMB is the memory of the weights and adapters that the server holds or loads.
func (e *engine) usedMB() float64 {
	used := 0.0
	for name := range e.models {
		used += e.heldMB[name] + float64(len(e.adapters[name]))*e.adapterMB[name]
	}
	if e.loading != "" {
		used += e.heldMB[e.loading]
	}
	return used
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	id := e.id
	e.mutex.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.report(w)
	case "/v1/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	running := 0
	for _, n := range e.runs {
		running += n
	}
	answer(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": e.list(), "busy": e.loading != "" || len(e.leaving) > 0, "seq": e.seq, "born": e.born,
		"waiting": 0, "running": running, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
}

type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || (o.Operation != "load" && o.Operation != "unload") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	status := e.decide(&o)
	e.log.add("order server=%s operation=%s model=%s adapter=%s holder=%s fence=%d status=%d holds=%v used_mb=%.0f", e.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, status, e.names(), e.usedMB())
	if status != http.StatusAccepted || e.overcommitted(&o) {
		w.WriteHeader(status)
		return
	}
	e.carryOut(&o)
	w.WriteHeader(status)
}

// decide returns the status of an order, and counts it if it is accepted.
func (e *engine) decide(o *order) int {
	_, held := e.models[o.Model]
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != e.seq, e.loading != "", len(e.leaving) > 0:
		e.fence = max(e.fence, o.Fence)
		return http.StatusConflict
	}
	e.fence = max(e.fence, o.Fence)
	if o.Adapter == "" && held == (o.Operation == "load") {
		return http.StatusOK
	}
	if o.Adapter != "" && slices.Contains(e.adapters[o.Model], o.Adapter) == (o.Operation == "load") {
		return http.StatusOK
	}
	e.seq++
	return http.StatusAccepted
}

// overcommitted reports whether an order asks for more than the server holds, and crashes it.
func (e *engine) overcommitted(o *order) bool {
	if o.Operation != "load" {
		return false
	}
	used, adapters := e.usedMB(), 0
	for _, list := range e.adapters {
		adapters += len(list)
	}
	if o.Adapter == "" && used+e.modelMB[o.Model] > e.weightsMB {
		e.log.broken("LIMIT server=%s holds %v, %.0f MB of %.0f MB, and was ordered to load %s of %.0f MB by %s", e.id, e.names(), used, e.weightsMB, o.Model, e.modelMB[o.Model], o.Holder)
		go e.crash()
		return true
	}
	if o.Adapter != "" && used+e.adapterMB[o.Model] > e.weightsMB {
		e.log.broken("LIMIT server=%s holds %v and %d adapters, %.0f MB of %.0f MB, and was ordered to load adapter %s of %s of %.0f MB by %s", e.id, e.names(), adapters, used, e.weightsMB, o.Adapter, o.Model, e.adapterMB[o.Model], o.Holder)
		go e.crash()
		return true
	}
	if o.Adapter != "" && adapters+1 > e.adapterSlots {
		e.log.broken("LIMIT server=%s holds %d adapters of %d, and was ordered to load another one", e.id, adapters, e.adapterSlots)
		go e.crash()
		return true
	}
	return false
}

func (e *engine) names() []string {
	var names []string
	for name := range e.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *engine) carryOut(o *order) {
	ended := e.ended
	switch {
	case o.Adapter != "" && o.Operation == "load":
		e.adapters[o.Model] = append(e.adapters[o.Model], o.Adapter)
	case o.Adapter != "":
		e.adapters[o.Model] = slices.DeleteFunc(e.adapters[o.Model], func(name string) bool { return name == o.Adapter })
	case o.Operation == "load":
		e.loading, e.heldMB[o.Model] = o.Model, e.modelMB[o.Model]
		go e.finishLoad(o.Model, ended)
	default:
		e.leaving[o.Model] = true
		go e.finishUnload(o.Model, ended)
	}
}

func (e *engine) finishLoad(model string, ended chan struct{}) {
	e.mutex.Lock()
	takes := e.loadTime[model]
	if e.onDisk[model] {
		takes = diskTime
	}
	e.mutex.Unlock()
	select {
	case <-ended:
		return
	case <-time.After(takes):
	}
	e.mutex.Lock()
	e.models[model], e.onDisk[model], e.loading = 1, true, ""
	e.mutex.Unlock()
	e.describe()
}

// finishUnload waits for the runs of a model and drops it.
func (e *engine) finishUnload(model string, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		e.mutex.Lock()
		if e.runs[model] == 0 {
			delete(e.models, model)
			delete(e.adapters, model)
			delete(e.leaving, model)
			e.mutex.Unlock()
			e.describe()
			return
		}
		e.mutex.Unlock()
	}
}

// crash ends the server and all its connections, and starts it again later, empty.
func (e *engine) crash() {
	e.mutex.Lock()
	if isClosed(e.ended) {
		e.mutex.Unlock()
		return
	}
	e.crashes++
	e.crashedAt = time.Now()
	close(e.ended)
	server, key := e.server, "servers/"+e.id
	running := 0
	for _, n := range e.runs {
		running += n
	}
	e.log.add("crash server=%s running=%d", e.id, running)
	e.mutex.Unlock()
	_ = server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { e.store.remove(key) }) // Three heartbeats of silence.
	time.AfterFunc(e.downTime, func() {
		e.mutex.Lock()
		stopped := e.stopped
		e.mutex.Unlock()
		if !stopped {
			_ = e.start()
		}
	})
}

func (e *engine) stop() {
	e.mutex.Lock()
	e.stopped = true
	server := e.server
	e.mutex.Unlock()
	_ = server.Close()
}

// stream answers a request with a series of events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.ReadAll(r.Body)
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mutex.Lock()
	_, held := e.models[model]
	running := 0
	for _, n := range e.runs {
		running += n
	}
	w.Header().Set("Request-Id", id)
	switch {
	case !held || (adapter != "" && !slices.Contains(e.adapters[model], adapter)):
		e.mutex.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.leaving[model] || running >= e.slots:
		e.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.runs[model]++
	ended, name := e.ended, e.id
	e.mutex.Unlock()
	e.log.run(id, name)
	defer func() {
		e.mutex.Lock()
		if e.ended == ended {
			e.runs[model]--
		}
		e.mutex.Unlock()
	}()
	if e.deadPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.deadPart+":") {
		time.Sleep(prefillTime)
		e.mutex.Lock()
		first := e.ended == ended && !isClosed(ended)
		e.mutex.Unlock()
		if first {
			e.log.add("deadly request=%s server=%s", id, name)
			e.crash()
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", "s-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running+1, e.slots))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= events; n++ {
		select {
		case <-time.After(e.pieceTime):
		case <-r.Context().Done():
			return
		case <-ended:
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, piece(id, n))
		_ = http.NewResponseController(w).Flush()
	}
}

// diskTime is the time of a load from the server's own disk, and prefillTime that until the first event.
const (
	diskTime    = 1300 * time.Millisecond
	prefillTime = 60 * time.Millisecond
)

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// events is the number of events of each stream.
const events = 20

// piece is the text of one event of a request's stream.
func piece(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}
