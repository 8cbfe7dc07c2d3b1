package intake_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// TestUnreadRequestIsNotReadAtClose guards against a request that crosses the close of its
// connection and is read only to be dropped. Its caller may send it again if it was not read, which
// a reset says. No response is under way that a reset could cut.
func TestUnreadRequestIsNotReadAtClose(t *testing.T) {
	budget := intake.NewBudget(intake.Settings{
		Name: "callers", Limits: intake.Derive(kumquathitch.IntakeLimits{}, intake.Resources{}), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := budget.Listen(inner)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	must.NoError(t, err)
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	<-time.NewTimer(50 * time.Millisecond).C // Until the request has arrived.
	must.NoError(t, conn.Close())
	must.NoError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = caller.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
