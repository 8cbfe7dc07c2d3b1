package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const host = "ficu95.example"

// request is one attempt of a client.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             map[string]string
	kind               string // For the counts.
}

// outcome is what the client got.
type outcome struct {
	id     string
	kind   string
	vm     *vm
	ended  time.Time
	status int // 0 if there is no whole answer.
	body   string
	header http.Header
	err    error
}

// send sends one attempt on a new connection.
func send(v *vm, q request) outcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	o := transmit(v, q, id)
	o.id, o.kind, o.vm, o.ended = id, q.kind, v, time.Now()
	return o
}

func transmit(v *vm, q request, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", v.ip, frontPort, q.path), strings.NewReader(q.body))
	if err != nil {
		return outcome{err: err}
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	response, err := clientTransport.RoundTrip(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{status: response.StatusCode, body: string(body), header: response.Header}
}

var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s: no whole answer: %v", o.id, o.err)
	}
	text, _, _ := strings.Cut(o.body, "\n")
	if o.status == http.StatusOK {
		text = fmt.Sprintf("%d bytes", len(o.body))
	}
	return fmt.Sprintf("%s: %d %s", o.id, o.status, text)
}

// traffic sends sound requests at a rate until it is stopped.
type traffic struct {
	stop    chan struct{}
	running sync.WaitGroup
	mutex   sync.Mutex
	counts  map[string]*count // By kind of request.
}

// count counts requests, and those with a success and the whole answer.
type count struct {
	sent, served, cut int
}

// add counts an outcome.
func (t *traffic) add(o outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.counts[o.kind]
	if c == nil {
		c = &count{}
		t.counts[o.kind] = c
	}
	c.sent++
	switch {
	case o.status == http.StatusOK:
		c.served++
	case o.err != nil:
		c.cut++
	}
}

// report writes the counts to the record.
func (t *traffic) report(rec *record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(t.counts)) {
		c := t.counts[kind]
		rec.printf("sound requests, %s: %d sent, %d served, %d cut without a whole answer", kind, c.sent, c.served, c.cut)
	}
}

func startTraffic(f *fleet, perSecond float64, next func() request, saw func(outcome)) *traffic {
	t := &traffic{stop: make(chan struct{}), counts: map[string]*count{}}
	t.running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			t.running.Go(func() {
				o := send(f.any(), next())
				t.add(o)
				if saw != nil {
					saw(o)
				}
			})
		}
	})
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.running.Wait()
}
