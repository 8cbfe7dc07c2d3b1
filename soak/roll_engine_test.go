package soak_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch/standin"
)

// streamPlan is what engines do with a call.
type streamPlan struct {
	events        int
	first         time.Duration // Until the first event.
	gap           time.Duration // Between events.
	earlyHead     bool          // The head of the response does not wait for the first event.
	silentAfter   int           // Number of events before a silence of the first run; 0 for none.
	silence       time.Duration
	refuseResumes bool          // Engines reject the resumed call as if they were full.
	queue         time.Duration // Until an engine begins to work on the resumed call.
}

// planStream draws the plan of a call. It depends on the seed and the call only.
func planStream(p rollProfile, seed uint64, call string) streamPlan {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(call))
	random := rand.New(rand.NewPCG(seed, digest.Sum64()))
	s := streamPlan{events: 3 + random.IntN(25), earlyHead: random.IntN(2) == 0}
	length := time.Duration(50+random.IntN(600)) * time.Millisecond
	if random.Float64() < p.long || strings.HasPrefix(call, "long") {
		length = time.Duration(3000+random.IntN(4300)) * time.Millisecond
	}
	s.first = length / 10
	if random.Float64() < p.lateFirst {
		s.first = min(length*8/10, time.Duration(1000+random.IntN(5000))*time.Millisecond)
	}
	s.gap = (length - s.first) / time.Duration(s.events-1)
	if random.Float64() < p.silent {
		s.silentAfter = 1 + random.IntN(s.events-1)
		s.silence = time.Duration(1100+random.IntN(2900)) * time.Millisecond
		s.refuseResumes = random.Float64() < p.refuseResumes
		if random.Float64() < p.queues {
			s.queue = time.Duration(1000+random.IntN(5000)) * time.Millisecond
		}
	}
	return s
}

// waitBefore returns the wait before an event.
func (s streamPlan) waitBefore(event, resumedAfter int) time.Duration {
	wait := s.gap
	if event == 1 {
		wait = s.first
	}
	if resumedAfter == 0 && s.silentAfter > 0 && event == s.silentAfter+1 {
		wait += s.silence
	}
	if resumedAfter > 0 && event == resumedAfter+1 {
		wait += s.queue
	}
	return wait
}

// engineRun is what an engine saw of one arrival of a call.
type engineRun struct {
	engine       string
	began, ended time.Time
	resumedAfter int
	first        time.Time // First event; zero if there is none.
	events       int       // Events sent.
	rejected     bool      // Not run.
	complete     bool      // False if the VM closed the connection.
}

// rollEngine is an engine whose streams follow plans. It never breaks a stream off.
type rollEngine struct {
	*standin.Instance
	profile rollProfile
	seed    uint64

	mutex   sync.Mutex
	running int
	runs    map[string][]engineRun // By call.
}

func (e *rollEngine) registration(address string) []byte {
	return fmt.Appendf(nil, `{"service":"llm","address":"%s","zone":"zone-a","version":"v1","slots":%d,"state":"ready","seq":7,"born":1,"models":[{"name":"m","version":1,"adapters":[]}]}`, address, e.profile.slots)
}

// ServeHTTP serves streams below /stock/, and the rest as an Instance. It rejects calls beyond its slots.
func (e *rollEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/stock/") || r.Header.Get("Expect-Instance") != e.ID {
		e.Instance.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body) // A call whose connection broke ends below.
	plan := planStream(e.profile, e.seed, id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	running := e.enter(1)
	run := engineRun{engine: e.ID, began: time.Now(), resumedAfter: after, rejected: running > e.profile.slots || (after > 0 && plan.refuseResumes)}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, e.profile.slots), e.profile.slots))
	defer func() {
		e.enter(-1)
		run.ended = time.Now()
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.runs[id] = append(e.runs[id], run)
	}()
	if run.rejected {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", "signed-by-"+e.ID)
	if after > 0 {
		plan.earlyHead = false
	}
	run.complete = run.write(r.Context(), w, plan)
	if !run.complete {
		panic(http.ErrAbortHandler) // Deferred calls have run then.
	}
}

// write writes the events of a run. It reports false if the VM closes the connection before.
func (r *engineRun) write(ctx context.Context, w http.ResponseWriter, plan streamPlan) bool {
	control := http.NewResponseController(w)
	if plan.earlyHead {
		w.WriteHeader(http.StatusOK)
		_ = control.Flush() // An error shows at the first event.
	}
	for n := r.resumedAfter + 1; n <= plan.events; n++ {
		if !waitUntil(ctx, time.Now().Add(plan.waitBefore(n, r.resumedAfter))) {
			return false
		}
		if r.events == 0 {
			r.first = time.Now()
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil || control.Flush() != nil {
			return false
		}
		r.events++
	}
	return true
}

// enter counts the running calls.
func (e *rollEngine) enter(change int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running += change
	return e.running
}

// runsOf returns the arrivals of a call that have ended.
func (e *rollEngine) runsOf(call string) []engineRun {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[call]
}
