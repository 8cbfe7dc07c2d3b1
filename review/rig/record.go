package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what a case has seen: requests, answers, runs, orders and broken rules.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	start  time.Time
	faults int
	runs   map[string][]string // Servers that ran a request, by its id.
	ranAt  []time.Duration     // First run of each request.
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), runs: map[string][]string{}}, nil
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, values...)
}

func (r *record) write(format string, values ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// broken records that a rule was broken.
func (r *record) broken(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults++
	r.write("BROKEN "+format, values...)
}

func (r *record) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.faults
}

// run records that a server began to work on a request.
func (r *record) run(id, server string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.runs[id]) == 0 {
		r.ranAt = append(r.ranAt, time.Since(r.start))
	}
	r.runs[id] = append(r.runs[id], server)
	r.write("run request=%s server=%s", id, server)
}

func (r *record) runsOf(id string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runs[id]
}

// runTimes returns when each request began to run first.
func (r *record) runTimes() []time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]time.Duration(nil), r.ranAt...)
}
