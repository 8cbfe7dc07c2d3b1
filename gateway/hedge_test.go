package gateway_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHedgeThatIsTurnedAwayKeepsFirstAttempt guards against a request that is taken from a slow
// upstream, which works on it, for another one that turns it away.
func TestHedgeThatIsTurnedAwayKeepsFirstAttempt(t *testing.T) {
	const stream = "data: {}\n\ndata: [DONE]\n\n"
	var arrivals atomic.Int64
	upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if arrivals.Add(1) > 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(300 * time.Millisecond):
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, stream)
	})
	g := newGatewayFixture(t, 50, upstream, upstream)
	defer g.close()
	got := g.chat(context.Background(), chatBody("Plan.", 1))
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, stream, got.body)
	must.Eq(t, 2, arrivals.Load())
}
