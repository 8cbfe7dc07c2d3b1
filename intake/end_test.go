package intake_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// TestEndSaysWhoEndedConnection guards against a log that cannot tell a caller who left from a
// connection that this process has closed under a request.
func TestEndSaysWhoEndedConnection(t *testing.T) {
	for _, c := range []struct {
		want   intake.EndCause
		logged int
		end    func(caller *net.TCPConn, server *http.Server)
	}{
		{intake.EndCallerClosed, 0, func(caller *net.TCPConn, _ *http.Server) { _ = caller.Close() }},
		{intake.EndCallerReset, 0, func(caller *net.TCPConn, _ *http.Server) { _ = caller.SetLinger(0); _ = caller.Close() }},
		{intake.EndClosedHere, 1, func(_ *net.TCPConn, server *http.Server) { _ = server.Close() }},
	} {
		t.Run(string(c.want), func(t *testing.T) {
			core, logs := observer.New(zap.WarnLevel)
			serving, ended := make(chan struct{}), make(chan intake.ConnectionEnd, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(serving)
				<-r.Context().Done()
				state, ok := intake.End(r.Context())
				must.True(t, ok)
				ended <- state
			})}
			budget := intake.NewBudget(intake.Settings{
				Name: "callers", Limits: intake.Derive(kumquathitch.IntakeLimits{}, intake.Resources{}), Logger: zap.New(core), Metrics: metrics.NewSet(),
			})
			budget.Configure(server)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			end := make(chan error, 1)
			go func() { end <- server.Serve(budget.Listen(inner)) }()
			conn, err := net.Dial("tcp", inner.Addr().String())
			must.NoError(t, err)
			_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			must.NoError(t, err)
			<-serving
			must.Eq(t, 1, budget.Count().Serving)
			c.end(conn.(*net.TCPConn), server)
			state := <-ended
			must.Eq(t, c.want, state.Cause)
			must.Eq(t, 1, state.Requests)
			must.Eq(t, c.logged, logs.FilterMessage("connection closed with a response under way").Len())
			_ = server.Close()
			must.ErrorIs(t, <-end, http.ErrServerClosed)
			_ = conn.Close()
		})
	}
}
