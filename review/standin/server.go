package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	prefillTokensPerMS = 25.8
	eventInterval      = 25 * time.Millisecond // Three tokens of a step of 8.2 ms each.
	tokensPerEvent     = 3
	engineWeightsMB    = 200_000.0
	drainTime          = 4 * time.Second // drain_ms and a little longer.
)

// arrival is a request that reached a server.
type arrival struct {
	at    time.Time
	id    string
	crash bool // The request crashes the server.
}

// server is a stand-in for a server of a service: a model engine if it has models, and
// a plain application otherwise.
type server struct {
	id, service, zone, address string
	slots                      int
	modelMB                    map[string]float64 // Sizes of the models that an engine can load.
	record                     *record
	store                      *store

	work func(r *http.Request) time.Duration // Time that a plain request takes.
	// crashes reports whether a request crashes the server that begins to run it, and after
	// how many events of its answer. A silent crash leaves the connections open.
	crashes   func(r *http.Request, body string) (crash bool, afterEvents int)
	silent    bool
	downtime  time.Duration
	diskModel bool                // Loads come from the copies on the disk, which a restart preserves.
	headers   func(h http.Header) // Adds headers to answers.
	logAnswer bool

	mutex        sync.Mutex
	listener     *http.Server
	conns        map[net.Conn]bool
	born         time.Time
	up           bool
	darkEnd      chan struct{} // Closed at the end of a silent crash; nil when there is none.
	cutFromStore bool
	draining     bool
	models       map[string]bool
	busy         bool
	seq          uint64
	fence        uint64
	running      int
	arrivals     []arrival
	crashTimes   []time.Time
}

func (s *server) start(models ...string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.born, s.up, s.busy, s.seq, s.fence, s.running = time.Now(), true, false, 0, 0, 0
	s.models, s.conns = map[string]bool{}, map[net.Conn]bool{}
	for _, m := range models {
		s.models[m] = true
	}
	conns := s.conns
	s.listener = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if state == http.StateClosed {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	serving := s.listener
	go func() { _ = serving.Serve(listener) }()
	return nil
}

// beatUntilEnd sends heartbeats to the store while the server is up and not cut off.
func (s *server) beatUntilEnd() {
	s.beat()
	for range time.Tick(heartbeatInterval) {
		s.beat()
	}
}

func (s *server) beat() {
	s.mutex.Lock()
	alive := s.up && s.darkEnd == nil && !s.cutFromStore
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_left_ms": 0, "stage": "colocated", "models": s.describeModels(), "born": s.born.UnixMilli(),
	})
	s.mutex.Unlock()
	if alive {
		s.store.beat(serverPrefix+s.id, entry)
	}
}

// leave takes the server away as planned work: it reports that it drains, goes on serving
// for more than drain_ms, and exits.
func (s *server) leave() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.beat()
	s.record.printf("server %s is draining", s.id)
	time.Sleep(drainTime)
	s.mutex.Lock()
	s.closeAll()
	s.mutex.Unlock()
	s.store.remove(serverPrefix + s.id)
}

func (s *server) describeModels() []map[string]any {
	list := []map[string]any{}
	for name := range s.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// crash ends the server; it starts again, empty, after its downtime.
func (s *server) crash(id string) {
	s.mutex.Lock()
	if !s.up || s.darkEnd != nil {
		s.mutex.Unlock()
		return
	}
	s.crashTimes = append(s.crashTimes, time.Now())
	s.record.printf("server %s crashes: request %s", s.id, id)
	if s.silent {
		s.darkEnd = make(chan struct{})
	} else {
		s.closeAll()
	}
	s.mutex.Unlock()
	time.AfterFunc(s.downtime, s.restart)
}

// closeAll resets all connections. It is called with the lock held.
func (s *server) closeAll() {
	s.up = false
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	go func(l *http.Server) { _ = l.Close() }(s.listener)
}

func (s *server) restart() {
	s.mutex.Lock()
	if s.darkEnd != nil {
		s.closeAll()
		close(s.darkEnd)
		s.darkEnd = nil
	}
	s.mutex.Unlock()
	for range 100 { // The listener is closed in the background.
		if err := s.start(); err == nil {
			s.record.printf("server %s is back", s.id)
			s.beat()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.record.printf("server %s cannot start again", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	dark := s.darkEnd
	s.mutex.Unlock()
	if dark != nil {
		<-dark
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		s.serveReport(w)
	case "/v1/order":
		s.serveOrder(w, r)
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": s.describeModels(), "busy": s.busy, "seq": s.seq, "waiting": 0, "running": s.running,
		"kv_used": 0, "kv_total": 156625, "handles": 0, "pending": []string{}, "born": s.born.UnixMilli(),
	})
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Expected  *uint64 `json:"expected"`
		Holder    string  `json:"holder"`
		Fence     uint64  `json:"fence"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := o.Operation == "load"
	switch {
	case o.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy || (o.Expected != nil && *o.Expected != s.seq):
		w.WriteHeader(http.StatusConflict)
		return
	case s.models[o.Model] == load:
		w.WriteHeader(http.StatusOK)
		return
	}
	s.fence = o.Fence
	s.seq++
	s.busy = true
	born, loadTime := s.born, storeLoadTime
	if s.diskModel || !load {
		loadTime = diskLoadTime
	}
	s.record.printf("server %s accepts the order to %s model %s of %s", s.id, o.Operation, o.Model, o.Holder)
	time.AfterFunc(loadTime, func() {
		s.mutex.Lock()
		if s.born.Equal(born) {
			s.busy = false
			if load {
				s.models[o.Model] = true
			} else {
				delete(s.models, o.Model)
			}
		}
		s.mutex.Unlock()
		s.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest runs a request of a client.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	if s.headers != nil {
		s.headers(w.Header())
	}
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	s.mutex.Lock()
	if model != "" && !s.models[model] {
		s.mutex.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadly, afterEvents := false, 0
	if s.crashes != nil {
		deadly, afterEvents = s.crashes(r, string(body))
	}
	if s.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, crash: deadly})
	s.running++
	running := s.running
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	if deadly {
		s.record.printf("server %s runs request %s, which crashes servers", s.id, id)
	}
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	if model != "" {
		s.stream(w, r, deadly, afterEvents)
		return
	}
	if deadly {
		s.abort(id)
	}
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done(): // The server drops a request when its connection closes.
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, s.id)
	if s.logAnswer {
		s.record.printf("server %s has run request %s", s.id, id)
	}
}

// abort crashes the server and ends the request without an answer.
func (s *server) abort(id string) {
	s.crash(id)
	s.mutex.Lock()
	dark := s.darkEnd
	s.mutex.Unlock()
	if dark != nil {
		<-dark
	}
	panic(http.ErrAbortHandler)
}

// stream writes the events after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, deadly bool, afterEvents int) {
	id := r.Header.Get("Request-Id")
	promptText, outputText, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	prompt, _ := strconv.Atoi(promptText)
	output, _ := strconv.Atoi(outputText)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.pause(r, time.Duration(float64(prompt)/prefillTokensPerMS*float64(time.Millisecond)))
	if deadly && afterEvents == 0 {
		s.abort(id)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last := output / tokensPerEvent
	for n := from + 1; n <= last; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		s.pause(r, eventInterval)
		if deadly && n-from >= afterEvents {
			s.abort(id)
		}
	}
}

func (s *server) pause(r *http.Request, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// allArrivals returns the requests that reached servers, and the times of their crashes.
func allArrivals(servers []*server) (arrivals []arrival, crashes []time.Time) {
	for _, s := range servers {
		s.mutex.Lock()
		arrivals = append(arrivals, s.arrivals...)
		crashes = append(crashes, s.crashTimes...)
		s.mutex.Unlock()
	}
	return arrivals, crashes
}
