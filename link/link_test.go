package link_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/link"
)

// TestPendingConnectionsAreAcceptedAfterClose guards against a planned stop under load
// that resets connections which callers have opened, and on which they have sent
// their requests, before the process accepted them.
func TestPendingConnectionsAreAcceptedAfterClose(t *testing.T) {
	listener, err := link.Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	release, running := make(chan struct{}), make(chan struct{}, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			running <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "served")
	})}
	blocked := &stoppableListener{Listener: listener, stopped: make(chan struct{}), resume: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(blocked) }()

	first := send(t, listener.Addr().String(), "/first")
	<-running
	<-blocked.stopped // The process is busy and accepts no more connections for now.
	var pending []net.Conn
	for range 20 {
		pending = append(pending, send(t, listener.Addr().String(), "/pending"))
	}
	must.NoError(t, listener.Close())
	close(blocked.resume)
	for _, conn := range pending {
		must.Eq(t, "served", answer(t, conn))
	}
	close(release)
	must.Eq(t, "served", answer(t, first))
	must.True(t, errors.Is(<-served, net.ErrClosed))
	must.NoError(t, server.Close())
}

// stoppableListener accepts one connection, and the next ones after resume is closed.
type stoppableListener struct {
	net.Listener
	accepted int
	stopped  chan struct{}
	resume   chan struct{}
}

func (l *stoppableListener) Accept() (net.Conn, error) {
	if l.accepted++; l.accepted == 2 {
		close(l.stopped)
		<-l.resume
	}
	return l.Listener.Accept()
}

func send(t *testing.T, address, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	must.NoError(t, err)
	return conn
}

func answer(t *testing.T, conn net.Conn) string {
	t.Helper()
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(body)
}
