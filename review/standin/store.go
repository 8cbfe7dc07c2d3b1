package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_ms of the pages; an entry is removed after three of
	// them in silence.
	heartbeatInterval = 1200 * time.Millisecond
	pageItems         = 500
	operatorPrefix    = "op/"
	serverPrefix      = "servers/"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's metadata store. It is sound: it answers every
// call, and forgets nothing.
type store struct {
	address string
	server  *http.Server

	mutex     sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	leases    map[uint64]*lease
	lastLease uint64
	beats     map[string]time.Time // Last sign of life of the servers, by key.
	changed   chan struct{}
	down      bool
	forgotten uint64 // The history up to this revision is dropped.
}

func newStore() (*store, error) {
	s := &store{items: map[string]item{}, revision: 1, leases: map[uint64]*lease{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /v1/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.serveEnd)
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

// expire ends leases and removes the entries of silent servers.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mutex.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		for key, last := range s.beats {
			if !s.down && now.Sub(last) > 3*heartbeatInterval {
				delete(s.beats, key)
				s.removeItem(key)
			}
		}
		s.mutex.Unlock()
	}
}

func (s *store) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// setDown begins or ends an outage, in which every call gets 503 and leases run out.
// With forget, the history of before its end is dropped.
func (s *store) setDown(down, forget bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	for key := range s.beats { // Servers can write again at once.
		s.beats[key] = time.Now()
	}
	if forget {
		s.history, s.forgotten = nil, s.revision
	}
	close(s.changed) // Ends the waiting watches.
	s.changed = make(chan struct{})
}

// leaderRecord returns the record that the VMs keep of their leader, for the record.
func (s *store) leaderRecord() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, ok := s.items["kumquathitch/leader"]; ok {
		return string(found.Value)
	}
	return "none"
}

// put writes an item as the operator does.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setItem(key, value, 0)
}

// remove removes the entry of a server that has left.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.beats, key)
	s.removeItem(key)
}

// beat is a heartbeat of a server. It writes the entry if it has changed.
func (s *store) beat(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return
	}
	s.beats[key] = time.Now()
	if current, ok := s.items[key]; !ok || string(current.Value) != string(value) {
		s.setItem(key, value, 0)
	}
}

// The methods below are called with the lock held.

func (s *store) setItem(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if current, ok := s.items[key]; ok {
		created = current.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = written
	s.record(written)
}

func (s *store) removeItem(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, current := range s.items {
		if current.Lease == id {
			s.removeItem(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, current := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, current)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	truncated := len(found) > pageItems
	if truncated {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events, revision, changed, gone := s.changesAfter(query.Get("path_prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) (changes []item, revision uint64, changed <-chan struct{}, gone bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.forgotten {
		return nil, 0, nil, true
	}
	var events []item
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed, false
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
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
	current, holds := []item{}, true
	for _, expected := range body.Expected {
		found, ok := s.items[expected.Key]
		holds = holds && found.Revision == expected.Revision
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range body.Set {
		if strings.HasPrefix(set.Key, operatorPrefix) || strings.HasPrefix(set.Key, serverPrefix) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, live := s.leases[set.Lease]; set.Lease != 0 && !live {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, set := range body.Set {
		s.setItem(set.Key, set.Value, set.Lease)
	}
	for _, key := range body.Remove {
		s.removeItem(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
