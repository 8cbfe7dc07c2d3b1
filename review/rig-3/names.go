package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	ordinaryClients = 60
	ordinaryTime    = 15 * time.Second // Deadline of their requests.
	// allowedCuts is what the rule LOST allows.
	allowedCuts = 3
	// otherConnections are those of the client that names adapters.
	otherConnections = 300
	// nameBytes keeps the head of a request below max_header_bytes, which is 16,384.
	nameBytes   = 15_800
	namesLength = 60 * time.Second
)

// tally counts what ordinary clients saw.
type tally struct {
	mu                             sync.Mutex
	asked, served, refused, failed int
	cut                            int // Passed on to a server, and the kept connection closed without a whole answer.
}

// ordinary plays one client with a kept connection to a VM until the end of the traffic. Its requests are bookings
// and streams.
func (s *site) ordinary(v *vm, n int, t *tally) {
	defer s.clients.Done()
	var c *connection
	defer func() { c.close() }()
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(40+13*n%170) * time.Millisecond):
		}
		if c == nil || c.conn == nil {
			fresh, err := dial(v.front())
			if err != nil {
				continue
			}
			c = fresh
		}
		q := request{id: newID(), method: "POST", path: "/book/" + fmt.Sprint(i), body: "a booking", deadline: 4 * time.Second}
		if (n+i)%4 != 0 {
			q = request{
				id: newID(), method: "POST", path: "/plan/" + fmt.Sprint(i), body: "a plan", deadline: ordinaryTime,
				header: []string{fmt.Sprintf("Model: m%d", (n+i)%4), "Token-Count: 300,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:200,%08x:100", n*1000+i)},
			}
		}
		s.rec.add("client %d sends %s %s to %s", n, q.id, q.path, v.name)
		sent := time.Now()
		o := c.send(q)
		took := time.Since(sent)
		s.rec.add("client %d gets for %s: status %d, whole %v, connection closed without a whole answer %v, kept %v", n, q.id, o.status, o.whole, o.closed, o.kept)
		cut := o.closed && o.kept && s.rec.runsOf(q.id) > 0 && took < q.deadline-time.Second
		if cut {
			s.rec.add("CUT: %s was passed on to a server by %s, which closed the kept connection after %.2f s of %.0f", q.id, v.name, took.Seconds(), q.deadline.Seconds())
		}
		t.mu.Lock()
		t.asked++
		switch {
		case o.whole && o.status == 200:
			t.served++
		case o.whole && (o.status == 503 || o.status == 429):
			t.refused++
		default:
			t.failed++
		}
		if cut {
			t.cut++
		}
		t.mu.Unlock()
		if o.closed || !o.whole {
			c.close()
			c = nil
		}
	}
}

// namer plays one connection of a client that asks for adapters that are not listed, each time for another one.
func (s *site) namer(v *vm, n int, count func(status int)) {
	defer s.clients.Done()
	var c *connection
	defer func() { c.close() }()
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if c == nil || c.conn == nil {
			fresh, err := dial(v.front())
			if err != nil {
				continue
			}
			c = fresh
		}
		o := c.send(request{
			id: newID(), method: "POST", path: "/plan/x", body: "x", deadline: 8 * time.Second, key: otherKey,
			header: []string{fmt.Sprintf("Model: m%d/%s%d-%d", n%4, strings.Repeat("<", nameBytes), n, i), "Token-Count: 30,30", "Prompt-Prefix: 77:50,78:50"},
		})
		count(o.status)
		if o.closed || !o.whole {
			c.close()
			c = nil
		}
	}
}

// longNames: one client asks for adapters that are not listed, each with another long name. Its heads stay within
// max_header_bytes, its key is valid, and its tokens are within its tenant's quota. The platform sends the
// connections of one client to one VM, which is not the leader here.
func longNames(folder string) bool {
	s := newSite(folder, 3, 4, 3, "")
	defer s.end()
	var t tally
	for n := range ordinaryClients {
		s.clients.Add(1)
		go s.ordinary(s.vms[n%3], n, &t)
	}
	time.Sleep(3 * time.Second)
	target := s.vms[0]
	if s.leader() == target {
		target = s.vms[1]
	}
	answers := map[int]int{}
	var mu sync.Mutex
	if trouble() {
		s.rec.add("the other client begins to call %s", target.name)
		for n := range otherConnections {
			s.clients.Add(1)
			go s.namer(target, n, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			})
		}
	}
	for range int(namesLength / time.Second) {
		time.Sleep(time.Second)
		for _, v := range s.vms {
			v.mu.Lock()
			s.rec.add("%s: peak of %d MB, killed %d times, ended by itself %d times", v.name, v.peakMB, v.kills, v.exits)
			v.mu.Unlock()
		}
	}
	close(s.stop)
	s.clients.Wait()
	for _, v := range s.vms {
		fmt.Printf("%s: peak of %d MB of %d, killed %d times\n", v.name, v.peakMB, memoryMB, v.kills)
	}
	text := fmt.Sprintf("other client's answers by status: %v; ordinary requests: %d asked, %d served, %d refused, %d failed; %d were cut, %d are allowed", answers, t.asked, t.served, t.refused, t.failed, t.cut, allowedCuts)
	s.rec.add("%s", text)
	fmt.Println(text)
	return t.cut > allowedCuts
}
