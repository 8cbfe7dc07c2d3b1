// Package crowd_test guards against processes that end, hang or leave their memory or
// their descriptors when callers send what no ordinary caller sends. Each test starts
// one process of the system with lowered limits and lets a small crowd hold its
// connections open; an ordinary request must then be answered. The tests check nothing
// that depends on the speed of the machine.
package crowd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crowdPatience is how long a member of the crowd waits for a connection or a write.
const crowdPatience = 8 * time.Second

// exchange sends a request on a connection of its own and returns the status, or why there is none.
func exchange(address, request string) string {
	conn, err := net.DialTimeout("tcp", address, crowdPatience)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(crowdPatience))
	if _, err = io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	return strconv.Itoa(response.StatusCode)
}

// attack lets a crowd write a number of messages each, in rounds, and keeps the
// connections open. It returns the largest number of sockets of the process.
func attack(t *testing.T, p *process, address string, count, rounds int, message func(round int) string) int {
	t.Helper()
	sockets, stop, sampled := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			sockets = max(sockets, p.sockets())
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	conns := make([]net.Conn, count)
	var members sync.WaitGroup
	for round := range rounds {
		text := message(round)
		for i := range conns {
			members.Go(func() {
				if round == 0 {
					if conns[i], _ = net.DialTimeout("tcp", address, crowdPatience); conns[i] != nil {
						_ = conns[i].(*net.TCPConn).SetReadBuffer(4 << 10)
					}
				}
				if conns[i] != nil {
					_ = conns[i].SetWriteDeadline(time.Now().Add(crowdPatience))
					_, _ = io.WriteString(conns[i], text) // The process may close the connection.
				}
			})
		}
		members.Wait()
	}
	close(stop)
	<-sampled
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
	return max(sockets, p.sockets())
}

// check checks the bounds while the crowd still holds its connections, and then that
// an ordinary request is answered.
func check(t *testing.T, p *process, sockets int) {
	t.Helper()
	p.settle()
	sockets = max(sockets, p.sockets())
	p.mustServe(t)
	t.Logf("%s: %d MB of %d, %d sockets of %d", p.name, p.residentMB(t), memoryMB, sockets, p.maxDescriptors-fileDescriptors)
	if resident := p.residentMB(t); resident > memoryMB {
		t.Errorf("%s used %d MB of %d", p.name, resident, memoryMB)
	}
	if sockets > p.maxDescriptors-fileDescriptors {
		t.Errorf("%s held %d sockets of %d", p.name, sockets, p.maxDescriptors-fileDescriptors)
	}
}

// manyDescriptors does not limit the crowds; fewDescriptors does.
const (
	manyDescriptors = 4096
	fewDescriptors  = 600
)

// onBoth runs a test with the listeners for callers of both programs.
func onBoth(t *testing.T, maxDescriptors int, test func(t *testing.T, p *process, address string)) {
	t.Run("entry", func(t *testing.T) { p := startEntry(t, maxDescriptors); test(t, p, p.address) })
	t.Run("daemon", func(t *testing.T) { p := startDaemon(t, maxDescriptors); test(t, p, p.address) })
}

// onAll runs a test with the listener for readiness checks, too.
func onAll(t *testing.T, maxDescriptors int, test func(t *testing.T, p *process, address string)) {
	onBoth(t, maxDescriptors, test)
	t.Run("readiness", func(t *testing.T) { p := startEntry(t, maxDescriptors); test(t, p, p.ready) })
}

// shortFields returns a head without end, of distinct fields as short as possible.
func shortFields(size int) string {
	var b strings.Builder
	b.WriteString("GET /book/1 HTTP/1.1\r\nHost: a.example\r\n")
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// one is a message that is sent in one round.
func one(text string) func(int) string {
	return func(int) string { return text }
}

// TestHeadsThatStop guards against memory for heads that have a permitted size or are
// beyond it, and are never complete.
func TestHeadsThatStop(t *testing.T) {
	for _, c := range []struct{ count, size int }{{1500, 65_000}, {300, 900_000}} {
		t.Run(strconv.Itoa(c.size), func(t *testing.T) {
			onAll(t, manyDescriptors, func(t *testing.T, p *process, address string) {
				check(t, p, attack(t, p, address, c.count, 1, one(shortFields(c.size))))
			})
		})
	}
}

// TestHeadsInsideTheLimits guards against memory for many heads within the users' limit
// that are decoded and wait for a body.
func TestHeadsInsideTheLimits(t *testing.T) {
	onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
		head := strings.Replace(shortFields(16_000), "GET /book/1 HTTP/1.1\r\nHost: a.example\r\n", p.request("", "")[:len(p.request("", ""))-2], 1)
		check(t, p, attack(t, p, address, 600, 1, one(head+"Content-Length: 10\r\n\r\n")))
	})
}

// TestHeadsWithoutEnd guards against memory for heads that go on until the process closes the connection.
func TestHeadsWithoutEnd(t *testing.T) {
	onAll(t, manyDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 200, 1, one(shortFields(2<<20))))
	})
}

// TestLineWithoutEnd guards against memory for a first line, or one field, without end.
func TestLineWithoutEnd(t *testing.T) {
	for name, start := range map[string]string{"first": "GET /", "field": "GET /book/1 HTTP/1.1\r\nHost: a.example\r\nA: "} {
		t.Run(name, func(t *testing.T) {
			onAll(t, manyDescriptors, func(t *testing.T, p *process, address string) {
				check(t, p, attack(t, p, address, 200, 1, one(start+strings.Repeat("a", 2<<20))))
			})
		})
	}
}

// TestEmptyLinesWithoutEnd guards against memory and time for empty lines before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	for name, line := range map[string]string{"crlf": "\r\n", "lf": "\n", "cr": "\r"} {
		t.Run(name, func(t *testing.T) {
			onAll(t, manyDescriptors, func(t *testing.T, p *process, address string) {
				check(t, p, attack(t, p, address, 200, 1, one(strings.Repeat(line, 2<<20/len(line)))))
			})
		})
	}
}

// TestEmptyLinesBetweenRequests guards against the same after a request on the connection.
func TestEmptyLinesBetweenRequests(t *testing.T) {
	onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 200, 1, one(p.ordinary()+strings.Repeat("\r\n", 1<<20))))
	})
}

// TestSlowHeads guards against connections that send a byte now and then, more than the process has descriptors.
func TestSlowHeads(t *testing.T) {
	onAll(t, fewDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 900, 20, func(round int) string {
			return string("POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"[round])
		}))
	})
}

// TestSilentConnections guards against connections that send nothing, more than the process has descriptors.
func TestSilentConnections(t *testing.T) {
	onAll(t, fewDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 900, 1, one("")))
	})
}

// TestIdleConnections guards against connections that stay open after a request, more than the process has descriptors.
func TestIdleConnections(t *testing.T) {
	onBoth(t, fewDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 900, 1, one("GET /nothing HTTP/1.1\r\nHost: a.example\r\n\r\n")))
	})
}

// TestBodiesThatNeverCome guards against callers that state a length, send nothing more,
// and so hold the space of all others.
func TestBodiesThatNeverCome(t *testing.T) {
	for name, sent := range map[string]int{"nothing": 0, "part": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
				check(t, p, attack(t, p, address, 300, 1, one(p.request("Content-Length: 4194304\r\n", strings.Repeat("a", sent)))))
			})
		})
	}
}

// TestSlowBodies guards against bodies that send a byte now and then, more than the process has descriptors.
func TestSlowBodies(t *testing.T) {
	onBoth(t, fewDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 900, 20, func(round int) string {
			if round == 0 {
				return p.request("Content-Length: 4194304\r\n", "")
			}
			return "a"
		}))
	})
}

// TestCallersThatNeverRead guards against memory for responses that their callers do not read.
func TestCallersThatNeverRead(t *testing.T) {
	onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
		must.Eq(t, "200", exchange(address, p.bigRequest))
		check(t, p, attack(t, p, address, 60, 1, one(p.bigRequest)))
	})
}

// TestPipeliningWithoutReading guards against memory for requests that follow each other
// while no response is read.
func TestPipeliningWithoutReading(t *testing.T) {
	onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
		check(t, p, attack(t, p, address, 60, 1, one(strings.Repeat(p.ordinary(), 100))))
	})
	t.Run("big", func(t *testing.T) {
		onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
			check(t, p, attack(t, p, address, 60, 1, one(strings.Repeat(p.bigRequest, 20))))
		})
	})
}

// TestChunksWithoutEnd guards against memory for chunk extensions, trailers and small
// chunks without end.
func TestChunksWithoutEnd(t *testing.T) {
	for name, body := range map[string]string{
		"extension": "1;" + strings.Repeat("a", 2<<20), "extensions": strings.Repeat("1;a=b\r\na\r\n", 200<<10), "size": strings.Repeat("0", 2<<20),
		"trailer": "0\r\n" + strings.Repeat("a:b\r\n", 400<<10), "trailers": "0\r\n" + shortFields(2 << 20)[len("GET /book/1 HTTP/1.1\r\n"):],
	} {
		t.Run(name, func(t *testing.T) {
			onBoth(t, manyDescriptors, func(t *testing.T, p *process, address string) {
				check(t, p, attack(t, p, address, 200, 1, one(p.request("Transfer-Encoding: chunked\r\n", body))))
			})
		})
	}
}
