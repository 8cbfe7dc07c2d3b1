package intake_test

import (
	"bufio"
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

// startServer starts a server with a budget and returns its address.
func startServer(t *testing.T, limits kumquathitch.IntakeLimits, handler http.HandlerFunc) string {
	t.Helper()
	_, address := serve(t, limits, handler)
	return address
}

// serve starts a server with a budget and returns it with its address.
func serve(t *testing.T, limits kumquathitch.IntakeLimits, handler http.HandlerFunc) (*http.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	budget := intake.NewBudget(intake.Settings{
		Name: "callers", Limits: intake.Derive(limits, intake.Resources{}), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
		Allowed: func() kumquathitch.CallerLimits { return kumquathitch.CallerLimits{IdleTimeout: 50 * time.Millisecond} },
	})
	server := &http.Server{Handler: handler}
	budget.Configure(server)
	admitted := budget.Listen(listener)
	go func() { _ = server.Serve(admitted) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(content))
}

func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	return conn
}

// status returns the status of the response on a connection, or 0 if there is none.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestRefusalsHaveAStatus guards against callers that lose their connection without
// knowing why, and against limits that meet an ordinary request.
func TestRefusalsHaveAStatus(t *testing.T) {
	address := startServer(t, kumquathitch.IntakeLimits{HeadMemory: 400 << 10}, echo)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"ordinary":             {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		"body of empty lines":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000), 200},
		"largest head allowed": {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 60<<10) + "\r\n\r\n", 200},
		"head too large":       {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 80<<10), 431},
		"head too costly":      {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 8<<10), 503},
		"empty lines":          {strings.Repeat("\r", 2000), 400},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.status, status(send(t, address, c.text))) })
	}
	hasty := startServer(t, kumquathitch.IntakeLimits{HeadTimeout: 50 * time.Millisecond}, echo)
	must.Eq(t, 408, status(send(t, hasty, "GET / HTTP/1.1\r\nHost: a\r\n")))
}

// TestServedRequestKeepsItsConnection guards against a crowd that takes the connection
// of a request that is being served, and against a new caller that finds no space
// although others hold connections and give nothing.
func TestServedRequestKeepsItsConnection(t *testing.T) {
	running, release := make(chan struct{}, 4), make(chan struct{})
	address := startServer(t, kumquathitch.IntakeLimits{Connections: 4}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	const long = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"
	served := []net.Conn{send(t, address, long)}
	<-running
	silent := send(t, address, "")
	idle := send(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.Eq(t, 200, status(idle))
	slow := send(t, address, "GET / HTTP/1.1\r\n")
	time.Sleep(200 * time.Millisecond)                     // Longer than each of them may take when others wait.
	for _, loser := range []net.Conn{idle, slow, silent} { // The idle one is so for longer than the operator allows.
		served = append(served, send(t, address, long))
		<-running
		_ = loser.SetReadDeadline(time.Now().Add(5 * time.Second))
		said, err := io.ReadAll(loser)
		must.NoError(t, err) // Its connection is closed, and the other two are not yet.
		if loser != idle {
			must.StrContains(t, string(said), "HTTP/1.1 503") // It may have sent a request meanwhile.
		}
	}
	must.Eq(t, 503, status(send(t, address, ""))) // All four are being served.
	close(release)
	for _, conn := range served {
		must.Eq(t, 200, status(conn))
	}
}

// TestKernelHoldsLittle guards against memory of the machine for bytes behind a request
// that is being served, and for a response that is not read.
func TestKernelHoldsLittle(t *testing.T) {
	const sent, received, bound = 8 << 20, 128 << 10, 512 << 10
	running, release, written := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	address := startServer(t, kumquathitch.IntakeLimits{}, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		total := 0
		for total < sent {
			n, err := w.Write(make([]byte, 4<<10))
			if total += n; err != nil {
				break
			}
		}
		written <- total
	})
	conn := send(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	must.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(16<<10))
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
	n, err := conn.Write(make([]byte, sent))
	must.Error(t, err)
	must.Less(t, received, n)
	close(release)
	must.Less(t, bound, <-written)
}

// TestBuffersReclaimSpace guards against messages that are refused although a stalled
// caller holds the space.
func TestBuffersReclaimSpace(t *testing.T) {
	buffers := intake.NewBuffers(10)
	must.NoError(t, buffers.Extend(0, 8))
	must.Error(t, buffers.Extend(0, 4))
	buffers.Reclaim = func(bytes int64) int64 {
		buffers.Release(8)
		return 8
	}
	must.NoError(t, buffers.Extend(0, 4))
	buffers.Reclaim = nil
	must.Error(t, buffers.Extend(4, 7))
	must.NoError(t, buffers.Extend(0, 10)) // The refused message has returned what it held.
}

// TestDerivedLimits guards against limits that callers within the pages' limits meet on
// the smallest VM, or that leave nothing for upstreams.
func TestDerivedLimits(t *testing.T) {
	limits := intake.Derive(kumquathitch.IntakeLimits{}, intake.Resources{MemoryBytes: 144 << 20, Descriptors: 3075})
	must.Eq(t, 2696, limits.Connections)
	must.Greater(t, 16384, limits.HeadBytes)
	must.Greater(t, 3*time.Second, limits.HeadTimeout)
	must.Greater(t, 15*time.Second, limits.IdleTimeout)
	must.Eq(t, 7, intake.Derive(kumquathitch.IntakeLimits{Connections: 7}, intake.Resources{Descriptors: 3075}).Connections)
}

// TestManyCallersAtOnce guards against states that are counted twice or not at all when
// connections are closed for others while they read, write or end by themselves.
func TestManyCallersAtOnce(t *testing.T) {
	set := metrics.NewSet()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	budget := intake.NewBudget(intake.Settings{
		Name: "callers", Limits: intake.Derive(kumquathitch.IntakeLimits{Connections: 20, HeadMemory: 64 << 10}, intake.Resources{}), Logger: zap.NewNop(), Metrics: set,
	})
	server := &http.Server{Handler: http.HandlerFunc(echo)}
	budget.Configure(server)
	admitted := budget.Listen(listener)
	served := make(chan error, 1)
	go func() { served <- server.Serve(admitted) }()
	texts := []string{
		"", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2000),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("a", 80_000), strings.Repeat("\r\n", 200),
	}
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			for n := range 10 {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, texts[(i+n)%len(texts)]) // The connection may be closed for another one.
				_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, _ = conn.Read(make([]byte, 100))
				_ = conn.Close()
			}
		})
	}
	go func() {
		for range 100 {
			budget.CloseStalled(1)
		}
	}()
	callers.Wait()
	must.NoError(t, server.Close())
	must.ErrorIs(t, <-served, http.ErrServerClosed)
	text := ""
	for range 500 { // Handlers end a moment after their connections.
		var out strings.Builder
		set.WritePrometheus(&out)
		if text = out.String(); strings.Contains(text, `connections{listener="callers"} 0`) && strings.Contains(text, `head_bytes{listener="callers"} 0`) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(text)
}
