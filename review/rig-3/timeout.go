package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// timeoutLowered: the operator lowers the timeout of a route, and clients then send requests whose bodies take longer.
func timeoutLowered(folder string) bool {
	const (
		clients  = 12
		before   = 20 * time.Second
		after    = 4 * time.Second
		sending  = 7 * time.Second
		steps    = 70
		slack    = 500 * time.Millisecond // From the timeout to the final answer, by the rule.
		deadline = 20 * time.Second
	)
	s := newSite(folder, 3, 4, 3, "")
	defer s.end()
	setTimeout := func(timeout time.Duration) {
		s.configure(func(c map[string]any) {
			for _, r := range c["routes"].([]map[string]any) {
				if r["name"] == "r-book" {
					r["timeout_ms"] = timeout.Milliseconds()
				}
			}
		})
		s.rec.add("the operator sets timeout_ms of r-book to %d; acknowledged", timeout.Milliseconds())
	}
	timeout := before
	setTimeout(before)
	if trouble() {
		timeout = after
		setTimeout(after)
	}
	time.Sleep(4 * time.Second) // Twice the bound of configuration.
	var mu sync.Mutex
	late, unanswered := 0, 0
	var wg sync.WaitGroup
	for n := range clients {
		v := s.vms[n%3]
		c, err := dial(v.front())
		check(err)
		if o := c.send(request{id: newID(), method: "GET", path: fmt.Sprintf("/read/%d", n), deadline: 4 * time.Second}); !o.whole || o.status != 200 {
			check(fmt.Errorf("the first request on a connection got status %d", o.status))
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			q := request{id: newID(), method: "POST", path: fmt.Sprintf("/book/%d", n), deadline: deadline, body: strings.Repeat("b", 200_000)}
			_ = c.conn.SetDeadline(time.Now().Add(deadline))
			begun := time.Now()
			s.rec.add("client %d begins to send %s %s to %s", n, q.id, q.path, v.name)
			answered := make(chan outcome, 1)
			go func() { answered <- c.receive(q) }()
			text := q.text()
			for i := range steps {
				time.Sleep(time.Until(begun.Add(time.Duration(i) * sending / steps)))
				if _, err := io.WriteString(c.conn, text[i*len(text)/steps:(i+1)*len(text)/steps]); err != nil {
					s.rec.add("client %d cannot send the rest of %s after %.2f s: %v", n, q.id, time.Since(begun).Seconds(), err)
					break
				}
			}
			s.rec.add("client %d has sent %s", n, q.id)
			o := <-answered
			took := time.Since(begun)
			s.rec.add("client %d gets for %s: status %d, whole %v, connection closed without an answer %v, %.2f s after the first byte", n, q.id, o.status, o.whole, o.closed, took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if took > timeout+slack {
				late++
			}
			if !o.whole {
				unanswered++
			}
		}()
	}
	wg.Wait()
	text := fmt.Sprintf("%d requests of 7 s, timeout of the route %.0f s: %d without a final answer half a second after it, %d never answered", clients, timeout.Seconds(), late, unanswered)
	s.rec.add("%s", text)
	fmt.Println(text)
	return late >= 8 && 4*late > clients && unanswered > 0
}
