package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/telemetry"
)

type echo struct {
	Text string `json:"text"`
}

func newTracing(t *testing.T) *telemetry.Tracing {
	t.Helper()
	tracing, err := telemetry.NewTracing(t.Context(), "test", "")
	must.NoError(t, err)
	return tracing
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestSilentConnectionIsReplaced checks that a call that gets no answer closes
// its connection. Otherwise a peer could stay unreachable after a partition,
// because the old connection carries no data.
func TestSilentConnectionIsReplaced(t *testing.T) {
	listener := listen(t)
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn // Kept open and never answered.
		}
	}()
	client := peer.NewClient(newTracing(t))
	defer client.Close()
	for n := range 2 {
		// Far longer than the silence that closes a connection, also when connecting takes a while.
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		err := client.Call(ctx, listener.Addr().String(), "test.echo", echo{Text: "a"}, &echo{})
		cancel()
		var failed *kumquathitch.PeerError
		must.True(t, errors.As(err, &failed))
		select { // A closed listener would drop a connection that waits in its queue.
		case conn := <-accepted:
			defer func() { _ = conn.Close() }() // The client has to replace it while it is open.
		case <-time.After(10 * time.Second):
			t.Fatalf("call %d was not sent on a connection of its own", n+1)
		}
	}
	must.NoError(t, listener.Close())
	for range accepted {
		t.Fatal("a call opened a second connection")
	}
}

// TestSlowCallKeepsConnection checks that the timeout of a slow call does not
// abort other calls on the same connection while that connection gives answers.
func TestSlowCallKeepsConnection(t *testing.T) {
	listener := listen(t)
	server := peer.NewServer(newTracing(t))
	release := make(chan struct{})
	peer.Handle(server, "test.slow", func(_ context.Context, e echo) (echo, error) {
		<-release
		return e, nil
	})
	peer.Handle(server, "test.echo", func(_ context.Context, e echo) (echo, error) { return e, nil })
	ctx, stop := context.WithCancel(t.Context())
	serveResult := server.Serve(ctx, listener)
	client := peer.NewClient(newTracing(t))
	address := listener.Addr().String()

	slowResult := make(chan error, 1)
	go func() { slowResult <- client.Call(t.Context(), address, "test.slow", echo{Text: "a"}, &echo{}) }()
	// Long enough for another answer to arrive on a busy machine. Without one, the client would rightly close the connection.
	shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	timedOutResult := make(chan error, 1)
	go func() { timedOutResult <- client.Call(shortCtx, address, "test.slow", echo{Text: "b"}, &echo{}) }()
	for waiting := true; waiting; {
		var got echo
		must.NoError(t, client.Call(t.Context(), address, "test.echo", echo{Text: "c"}, &got))
		must.Eq(t, "c", got.Text)
		select {
		case err := <-timedOutResult:
			must.Error(t, err)
			waiting = false
		default:
		}
	}
	close(release)
	must.NoError(t, <-slowResult)
	client.Close()
	stop()
	must.NoError(t, <-serveResult)
}
