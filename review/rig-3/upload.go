package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploads     = 6
	uploadTime  = 4 * time.Second // From the first byte of a request to its last one.
	uploadSteps = 50
	uploadBytes = 200_000
)

// slowUploads: clients send requests whose bodies take seconds, and the VM is stopped with SIGTERM meanwhile. A
// request that the VM has read as a whole is answered as a whole.
func slowUploads(folder string) bool {
	s := newSite(folder, 3, 4, 3, "")
	defer s.end()
	v := s.vms[0]
	var conns []*connection
	for n := range uploads {
		c, err := dial(v.front())
		check(err)
		q := request{id: newID(), method: "GET", path: fmt.Sprintf("/read/%d", n), deadline: 4 * time.Second}
		if o := c.send(q); !o.whole || o.status != 200 {
			check(fmt.Errorf("the first request on a connection got status %d", o.status))
		}
		conns = append(conns, c)
	}
	var mu sync.Mutex
	var stopped time.Time
	lost := 0
	var wg sync.WaitGroup
	for n, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			q := request{
				id: newID(), method: "POST", path: fmt.Sprintf("/draft/%d", n), deadline: 25 * time.Second, body: strings.Repeat("p", uploadBytes),
				header: []string{fmt.Sprintf("Model: m%d", n%4), "Token-Count: 300,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%08x:100", n)},
			}
			c.used++
			_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
			sent := time.Now()
			s.rec.add("client %d begins to send %s %s", n, q.id, q.path)
			text := q.text()
			for i := range uploadSteps {
				time.Sleep(time.Until(sent.Add(time.Duration(i) * uploadTime / uploadSteps)))
				if _, err := io.WriteString(c.conn, text[i*len(text)/uploadSteps:(i+1)*len(text)/uploadSteps]); err != nil {
					s.rec.add("client %d cannot send the rest of %s: %v", n, q.id, err)
					return
				}
			}
			last := time.Now()
			s.rec.add("client %d has sent %s", n, q.id)
			o := c.receive(q)
			took := time.Since(sent)
			s.rec.add("client %d gets for %s: status %d, whole %v, %d events, connection closed without a whole answer %v, %.2f s after its first byte",
				n, q.id, o.status, o.whole, strings.Count(o.body, "data:"), o.closed, took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			late := !stopped.IsZero() && last.Sub(stopped) > 3*time.Second
			if o.closed && late && s.rec.runsOf(q.id) > 0 && took < 24*time.Second {
				lost++
				s.rec.add("LOST: %s was whole %.2f s after the SIGTERM, was passed on to a server, and its connection ended without a whole answer", q.id, last.Sub(stopped).Seconds())
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble() {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		s.rec.add("%s gets SIGTERM", v.name)
		v.signal(syscall.SIGTERM)
		v.mu.Lock()
		done := v.done
		v.mu.Unlock()
		go func() {
			select {
			case <-done:
				s.rec.add("%s has ended", v.name)
			case <-time.After(8 * time.Second): // The grace period.
				_ = v.process.Process.Kill()
				s.rec.add("%s is killed at the end of the grace period", v.name)
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%d of %d requests lost\n", lost, uploads)
	return lost > 0
}
