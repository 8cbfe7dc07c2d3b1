package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, and writes it to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
	runs  map[string][]string // Servers that ran a request, by its id.
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f, runs: map[string][]string{}}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) ran(id, server string, bytes int) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], server)
	r.mu.Unlock()
	r.add("run %s at %s, body of %d bytes", id, server, bytes)
}

func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id])
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
