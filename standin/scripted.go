package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// ScriptedCall is a call that reached a Scripted server.
type ScriptedCall struct {
	Conn    net.Conn
	Request *http.Request // Its body has been read.
	ID      string        // Request-Id of the call.
	Number  int           // Number of the call on its connection, from 1.
}

// Scripted is a server in trouble: a script writes the bytes of each response, which
// need not be a response at all. It is safe for concurrent use.
type Scripted struct {
	answer func(call *ScriptedCall) (keep bool)
	cancel context.CancelFunc

	mutex sync.Mutex
	calls map[string]int
	conns map[net.Conn]bool
	ended chan struct{} // Closed when no more connections are accepted.
}

// NewScripted returns a server that calls answer for each call, and keeps the
// connection if that returns true.
func NewScripted(answer func(call *ScriptedCall) (keep bool)) *Scripted {
	return &Scripted{answer: answer, calls: map[string]int{}, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
}

// Serve accepts connections in the background until ctx ends or Close is called.
func (s *Scripted) Serve(ctx context.Context, listener net.Listener) {
	ctx, s.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		defer stop()
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(s.ended)
				return
			}
			s.track(conn, true)
			go s.serve(conn)
		}
	}()
}

// Close ends the server and all its connections. Serve must have been called.
func (s *Scripted) Close() {
	s.cancel()
	<-s.ended
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Calls returns how many times the call with a request ID arrived.
func (s *Scripted) Calls(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[id]
}

func (s *Scripted) track(conn net.Conn, open bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if open {
		s.conns[conn] = true
	} else {
		delete(s.conns, conn)
	}
}

func (s *Scripted) serve(conn net.Conn) {
	defer s.track(conn, false)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		s.mutex.Lock()
		s.calls[id]++
		s.mutex.Unlock()
		if !s.answer(&ScriptedCall{Conn: conn, Request: request, ID: id, Number: number}) {
			return
		}
	}
}

// Write writes text to the connection. Errors are ignored: the caller may have closed it.
func (c *ScriptedCall) Write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.Conn, format, arguments...)
}

// WriteAnswer writes a whole response to the call with an ID.
func (c *ScriptedCall) WriteAnswer(id string) {
	text := "answer to " + id
	c.Write("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// WriteHead writes the head of a response to the call with further header lines, each
// of which ends with a line break.
func (c *ScriptedCall) WriteHead(status, lines string) {
	c.Write("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n%s\r\n", status, c.ID, lines)
}

// WriteEndless writes text again and again until the caller closes the connection.
func (c *ScriptedCall) WriteEndless(text string) {
	for {
		if _, err := c.Conn.Write([]byte(text)); err != nil {
			return
		}
	}
}
