package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// largeBytes is the size of the answers of applications below a path with /large.
const largeBytes = 1 << 20

// model is a model of the configuration.
type model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
}

// server is a stand-in of a server: an engine if it has models, and a plain application otherwise.
type server struct {
	id, service, zone, address string
	store                      *store
	record                     *record
	slots                      int
	events                     int           // Of a stream.
	gap                        time.Duration // Between two events.
	work                       time.Duration // Of an application.
	born                       int64

	mu      sync.Mutex
	listed  []model
	models  map[string][]string
	busy    bool
	seq     uint64
	fence   uint64
	running int
	http    *http.Server
	gone    chan struct{}
}

// startServer starts a server on a free port and registers it.
func startServer(ip, id, service, zone string, st *store, rec *record, listed []model, held ...string) *server {
	s := &server{
		id: id, service: service, zone: zone, store: st, record: rec, slots: 64, events: 57, gap: 80 * time.Millisecond, work: 15 * time.Millisecond,
		born: time.Now().UnixMilli(), listed: listed, models: map[string][]string{}, gone: make(chan struct{}),
	}
	for _, name := range held {
		s.models[name] = []string{}
	}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		for {
			s.register()
			select {
			case <-time.After(heartbeat):
			case <-s.gone:
				return
			}
		}
	}()
	return s
}

func (s *server) held() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range s.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": slices.Clone(adapters)})
	}
	return list
}

func (s *server) register() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "seq": time.Now().UnixMilli(), "born": s.born,
	}
	if s.listed != nil {
		entry["stage"], entry["models"] = "colocated", s.held()
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		answer(w, 200, map[string]any{"stage": "colocated", "models": s.held(), "busy": s.busy, "seq": s.seq, "waiting": 0, "running": s.running, "kv_used": 0, "kv_total": 150000, "handles": 0, "born": s.born})
	case "/v1/order":
		s.order(w, r)
	default:
		s.serve(w, r)
	}
}

// order carries out an order to load or unload a model or an adapter.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *uint64
		Fence                             uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.listed, func(m model) bool { return m.Name == o.Model })
	n, err := strconv.Atoi(strings.TrimPrefix(o.Adapter, "a"))
	known := at >= 0 && (o.Adapter == "" || (err == nil && strings.HasPrefix(o.Adapter, "a") && n >= 1 && n <= s.listed[at].Adapters))
	adapters, holds := s.models[o.Model]
	if o.Adapter != "" {
		holds = slices.Contains(adapters, o.Adapter)
	}
	load := o.Operation == "load"
	switch {
	case o.Fence < s.fence:
		answer(w, 412, map[string]any{})
	case !known || (o.Operation != "load" && o.Operation != "unload"):
		answer(w, 400, map[string]any{})
	case load == holds:
		s.fence = o.Fence
		answer(w, 200, map[string]any{})
	case s.busy || (o.Expected != nil && *o.Expected != s.seq):
		answer(w, 409, map[string]any{})
	default:
		s.fence = o.Fence
		s.seq++
		s.record.add("order %s %s %s/%s", s.id, o.Operation, o.Model, o.Adapter)
		switch {
		case o.Adapter != "" && load:
			s.models[o.Model] = append(adapters, o.Adapter)
		case o.Adapter != "":
			s.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
		case load:
			s.busy = true
			time.AfterFunc(time.Duration(s.listed[at].LoadS*float64(time.Second)), func() {
				s.mu.Lock()
				s.busy, s.models[o.Model] = false, []string{}
				s.mu.Unlock()
				s.register()
			})
		default:
			delete(s.models, o.Model)
		}
		answer(w, 202, map[string]any{})
	}
}

// serve runs a request of a client.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", id)
	name, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	s.mu.Lock()
	adapters, holds := s.models[name]
	if adapter != "" {
		holds = slices.Contains(adapters, adapter)
	}
	full := s.running >= s.slots
	run := err == nil && (s.listed == nil || holds) && !full
	if run {
		s.running++
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	s.mu.Unlock()
	switch {
	case err != nil:
		return
	case s.listed != nil && !holds:
		w.WriteHeader(421)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.record.ran(id, s.id, len(body))
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	if s.listed == nil {
		time.Sleep(s.work)
		w.WriteHeader(200)
		size := 800
		if strings.Contains(r.URL.Path, "/large") {
			size = largeBytes
		}
		_, _ = w.Write([]byte(strings.Repeat("b", size)))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	flusher := http.NewResponseController(w)
	for n := 1; n <= s.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
	}
}
