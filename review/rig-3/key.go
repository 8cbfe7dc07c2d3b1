package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// keyRevoked: clients have sent a part of their requests when their key is taken away, and the rest comes seconds
// after the bound of configuration.
func keyRevoked(folder string) bool {
	s := newSite(folder, 3, 4, 3, "")
	defer s.end()
	const configBound = 2 * time.Second
	var acked time.Time
	var mu sync.Mutex
	broken, served := 0, 0
	var wg sync.WaitGroup
	for n := range uploads {
		v := s.vms[n%3]
		c, err := dial(v.front())
		check(err)
		if o := c.send(request{id: newID(), method: "GET", path: fmt.Sprintf("/read/%d", n), deadline: 4 * time.Second, key: otherKey}); !o.whole || o.status != 200 {
			check(fmt.Errorf("the first request on a connection got status %d", o.status))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			q := request{id: newID(), method: "POST", path: fmt.Sprintf("/book/%d", n), deadline: 20 * time.Second, key: otherKey, body: strings.Repeat("b", 50_000)}
			_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
			text := q.text()
			half := len(text) / 2
			s.rec.add("client %d sends the first half of %s %s to %s", n, q.id, q.path, v.name)
			if _, err := io.WriteString(c.conn, text[:half]); err != nil {
				return
			}
			time.Sleep(3600 * time.Millisecond)
			begun := time.Now()
			if _, err := io.WriteString(c.conn, text[half:]); err != nil {
				s.rec.add("client %d cannot send the rest of %s: %v", n, q.id, err)
				return
			}
			s.rec.add("client %d has sent the rest of %s", n, q.id)
			o := c.receive(q)
			s.rec.add("client %d gets for %s: status %d, signed %v, whole %v", n, q.id, o.status, o.signed, o.whole)
			mu.Lock()
			defer mu.Unlock()
			if s.rec.runsOf(q.id) == 0 {
				return
			}
			served++
			if !acked.IsZero() && begun.Sub(acked) > configBound {
				broken++
				s.rec.add("CONFIG: the second half of %s was sent %.2f s after the acknowledgement, and the request ran with a dropped key", q.id, begun.Sub(acked).Seconds())
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		at := s.configure(func(c map[string]any) {
			tenants := c["tenants"].([]map[string]any)
			tenants[1]["api_keys"] = []string{"q3xw81vdk02mz7aa55rt"}
		})
		mu.Lock()
		acked = at
		mu.Unlock()
		s.rec.add("the operator takes a key away; acknowledged")
		time.Sleep(configBound + 500*time.Millisecond)
		for n, v := range s.vms {
			c, err := dial(v.front())
			check(err)
			o := c.send(request{id: newID(), method: "GET", path: fmt.Sprintf("/read/probe-%d", n), deadline: 4 * time.Second, key: otherKey})
			s.rec.add("%s answers a new request with that key with status %d", v.name, o.status)
			c.close()
		}
	}
	wg.Wait()
	fmt.Printf("%d of %d requests ran, %d of them with a dropped key\n", served, uploads, broken)
	return broken > 0
}
