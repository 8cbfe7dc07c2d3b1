package main

import (
	"net/http"
	"time"
)

// modelVersion lists a new, smaller version of a model that is in use, while traffic runs. The servers
// hold the version that they have until they load the model again.
func modelVersion(w *world) error {
	names := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	size, load := map[string]float64{}, map[string]time.Duration{}
	spec := func(first float64) []modelSpec {
		var list []modelSpec
		for _, name := range names {
			m := modelSpec{Name: name, WeightsMB: 72700, LoadS: 6.4, AdapterMB: 66, WarmS: 0.6, DiskS: 1.3}
			if name == "m0" {
				m.WeightsMB = first
			}
			list = append(list, m)
		}
		return list
	}
	for _, name := range names {
		size[name], load[name] = 72700, 6400*time.Millisecond
	}
	w.store.put("op/config", plannerConfig(3, spec(72700)))
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
	changeAt, end := time.Now().Add(15*time.Second), time.Now().Add(60*time.Second)
	changed := false
	for n := 0; time.Now().Before(end); n++ {
		if !changed && w.trouble && time.Now().After(changeAt) {
			changed = true
			w.log.add("configuration version=5: the new version of m0 has 34300 MB")
			for _, e := range engines {
				e.release("m0", 34300)
			}
			w.store.put("op/config", plannerConfig(5, spec(34300)))
		}
		c := &call{
			id: newID("p"), method: http.MethodPost, host: planHost, path: "/plan/2f", key: planKey, model: names[n%len(names)], tokens: "700,60",
			prefix: "5c1e07a2:200,91bd3f06:100," + newID("e") + ":400", body: newID("plan "), deadline: 15 * time.Second,
		}
		go c.send(w.log, w.fleet.vms[n%len(w.fleet.vms)].front)
		time.Sleep(60 * time.Millisecond)
		if w.log.count() > 0 && time.Until(end) > 5*time.Second {
			end = time.Now().Add(5 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}
