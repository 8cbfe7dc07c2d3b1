package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: entry VMs, a store, engines and an application.
type site struct {
	store   *store
	rec     *record
	vms     []*vm
	engines []*server
	apps    []*server
	listed  []model
	version int
	dir     string
	stop    chan struct{} // Closed at the end of the traffic.
	clients sync.WaitGroup
}

// running is the deployment of the case, for the end after a failure.
var running *site

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var zones = []string{"qc-a", "qc-b", "qc-c"}

// newSite starts a deployment and waits until it is ready.
func newSite(folder string, vms, engines, apps int, extra string) *site {
	dir, err := os.MkdirTemp("", "review3-")
	check(err)
	s := &site{rec: newRecord(filepath.Join(folder, "record.txt")), dir: dir, stop: make(chan struct{})}
	running = s
	s.store = newStore(base() + "2")
	for i := range 4 {
		s.listed = append(s.listed, model{Name: fmt.Sprintf("m%d", i), WeightsMB: 72700, LoadS: 3, Adapters: 4, AdapterMB: 66})
	}
	for i := range engines {
		s.engines = append(s.engines, startServer(base()+"3", fmt.Sprintf("i-e%d", i), "planner-llm", zones[i%3], s.store, s.rec, s.listed, s.listed[i%4].Name, s.listed[(i+1)%4].Name))
	}
	for i := range apps {
		s.apps = append(s.apps, startServer(base()+"3", fmt.Sprintf("i-d%d", i), "dispatch", zones[i%3], s.store, s.rec, nil))
	}
	s.configure(nil)
	seeds := []string{base() + "10", base() + "11", base() + "12"}
	for i := range vms {
		v := newVM(i, zones[i%3], seeds, s.store.address, dir, s.rec, extra)
		s.vms = append(s.vms, v)
		v.start()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.end()
		os.Exit(2)
	}()
	until := time.Now().Add(15 * time.Second)
	for _, v := range s.vms {
		for !v.ready() {
			if time.Now().After(until) {
				check(fmt.Errorf("%s does not become ready", v.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // The window after which machines are in touch.
	return s
}

// configure writes the next version of the configuration.
func (s *site) configure(change func(map[string]any)) time.Time {
	s.version++
	c := map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "r-plan", "host": host, "path_prefix": "/plan/", "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1, "service": "planner-llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250},
			{"name": "r-draft", "host": host, "path_prefix": "/draft/", "kind": "stream", "timeout_ms": 25000, "target_latency_ms": 6000, "priority": 1, "service": "planner-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 250},
			{"name": "r-book", "host": host, "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "dispatch", "max_attempts": 1, "public": false},
			{"name": "r-read", "host": host, "path_prefix": "/read/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "dispatch", "max_attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": "planner-llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 156625, "kv_token_bytes": 327680, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 1.6,
				"host_mb": 140000.0, "disk_mb": 410000.0, "models": s.listed,
			}},
			{"name": "dispatch", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token", "plain_tokens": 200, "rate_per_s": 64142, "burst": 64142},
			{"name": "zota411", "api_keys": []string{otherKey}, "priority": 1, "unit": "token", "plain_tokens": 200, "rate_per_s": 64142, "burst": 64142},
		},
	}
	if change != nil {
		change(c)
	}
	return s.store.put("op/config", c)
}

// end ends all processes.
func (s *site) end() {
	if running == nil {
		return
	}
	running = nil
	for _, v := range s.vms {
		v.stop()
	}
	s.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// leader returns the VM whose record of leadership the store has, and nil if there is none.
func (s *site) leader() *vm {
	s.store.mu.Lock()
	value := string(s.store.items["kumquathitch/leader"].Value)
	s.store.mu.Unlock()
	for _, v := range s.vms {
		if strings.Contains(value, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}
