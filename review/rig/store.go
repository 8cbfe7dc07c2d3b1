package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: revisions, leases, watches and
// transactions, as the users' protocol page describes them.
type store struct {
	mutex     sync.Mutex
	items     map[string]item
	history   []change
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	faults    map[string]storeFault // By name of the VM that calls.
}

// storeFault is what one VM sees of the store.
type storeFault struct {
	refuse bool          // Every call gets 503.
	delay  time.Duration // Before each answer.
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type change struct {
	item
	Deleted bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

const maxPage = 500

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[uint64]*lease{}, lastLease: 77000, revision: 1, changed: make(chan struct{}), faults: map[string]storeFault{}}
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value, 0)
	return s.revision
}

// remove removes a key as the platform does when a server is gone.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.drop(key)
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return s.items[key].Value
}

func (s *store) setFault(vm string, f storeFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[vm] = f
}

func (s *store) fault(vm string) storeFault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults[vm]
}

// set writes a key at the present revision.
func (s *store) set(key string, value []byte, leaseID uint64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = written
	s.note(change{item: written})
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.note(change{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.drop(key)
	}
}

// keepTime ends leases in time, also while nobody calls.
func (s *store) keepTime(stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			s.mutex.Lock()
			s.expire()
			s.mutex.Unlock()
		}
	}
}

// handler serves the store to one VM.
func (s *store) handler(vm string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.readKey)
	mux.HandleFunc("GET /v1/kv-range", s.readRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transact)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.release)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.fault(vm)
		if f.refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(f.delay)
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, s.revision})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > maxPage
	if truncated {
		items = items[:maxPage]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		s.expire()
		if after > s.revision {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.Revision <= after || !strings.HasPrefix(c.Key, query.Get("path_prefix")) {
				continue
			}
			if c.Deleted {
				events = append(events, map[string]any{"key": c.Key, "revision": c.Revision, "deleted": true})
			} else {
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	for _, i := range body.Set {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current, differs := []item{}, false
	for _, e := range body.Expected {
		now := s.items[e.Key]
		now.Key = e.Key
		current = append(current, now)
		differs = differs || now.Revision != e.Revision
	}
	if differs {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++ // One for the whole transaction.
	for _, i := range body.Set {
		s.set(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Remove {
		s.drop(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

const minTTL = time.Second

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(minTTL, time.Duration(body.TTL)*time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) release(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
