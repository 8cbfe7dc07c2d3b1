package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	planHost = "plans.example"
	planKey  = "i9n73hh2b9wu3fexd9dn"
)

// modelSpec is a model as the operator lists it.
type modelSpec struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
	WarmS     float64 `json:"warm_s"`
	DiskS     float64 `json:"disk_s"`
}

func plannerConfig(version int, models []modelSpec) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-plan", "host": planHost, "path_prefix": "/plan/", "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1,
			"service": "planner", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250,
		}},
		"services": []any{map[string]any{
			"name": "planner", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 156625, "kv_token_bytes": 327680, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 3, "maximum": 12,
				"host_mb": 140000.0, "disk_mb": 410000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": models,
				"weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 1.6,
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []string{planKey}, "unit": "token", "plain_tokens": 200, "rate_per_s": 200000, "burst": 200000}},
	})
	return text
}

// modelList replaces a model that is in use by another one while traffic runs.
func modelList(w *world) error {
	size := map[string]float64{}
	load := map[string]time.Duration{}
	spec := func(names ...string) []modelSpec {
		var list []modelSpec
		for _, name := range names {
			list = append(list, modelSpec{Name: name, WeightsMB: 72700, LoadS: 6.4, AdapterMB: 66, WarmS: 0.6, DiskS: 1.3})
			size[name], load[name] = 72700, 6400*time.Millisecond
		}
		return list
	}
	w.store.put("op/config", plannerConfig(3, spec("m0", "m1", "m2", "m3", "m4", "m5")))
	var engines []*engine
	for i, held := range [][]string{{"m0", "m1"}, {"m2", "m3"}, {"m4", "m5"}, {"m0", "m2"}} {
		e := &engine{
			store: w.store, log: w.log, service: "planner", zone: []string{"qc-a", "qc-b", "qc-c"}[i%3], name: string(rune('a' + i)), weightsMB: 200000, adapterSlots: 8,
			slots: 64, modelMB: size, loadTime: load, pieceTime: 60 * time.Millisecond, downTime: 4 * time.Second,
		}
		if err := e.start(held...); err != nil {
			return err
		}
		defer e.stop()
		engines = append(engines, e)
	}
	for _, zone := range []string{"qc-a", "qc-b", "qc-c"} {
		v, err := w.fleet.add(zone, true)
		if err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	if err := w.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	changeAt, end := time.Now().Add(15*time.Second), time.Now().Add(60*time.Second)
	changed := false
	for n := 0; time.Now().Before(end); n++ {
		if !changed && w.trouble && time.Now().After(changeAt) {
			changed = true
			w.log.add("configuration version=5: m5 is no longer listed, m6 is new; callers of m5 go over to m6")
			w.store.put("op/config", plannerConfig(5, spec("m0", "m1", "m2", "m3", "m4", "m6")))
			models[5] = "m6" // The callers follow.
		}
		c := &call{
			id: newID("p"), method: http.MethodPost, host: planHost, path: "/plan/2f", key: planKey, model: models[n%len(models)], tokens: "700,60",
			prefix: "5c1e07a2:200,91bd3f06:100," + newID("e") + ":400", body: newID("plan "), deadline: 15 * time.Second,
		}
		front := w.fleet.vms[n%len(w.fleet.vms)].front
		go c.send(w.log, front)
		time.Sleep(60 * time.Millisecond)
		if w.log.count() > 0 && time.Until(end) > 5*time.Second {
			end = time.Now().Add(5 * time.Second) // The consequences for the streams in flight.
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}
