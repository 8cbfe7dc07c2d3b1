package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of the tenant and of the rule, as in the users' example and settings.
const (
	ratePerS     = 64142
	burst        = 64142
	callTokens   = 1540
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 11000
	usualShare   = 1 / 1.8 // Of the rate.
	hotFactor    = 7.5
)

func deskConfig(version int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-desk", "host": "desk.example", "path_prefix": "/book/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2,
			"service": "desk", "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": "crew", "api_keys": []string{planKey}, "unit": "token", "plain_tokens": 200, "rate_per_s": ratePerS, "burst": burst}},
	})
	return text
}

// hotTenant has a tenant send many times its usual, rest for some seconds, and do it again.
func hotTenant(w *world) error {
	w.store.put("op/config", deskConfig(3))
	for i := range 3 {
		d := &desk{log: w.log, id: fmt.Sprintf("i-desk-%d", i+1), zone: []string{"qc-a", "qc-b", "qc-c"}[i], workTime: 2 * time.Millisecond}
		if err := d.start(); err != nil {
			return err
		}
		defer d.stop()
		w.store.put("servers/"+d.id, d.entry())
	}
	for _, zone := range []string{"qc-a", "qc-a", "qc-b", "qc-b", "qc-c", "qc-c"} {
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
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	n := 0
	send := func(perSecond float64, length time.Duration) {
		begun := time.Now()
		for sent := 0; time.Since(begun) < length; {
			for float64(sent) < perSecond*time.Since(begun).Seconds() {
				c := &call{id: newID("q"), method: http.MethodGet, host: "desk.example", path: "/book/1", key: planKey, tokens: "1460,80", deadline: 4 * time.Second}
				front := w.fleet.vms[n%len(w.fleet.vms)].front
				group.Add(1)
				go func() {
					defer group.Done()
					c.send(w.log, front)
				}()
				n++
				sent++
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	const rest = 3 * time.Second // Nobody of the tenant calls.
	usual := usualShare * ratePerS / callTokens
	factor := hotFactor
	if !w.trouble {
		factor = 1
	}
	for _, phase := range []struct {
		factor float64
		length time.Duration
	}{{factor, 6500 * time.Millisecond}, {0, rest}, {factor, 9 * time.Second}, {0, rest}, {factor, 9 * time.Second}} {
		w.log.add("the tenant sends %.1f times its usual for %s", phase.factor, phase.length)
		send(phase.factor*usual, phase.length)
	}
	group.Wait()
	most, from := mostInWindow(w.log.runTimes(), quotaWindow)
	limit := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	w.log.add("most tokens run in %s: %d, from %.3f s on; allowed %.0f", quotaWindow, most*callTokens, from.Seconds(), limit)
	if float64(most*callTokens) > limit {
		w.log.broken("QUOTA %d tokens in %s, %.0f allowed", most*callTokens, quotaWindow, limit)
	}
	return nil
}

// mostInWindow returns the largest number of times within a window, and the first of them.
func mostInWindow(times []time.Duration, window time.Duration) (int, time.Duration) {
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	most, from, first := 0, time.Duration(0), 0
	for last := range times {
		for times[last]-times[first] > window {
			first++
		}
		if last-first+1 > most {
			most, from = last-first+1, times[first]
		}
	}
	return most, from
}
