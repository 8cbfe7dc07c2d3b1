package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is the number of items of one page of a range.
const pageItems = 500

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{} // Closed by the next change.
	address  string
}

type lease struct {
	ttl   time.Duration
	ends  time.Time
	timer *time.Timer
}

// newStore serves an empty store on a free port of a loopback address.
func newStore(ip string) *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 77000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.scan)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// set writes a key. The caller holds the lock.
func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, it)
}

// remove removes a key. The caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or a server. It returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, ok := value.([]byte)
	if !ok {
		var err error
		text, err = json.Marshal(value)
		check(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.notify()
	return time.Now()
}

// drop removes a key for the operator or a server.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// has reports how many keys begin with a prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, 404, map[string]any{"store_revision": revision})
		return
	}
	answer(w, 200, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{it, revision})
}

func (s *store) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > pageItems
	if truncated {
		found = found[:pageItems]
	}
	answer(w, 200, map[string]any{"items": found, "truncated": truncated, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		Set      []item   `json:"set_keys"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expected {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, it := range body.Set {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, it := range body.Set {
		s.set(it.Key, it.Value, it.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	answer(w, 200, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, 404, map[string]any{})
		return
	}
	answer(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.endLease(id)
	answer(w, 200, map[string]any{})
}

func check(err error) {
	if err != nil {
		panic(couldNotRun{err})
	}
}

// couldNotRun ends a case with exit code 2.
type couldNotRun struct{ cause error }

func (c couldNotRun) String() string { return fmt.Sprint(c.cause) }
