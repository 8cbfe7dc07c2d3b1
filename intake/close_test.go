package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"kumquathitch.example/kumquathitch"
)

// TestRefusalBeforeBodyIsDelivered guards against a refusal that is lost because the connection
// is reset while its caller, who asked for the end of the connection, still sends the body.
func TestRefusalBeforeBodyIsDelivered(t *testing.T) {
	address := startServer(t, kumquathitch.IntakeLimits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var callers sync.WaitGroup
	var lost atomic.Int64
	for range 40 {
		callers.Go(func() {
			transport := &http.Transport{DisableKeepAlives: true}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("a", 512<<10)))
			must.NoError(t, err)
			response, err := transport.RoundTrip(request)
			if err != nil {
				lost.Add(1)
				return
			}
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			_ = response.Body.Close()
		})
	}
	callers.Wait()
	must.Eq(t, 0, lost.Load())
}

// TestNextRequestDoesNotCutResponse guards against a response whose end is lost because its
// caller has sent the next request when the server, which stops, closes the connection.
func TestNextRequestDoesNotCutResponse(t *testing.T) {
	const part = 48 << 10 // The kernel takes one at once.
	stopping := make(chan struct{})
	server, address := serve(t, kumquathitch.IntakeLimits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		must.NoError(t, http.NewResponseController(w).Flush())
		<-stopping
		_, err := w.Write(make([]byte, part))
		must.NoError(t, err)
	})
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) })
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(conn, request)
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.False(t, response.Close)
	_, err = io.WriteString(conn, request)
	must.NoError(t, err)
	server.SetKeepAlivesEnabled(false)
	close(stopping)
	<-time.NewTimer(200 * time.Millisecond).C // The caller reads late.
	received, err := io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.Eq(t, part, received)
	_ = response.Body.Close()
}
