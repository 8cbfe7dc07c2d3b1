package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stableWindow   = 3 * time.Second // stable_window_ms of the settings.
	leadTime       = 5 * time.Second // From the readiness of all VMs to the first request.
	deadlyPart     = "dead0bad"
	deadlyBody     = "slot=17;truck=poles;crew=2"
	crashDowntime  = 3 * time.Second // The server is back after some seconds.
	silentDowntime = 4 * time.Second // At most the 4.5 s for which servers go dark.
)

// begin writes the configuration, starts servers and VMs, and waits for the lead time.
// Engines hold the models of holds at first.
func (p *play) begin(servers []*server, holds func(i int) []string) error {
	p.store.put(storedConfig, configuration())
	for i, s := range servers {
		s.record, s.store = p.record, p.store
		var models []string
		if holds != nil {
			models = holds(i)
		}
		if err := s.start(models...); err != nil {
			return err
		}
		go s.beatUntilEnd()
	}
	if err := p.fleet.start(); err != nil {
		return err
	}
	time.Sleep(leadTime)
	return nil
}

// engines returns model engines, four in each zone.
func engines() []*server {
	var all []*server
	for i := range 12 {
		all = append(all, &server{id: fmt.Sprintf("i-e%02d", i), service: engineName, zone: []string{"qc-a", "qc-b", "qc-c"}[i%3], slots: 64, downtime: crashDowntime})
	}
	return all
}

// applications returns the servers of the plain service, one in each zone.
func applications(work time.Duration) []*server {
	var all []*server
	for i := range 3 {
		all = append(all, &server{
			id: fmt.Sprintf("i-a%02d", i), service: plainName, zone: []string{"qc-a", "qc-b", "qc-c"}[i], slots: 6, downtime: crashDowntime,
			work: func(*http.Request) time.Duration { return work },
		})
	}
	return all
}

// promptRequest returns a request for a stream whose prompt has the given shared parts and
// a last part of its own.
func promptRequest(path, modelName string, shared ...string) request {
	parts, tokens := []string{}, 0
	for _, part := range shared {
		parts, tokens = append(parts, part+":175"), tokens+175
	}
	parts, tokens = append(parts, fmt.Sprintf("%08x:1110", rand.Uint32())), tokens+1110
	return request{
		kind: "stream below " + path, method: http.MethodPost, path: path + "2f", body: fmt.Sprintf("plan %x", rand.Uint64()), deadline: 15 * time.Second,
		header: map[string]string{"Api-Key": apiKey, "Model": modelName, "Token-Count": fmt.Sprintf("%d,172", tokens), "Prompt-Prefix": strings.Join(parts, ",")},
	}
}

// plainRequest returns a request to the plain service.
func plainRequest(method, path, body string) request {
	return request{kind: "plain below " + path, method: method, path: path, body: body, deadline: time.Second, header: map[string]string{"Api-Key": apiKey}}
}

// booking returns a sound unsafe request, unlike any other.
func booking() request {
	return plainRequest(http.MethodPost, unsafePath, fmt.Sprintf("slot=%x", rand.Uint64()))
}

// firstParts and sessionParts are shared parts of prompts.
var (
	firstParts   = []string{"5c1e07a2", "5c1e07a3", "5c1e07a4"}
	sessionParts = []string{"91bd3f01", "91bd3f02", "91bd3f03", "91bd3f04", "91bd3f05", "91bd3f06"}
)

func pick(parts []string) string {
	return parts[rand.IntN(len(parts))]
}

// lateArrivals returns how many requests that crash servers reached servers later than
// stableWindow after the crash with a number, counted from 1. It returns 0 if there were
// fewer crashes.
func (p *play) lateArrivals(servers []*server, number int) int {
	arrivals, crashes := allArrivals(servers)
	slices.SortFunc(crashes, time.Time.Compare)
	p.record.printf("%d crashes by the request, %d arrivals of all requests", len(crashes), len(arrivals))
	if len(crashes) < number {
		return 0
	}
	from := crashes[number-1].Add(stableWindow)
	late := 0
	for _, a := range arrivals {
		if a.crash && a.at.After(from) {
			late++
		}
	}
	p.record.printf("crash %d came at %.3f s; %d requests that crash servers reached servers later than %s after it", number, crashes[number-1].Sub(p.record.start).Seconds(), late, stableWindow)
	return late
}

// crashAfterStart: a part of prompts crashes each engine that has begun to write an answer
// on it. The engine has written two events then, or as many as EVENTS in the environment
// states, for comparison.
func crashAfterStart(p *play) (bool, error) {
	const (
		maxLate = 3 // Of the rule.
		period  = 50 * time.Second
	)
	eventsBeforeCrash := 2
	if number, err := strconv.Atoi(os.Getenv("EVENTS")); err == nil {
		eventsBeforeCrash = number
	}
	servers := engines()
	for _, s := range servers {
		s.diskModel = true
		s.crashes = func(r *http.Request, _ string) (bool, int) {
			return p.trouble && strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart), eventsBeforeCrash
		}
	}
	if err := p.begin(servers, func(int) []string { return []string{model(0)} }); err != nil {
		return false, err
	}
	sound := startTraffic(p.fleet, 10, func() request {
		path := streamPath
		if rand.IntN(4) == 0 {
			path = draftPath
		}
		return promptRequest(path, model(0), pick(firstParts), pick(sessionParts))
	}, nil)
	time.Sleep(5 * time.Second)
	var repeats sync.WaitGroup
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(2 * time.Second) {
		repeats.Go(func() {
			o := send(p.fleet.any(), promptRequest(streamPath, model(0), pick(firstParts), pick(sessionParts), deadlyPart))
			p.record.printf("client: request with part %s at %s: %s", deadlyPart, o.vm.name, o)
		})
	}
	repeats.Wait()
	sound.end()
	sound.report(p.record)
	return p.lateArrivals(servers, 5) > maxLate, nil
}

// silentCrash: an unsafe request crashes each server that begins to run it. The server
// sends nothing any more, also no reset, until it is back.
func silentCrash(p *play) (bool, error) {
	const (
		maxLate = 3 // Of the rule.
		period  = 55 * time.Second
	)
	servers := applications(15 * time.Millisecond)
	for _, s := range servers {
		s.silent, s.downtime = true, silentDowntime
		s.crashes = func(_ *http.Request, body string) (bool, int) { return p.trouble && body == deadlyBody, 0 }
	}
	if err := p.begin(servers, nil); err != nil {
		return false, err
	}
	sound := startTraffic(p.fleet, 26, func() request {
		if rand.IntN(4) == 0 {
			q := plainRequest(http.MethodGet, safePath, "")
			q.path += fmt.Sprintf("%x", rand.Uint32())
			return q
		}
		return booking()
	}, nil)
	time.Sleep(5 * time.Second)
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(4 * time.Second) {
		o := send(p.fleet.any(), plainRequest(http.MethodPost, unsafePath, deadlyBody))
		p.record.printf("client: the repeated request at %s: %s", o.vm.name, o)
	}
	sound.end()
	sound.report(p.record)
	return p.lateArrivals(servers, 3) > maxLate, nil
}

// limitAfterLapse: a server in need names a limit in all answers, and then cannot reach the
// store for some seconds, so that its entry is removed and comes back.
func limitAfterLapse(p *play) (bool, error) {
	const (
		limitPerSecond = 1.0
		window         = 4 * time.Second
		cutTime        = 5 * time.Second
		passedBefore   = 500 * time.Millisecond // Of the rule.
	)
	servers := applications(300 * time.Millisecond)[:2]
	limited := servers[0]
	var mutex sync.Mutex
	inNeed := false
	limited.headers = func(h http.Header) {
		mutex.Lock()
		defer mutex.Unlock()
		if inNeed {
			h.Set("Server-Limit", fmt.Sprintf("%g", limitPerSecond))
		}
	}
	if err := p.begin(servers, nil); err != nil {
		return false, err
	}
	senders := map[string]*vm{}      // VM by request.
	passed := map[string]time.Time{} // When a VM first passed on an answer with the limit, by its name.
	var firstNamed time.Time         // First such answer.
	requests := startTraffic(p.fleet, 26, booking, func(o outcome) {
		mutex.Lock()
		defer mutex.Unlock()
		senders[o.id] = o.vm
		if o.header.Get("Server-Limit") == "" {
			return
		}
		if _, known := passed[o.vm.name]; !known {
			passed[o.vm.name] = o.ended
		}
		if firstNamed.IsZero() {
			firstNamed = o.ended
		}
	})
	time.Sleep(5 * time.Second)
	mutex.Lock()
	inNeed = true
	mutex.Unlock()
	p.record.printf("server %s names a limit of %g requests a second from now on", limited.id, limitPerSecond)
	time.Sleep(15 * time.Second)
	for range 3 {
		if p.trouble {
			p.record.printf("server %s is cut off from the store", limited.id)
			limited.setCutFromStore(true)
		}
		time.Sleep(cutTime)
		if p.trouble {
			limited.setCutFromStore(false)
			limited.beat()
			p.record.printf("server %s reaches the store again", limited.id)
		}
		time.Sleep(10 * time.Second)
	}
	requests.end()
	requests.report(p.record)
	arrivals, _ := allArrivals([]*server{limited})
	arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool {
		since, known := passed[senders[a.id].name]
		return !known || a.at.Before(since.Add(passedBefore)) || a.at.Before(firstNamed.Add(stableWindow))
	})
	p.record.printf("%d VMs have passed on an answer with the limit", len(passed))
	most, allowed := 0, int(1.5*limitPerSecond*window.Seconds()+5)
	for i, a := range arrivals {
		count := 0
		for _, b := range arrivals[i:] {
			if b.at.Sub(a.at) < window {
				count++
			}
		}
		if count > most {
			most = count
			p.record.printf("%d requests reached %s in the 4 s from %.3f s", count, limited.id, a.at.Sub(p.record.start).Seconds())
		}
	}
	p.record.printf("most requests in 4 s: %d; allowed: %d", most, allowed)
	return most > allowed, nil
}

func (s *server) setCutFromStore(cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutFromStore = cut
}

// noLeader: the store is down for some seconds, in which leases run out, and has dropped
// its history when it is back. Then the engines are replaced one after the other, as planned.
func noLeader(p *play) (bool, error) {
	const (
		outage     = 4500 * time.Millisecond
		releaseGap = time.Second
		playTime   = 84 * time.Second
	)
	old := engines()
	plain := applications(15 * time.Millisecond)
	if err := p.begin(append(plain, old...), func(i int) []string {
		if i < len(plain) {
			return nil
		}
		return []string{model(i % modelCount), model((i + 1) % modelCount)}
	}); err != nil {
		return false, err
	}
	start := time.Now()
	requests := startTraffic(p.fleet, 40, func() request {
		if rand.IntN(40) >= 6 {
			return booking()
		}
		return promptRequest(streamPath, model(rand.IntN(modelCount)), pick(firstParts), pick(sessionParts))
	}, nil)
	p.record.printf("the leader's record in the store: %s", p.store.leaderRecord())
	time.Sleep(time.Second)
	if p.trouble {
		p.record.printf("the store is down")
		p.store.setDown(true, false)
	}
	time.Sleep(outage)
	if p.trouble {
		p.store.setDown(false, true)
		p.record.printf("the store is back, without its history")
	}
	time.Sleep(time.Second)
	for i, s := range old {
		next := &server{id: fmt.Sprintf("i-n%02d", i), service: engineName, zone: s.zone, slots: 64, record: p.record, store: p.store}
		if err := next.start(); err != nil {
			return false, err
		}
		go next.beatUntilEnd()
		go s.leave()
		time.Sleep(releaseGap)
	}
	for time.Since(start) < playTime {
		p.record.printf("the leader's record in the store: %s", p.store.leaderRecord())
		time.Sleep(10 * time.Second)
	}
	requests.end()
	requests.report(p.record)
	all, least := count{}, 1.0
	for _, c := range requests.counts {
		all.sent, all.served = all.sent+c.sent, all.served+c.served
		least = min(least, float64(c.served)/float64(c.sent))
	}
	share := float64(all.served) / float64(all.sent)
	p.record.printf("of all requests %.3f were served, of the kind served least %.3f; the rule asks for a quarter of that of all: %.3f", share, least, share/4)
	return least < share/4, nil
}
