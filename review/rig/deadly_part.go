package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Parts of prompts. The first one is common to all calls of the team; the dead one crashes servers.
const (
	firstPart    = "5c1e07a2" // Until the team rolls its new prompt out.
	newFirstPart = "7f20c9d4" // From then on.
	deadPart     = "de4d0001"
)

// sample counts sound requests, and those that a server began at their first attempt.
type sample struct {
	sent, begun int
}

func (s sample) share() float64 { return float64(s.begun) / float64(max(1, s.sent)) }

// deadlyPart has a team roll out a new prompt, one part of which crashes servers.
func deadlyPart(w *world) error {
	const (
		stableWindow = 3 * time.Second // bounds.stable_window_ms
		warmUp       = 4 * time.Second
		rollOut      = 18 * time.Second
		length       = 70 * time.Second
	)
	spec := []modelSpec{{Name: "m0", WeightsMB: 72700, LoadS: 6.4, AdapterMB: 66, WarmS: 0.6, DiskS: 1.3}}
	w.store.put("op/config", plannerConfig(3, spec))
	var engines []*engine
	for i := range 3 {
		e := &engine{
			store: w.store, log: w.log, service: "planner", zone: []string{"qc-a", "qc-b", "qc-c"}[i%3], name: string(rune('a' + i)), weightsMB: 200000, adapterSlots: 8, slots: 64,
			modelMB: map[string]float64{"m0": 72700}, loadTime: map[string]time.Duration{"m0": 6400 * time.Millisecond},
			pieceTime: 200 * time.Millisecond, downTime: 3 * time.Second, deadPart: deadPart,
		}
		if err := e.start("m0"); err != nil {
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
	start := time.Now()
	rolledOut, end := start.Add(rollOut), start.Add(length)
	var group sync.WaitGroup
	send := func(first, middle string, n int) *call {
		c := &call{
			id: newID("p"), method: http.MethodPost, host: planHost, path: "/plan/2f", key: planKey, model: "m0", tokens: "700,60",
			prefix: first + ":200," + middle + ":100," + newID("e") + ":400", body: newID("plan "), deadline: 15 * time.Second,
		}
		front := w.fleet.vms[n%len(w.fleet.vms)].front
		group.Add(1)
		go func() {
			defer group.Done()
			c.send(w.log, front)
		}()
		return c
	}
	if w.trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(rolledOut))
			for n := 1; time.Now().Before(end); n++ {
				send(newFirstPart, deadPart, n)
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	var sound []*call
	for n := 0; time.Now().Before(end); n++ {
		first := firstPart
		if time.Now().After(rolledOut) {
			first = newFirstPart
		}
		sound = append(sound, send(first, fmt.Sprintf("91bd3f%02x", n%8), n))
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	crashes, lastCrash := 0, rolledOut
	for _, e := range engines {
		e.mutex.Lock()
		crashes += e.crashes
		if e.crashedAt.After(lastCrash) {
			lastCrash = e.crashedAt
		}
		e.mutex.Unlock()
	}
	var before, after sample
	for _, c := range sound {
		var s *sample
		switch {
		case c.sentAt.After(start.Add(warmUp)) && c.sentAt.Before(rolledOut.Add(-stableWindow)):
			s = &before
		case c.sentAt.After(lastCrash.Add(2 * stableWindow)):
			s = &after
		default:
			continue
		}
		s.sent++
		if len(w.log.runsOf(c.id)) > 0 {
			s.begun++
		}
	}
	w.log.add("crashes %d, the last after %.1f s; sound requests that begin: %d of %d before, %d of %d later than 2 x stable_window_ms after the last crash",
		crashes, lastCrash.Sub(start).Seconds(), before.begun, before.sent, after.begun, after.sent)
	if before.sent >= 20 && after.sent >= 20 && after.share() < before.share()/2 {
		w.log.broken("LOST %d of %d sound requests begin, %d of %d before", after.begun, after.sent, before.begun, before.sent)
	}
	return nil
}
