package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pausedReaders: clients read a part of a large answer, do nothing for some seconds, and read on, long before their
// deadlines. Their kernels acknowledge all that comes meanwhile.
func pausedReaders(folder string) bool {
	const (
		clients  = 8
		deadline = 25 * time.Second
	)
	pause := 2 * time.Second
	if trouble() {
		pause = 13 * time.Second
	}
	s := newSite(folder, 3, 4, 3, "")
	defer s.end()
	s.configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			if r["name"] == "r-read" {
				r["timeout_ms"] = deadline.Milliseconds()
			}
		}
	})
	time.Sleep(4 * time.Second) // Twice the bound of configuration.
	var mu sync.Mutex
	cut := 0
	var wg sync.WaitGroup
	for n := range clients {
		v := s.vms[n%3]
		c, err := dial(v.front())
		check(err)
		check(c.conn.(*net.TCPConn).SetReadBuffer(32 << 10))
		if o := c.send(request{id: newID(), method: "GET", path: fmt.Sprintf("/read/%d", n), deadline: 4 * time.Second}); !o.whole || o.status != 200 {
			check(fmt.Errorf("the first request on a connection got status %d", o.status))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			q := request{id: newID(), method: "GET", path: fmt.Sprintf("/read/large/%d", n), deadline: deadline}
			begun := time.Now()
			_ = c.conn.SetDeadline(begun.Add(deadline))
			s.rec.add("client %d sends %s %s to %s", n, q.id, q.path, v.name)
			if _, err := io.WriteString(c.conn, q.text()); err != nil {
				s.rec.add("client %d cannot send %s: %v", n, q.id, err)
				return
			}
			r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
			if err != nil {
				s.rec.add("client %d has no head of an answer to %s: %v", n, q.id, err)
				return
			}
			s.rec.add("client %d has the head of the answer to %s, status %d, and pauses for %s", n, q.id, r.StatusCode, pause)
			time.Sleep(pause)
			body, err := io.ReadAll(r.Body)
			s.rec.add("client %d has %d of %d bytes of the answer to %s, %.2f s after it was sent: %v", n, len(body), r.ContentLength, q.id, time.Since(begun).Seconds(), err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && !isTimeout(err) && s.rec.runsOf(q.id) > 0 {
				cut++
				s.rec.add("CUT: the answer to %s", q.id)
			}
		}()
	}
	wg.Wait()
	text := strings.TrimSpace(fmt.Sprintf("%d of %d answers cut, %d are allowed", cut, clients, allowedCuts))
	s.rec.add("%s", text)
	fmt.Println(text)
	return cut > allowedCuts
}
