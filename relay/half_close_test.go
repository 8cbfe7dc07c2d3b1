package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// TestHalfClosedCallerGetsNoFalseEnd guards against a response that looks complete although it
// was given up, to a caller that has ended only its sending side and still reads.
func TestHalfClosedCallerGetsNoFalseEnd(t *testing.T) {
	for _, path := range []string{"/stream/plan/1", "/book/1"} {
		t.Run(path, func(t *testing.T) {
			vm := newTestVM(t)
			arrived := make(chan struct{}, 4)
			vm.startScripted("i-1", func(call *standin.ScriptedCall) bool {
				arrived <- struct{}{}
				call.WriteHead("200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n")
				call.Write("id: 1\ndata: event 1\n\n")
				_ = call.Conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
				_, _ = call.Conn.Read(make([]byte, 1)) // Until the VM gives the call up.
				call.Write("id: 2\ndata: event 2\n\n")
				return false
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(vm.address, "http://"))
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nApi-Key: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody", path, apiKey)
			must.NoError(t, err)
			<-arrived
			must.NoError(t, conn.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // The caller sees that it has no response.
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if err == nil && response.StatusCode == http.StatusOK {
				must.Eq(t, 2, strings.Count(string(body), "data:"))
			}
		})
	}
}
