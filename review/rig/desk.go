package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// desk is a stand-in for a server of a plain service.
type desk struct {
	log      *record
	id       string
	zone     string
	service  string
	workTime time.Duration

	mutex   sync.Mutex
	address string
	server  *http.Server
	born    int64
	beat    int
	state   string
	answer  func(w http.ResponseWriter, r *http.Request, content []byte) // Instead of the usual answer, unless nil.
}

func (d *desk) start() error {
	if d.service == "" {
		d.service = "desk"
	}
	if d.zone == "" {
		d.zone = "qc-a"
	}
	d.state = "ready"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address, d.born = listener.Addr().String(), time.Now().UnixMilli()
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

func (d *desk) stop() { _ = d.server.Close() }

func (d *desk) entry() []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.beat++
	text, _ := json.Marshal(map[string]any{
		"service": d.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": 6, "state": d.state, "cold_left_ms": 0, "seq": d.beat, "born": d.born,
	})
	return text
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != d.id {
		w.Header().Set("Instance-Id", d.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	content, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	d.log.run(id, d.id)
	time.Sleep(d.workTime)
	if d.answer != nil {
		d.answer(w, r, content)
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "s-"+id)
	w.Header().Set("Server-Load", "1,0,6")
	_, _ = fmt.Fprintf(w, "done %s by %s", id, d.id)
}
