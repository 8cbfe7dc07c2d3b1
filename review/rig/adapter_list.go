package main

import (
	"net/http"
	"time"
)

// adapterList lists adapters for a model that had none, while traffic runs.
func adapterList(w *world) error {
	size := map[string]float64{"p1": 65500, "p2": 65500, "q1": 34300, "q2": 34300}
	load := map[string]time.Duration{"p1": 5800 * time.Millisecond, "p2": 5800 * time.Millisecond, "q1": 3 * time.Second, "q2": 3 * time.Second}
	names := []string{"p1", "p2", "q1", "q2"}
	spec := func(adapters int) []modelSpec {
		var list []modelSpec
		for _, name := range names {
			m := modelSpec{Name: name, WeightsMB: size[name], LoadS: load[name].Seconds(), AdapterMB: 66, WarmS: 0.57, DiskS: 1.2}
			if name == "p1" {
				m.Adapters = adapters
			}
			list = append(list, m)
		}
		return list
	}
	w.store.put("op/config", plannerConfig(3, spec(0)))
	for i := range 2 {
		e := &engine{
			store: w.store, log: w.log, service: "planner", zone: []string{"qc-a", "qc-b"}[i], name: string(rune('a' + i)), weightsMB: 200000, adapterSlots: 8, slots: 64,
			modelMB: size, adapterMB: map[string]float64{"p1": 66}, loadTime: load, pieceTime: 60 * time.Millisecond, downTime: 4 * time.Second,
		}
		if err := e.start(names...); err != nil {
			return err
		}
		defer e.stop()
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
	changeAt, end := time.Now().Add(12*time.Second), time.Now().Add(45*time.Second)
	changed := false
	for n := 0; time.Now().Before(end); n++ {
		if !changed && w.trouble && time.Now().After(changeAt) {
			changed = true
			w.log.add("configuration version=5: p1 has 14 adapters")
			w.store.put("op/config", plannerConfig(5, spec(14)))
		}
		c := &call{
			id: newID("p"), method: http.MethodPost, host: planHost, path: "/plan/2f", key: planKey, model: names[n%len(names)], tokens: "700,60",
			prefix: "5c1e07a2:200,91bd3f06:100," + newID("e") + ":400", body: newID("plan "), deadline: 15 * time.Second,
		}
		go c.send(w.log, w.fleet.vms[n%len(w.fleet.vms)].front)
		time.Sleep(60 * time.Millisecond)
		if w.log.count() > 0 && time.Until(end) > 5*time.Second {
			end = time.Now().Add(5 * time.Second) // The consequences for the streams in flight.
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}
