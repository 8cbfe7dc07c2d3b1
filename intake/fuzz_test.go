package intake_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// memoryConn is a connection whose caller sends bytes in pieces of one size.
type memoryConn struct {
	mutex  sync.Mutex
	rest   []byte
	piece  int
	closed bool
}

func (c *memoryConn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.rest) == 0 || c.closed {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece)], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *memoryConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	return nil
}

func (c *memoryConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *memoryConn) CloseWrite() error                { return nil }
func (c *memoryConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// oneListener accepts one connection.
type oneListener struct {
	conns chan net.Conn
}

func (l *oneListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *oneListener) Close() error   { return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// requests returns the requests that a server sees on a connection, and whether the
// budget refused it.
func requests(t *testing.T, content []byte, piece int, set *metrics.Set) ([]string, bool) {
	t.Helper()
	seen := []string{}
	ended := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		seen = append(seen, fmt.Sprintf("%s %s %q %d %v", r.Method, r.URL.Path, body, len(r.Header), err != nil))
	})}
	var listener net.Listener = &oneListener{conns: make(chan net.Conn, 1)}
	listener.(*oneListener).conns <- &memoryConn{rest: content, piece: piece}
	close(listener.(*oneListener).conns)
	if set != nil {
		limits := intake.Derive(kumquathitch.IntakeLimits{HeadMemory: 256 << 10}, intake.Resources{})
		budget := intake.NewBudget(intake.Settings{Name: "f", Limits: limits, Logger: zap.NewNop(), Metrics: set})
		budget.Configure(server)
		listener = budget.Listen(listener)
	}
	hook := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if hook != nil {
			hook(c, state)
		}
		if state == http.StateClosed {
			close(ended)
		}
	}
	_ = server.Serve(listener)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection has not ended")
	}
	refused := false
	if set != nil {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		refused = strings.Contains(text.String(), "refused_total")
		must.StrContains(t, text.String(), "kumquathitch_caller_connections{listener=\"f\"} 0\n")
		must.StrContains(t, text.String(), "kumquathitch_caller_head_bytes{listener=\"f\"} 0\n")
	}
	return seen, refused
}

// FuzzServerSeesTheSameRequests guards against bytes that the budget counts wrongly:
// a server behind it must see the requests that it would see without it, or a part of
// them if the budget refused the connection, and nothing stays counted.
func FuzzServerSeesTheSameRequests(f *testing.F) {
	post := "POST /a HTTP/1.1\r\nHost: a\r\n"
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + post + "Content-Length: 3\r\n\r\n\n\n\n\r\nGET /b HTTP/1.1\nHost: a\n\n",
		post + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a\r\nx\r\n", 600) + "0\r\n" + strings.Repeat("t:\r\n", 2000),
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000) + "Host: a\r\n\r\n",
		strings.Repeat("\r\n", 40) + post, strings.Repeat("\r", 200), "GET / HTTP/1.1\r\nHost: a\r\r\n\r\n", "GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 70<<10),
		post + "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n" + strings.Repeat("\r\n", 50) + strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 300),
	} {
		f.Add([]byte(seed), uint16(1))
		f.Add([]byte(seed), uint16(5000))
	}
	f.Fuzz(func(t *testing.T, content []byte, piece uint16) {
		size := max(1, int(piece))
		plain, _ := requests(t, content, size, nil)
		held, refused := requests(t, content, size, metrics.NewSet())
		if refused {
			must.LessEq(t, len(plain), len(held))
			plain = plain[:len(held)]
		}
		must.Eq(t, plain, held)
	})
}
