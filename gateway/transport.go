package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Limits of the connections to upstreams.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = 90 * time.Second
	idleConnsPerHost    = 512
	copyBufferBytes     = 32 << 10
	loadReportHeader    = "Engine-Load"
	requestIDHeader     = "Request-Id"   // Sent with each request; engines that echo it let crossed answers be noticed.
	resumeHeader        = "Resume-From"  // Events of the stream that the caller has already.
	resumedHeader       = "Resumed-From" // The same number, from an engine that resumes after them.
	priorityHeader      = "Engine-Priority"
	idempotencyHeader   = "Idempotency-Key"
	maxWholeAnswerBytes = 16 << 20
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      copyBufferBytes,
	}
}

// newOneShotTransport returns a transport for non-idempotent requests. It never
// reuses a connection, because net/http sends a request again when a reused
// connection breaks before the answer.
func newOneShotTransport() *http.Transport {
	t := newTransport()
	t.DisableKeepAlives = true
	return t
}

// upstreamRequest builds a request to an upstream from an allow-list of headers.
func (s *Server) upstreamRequest(ctx context.Context, method, url string, from http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "Server.upstreamRequest")
	}
	request.GetBody = nil // Without it, net/http cannot send the body a second time.
	for _, name := range []string{"Accept", "Content-Type", "Accept-Language"} {
		if value := from.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	s.Tracing.Propagator.Inject(ctx, headerCarrier(request.Header))
	return request, nil
}

// takeReport hands the load report that rides on an answer to the fleet.
func (s *Server) takeReport(upstream string, h http.Header) {
	text := h.Get(loadReportHeader)
	if text == "" || s.Reports == nil {
		return
	}
	var report kumquathitch.LoadReport
	if err := json.Unmarshal([]byte(text), &report); err == nil {
		s.Reports.Report(upstream, report)
	}
}

// errAnswerTooLarge reports an answer that is too large to relay; its upstream works.
var errAnswerTooLarge = eris.New("gateway.readWhole: the answer is larger than 16 MiB")

// readWhole reads an answer of bounded size to its end. An answer that is
// shorter than it declared is an error.
func readWhole(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxWholeAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "gateway.readWhole")
	}
	if len(body) > maxWholeAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return body, nil
}
