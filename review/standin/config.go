package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	apiKey       = "i9n73hh2b9wu3fexd9dn"
	tenantName   = "hule930"
	modelMB      = 65_500.0
	engineName   = "huvo11a" // The service of the model engines.
	plainName    = "xano55b" // The plain service.
	streamPath   = "/lohu930/"
	unsafePath   = "/puxa403/"
	safePath     = "/cufi504/"
	draftPath    = "/bopu901/"
	storedConfig = operatorPrefix + "config"

	modelCount    = 8
	storeLoadTime = 3 * time.Second        // load_s of the models.
	diskLoadTime  = 600 * time.Millisecond // disk_s of the models.
)

// model returns the name of a model. The first is the one that most requests ask for.
func model(number int) string {
	return fmt.Sprintf("daka51000%d", number)
}

// configuration returns the operator's configuration: a service of engines with a
// resumable and another route, and a plain service with an unsafe and a safe route.
func configuration() []byte {
	var models []map[string]any
	for i := range modelCount {
		models = append(models, map[string]any{
			"name": model(i), "weights_mb": modelMB, "load_s": storeLoadTime.Seconds(), "adapters": 0, "adapter_mb": 40.0, "warm_s": 0.57, "disk_s": diskLoadTime.Seconds(),
		})
	}
	document, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name": "r-stream", "host": host, "path_prefix": streamPath, "kind": "stream", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1,
				"service": engineName, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250,
			},
			{
				"name": "r-draft", "host": host, "path_prefix": draftPath, "kind": "stream", "timeout_ms": 25000, "target_latency_ms": 6000, "priority": 2,
				"service": engineName, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 250,
			},
			{
				"name": "r-unsafe", "host": host, "path_prefix": unsafePath, "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2,
				"service": plainName, "max_attempts": 1, "public": false,
			},
			{
				"name": "r-safe", "host": host, "path_prefix": safePath, "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2,
				"service": plainName, "max_attempts": 2, "public": false,
			},
		},
		"services": []map[string]any{
			{
				"name": engineName, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity_tokens": 156625, "weights_mb": engineWeightsMB, "adapter_slots": 8, "loads_per_s": 1.6, "disk_mb": 410000.0,
					"models": models,
				},
			},
			{"name": plainName, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1, "unit": "token", "plain_tokens": 200, "rate_per_s": 64142, "burst": 64142},
		},
	})
	return document
}
