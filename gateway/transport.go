package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/intake"
)

// Limits of the connections to upstreams, and headers of their messages.
const (
	dialTimeout       = 500 * time.Millisecond
	idleConnTimeout   = 90 * time.Second
	idleConnsPerHost  = 512
	copyBufferBytes   = 32 << 10
	loadReportHeader  = "Engine-Load"
	requestIDHeader   = "Request-Id"   // Sent with each attempt. If the engine echoes it, a response to another request is detected.
	resumeHeader      = "Resume-From"  // Number of data events that the caller already has.
	resumedHeader     = "Resumed-From" // The same number, from an engine that resumes after them.
	priorityHeader    = "Engine-Priority"
	idempotencyHeader = "Idempotency-Key"
	maxResponseBytes  = 16 << 20
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

// newNoReuseTransport returns a transport for non-idempotent requests. It never
// reuses a connection, because net/http resends a request when a reused
// connection breaks before the response.
func newNoReuseTransport() *http.Transport {
	t := newTransport()
	t.DisableKeepAlives = true
	return t
}

// resendError reports that a request was written, and that the connection on which net/http
// sent it again failed. Cause says nothing about the first connection.
type resendError struct {
	Cause error
}

func (e *resendError) Error() string {
	return "gateway: connection broke after the request, and again: " + e.Cause.Error()
}

// invalidStatusError reports a response whose status cannot be that of a final response.
type invalidStatusError struct {
	Status int
}

func (e *invalidStatusError) Error() string {
	return fmt.Sprintf("gateway: the upstream's response has the invalid status %03d", e.Status)
}

// do sends a request. It returns an *invalidStatusError for a response without a valid status,
// and a *resendError instead of an error that would prove that the request did not run:
// net/http sends a request without a body again when a reused connection breaks, which an
// upstream that crashes causes as well.
func do(client *http.Client, request *http.Request) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && written.Load() && executionAfter(err) == kumquathitch.NotExecuted {
		return nil, &resendError{Cause: err}
	}
	if err == nil && !kumquathitch.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		return nil, &invalidStatusError{Status: response.StatusCode}
	}
	return response, err
}

// upstreamRequest builds a request to an upstream from an allow-list of headers.
func (s *Server) upstreamRequest(ctx context.Context, method, url string, from http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "Server.upstreamRequest")
	}
	request.GetBody = nil // Keeps net/http from sending the body a second time.
	for _, name := range []string{"Accept", "Content-Type", "Accept-Language"} {
		if value := from.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	s.Tracing.Propagator.Inject(ctx, headerCarrier(request.Header))
	return request, nil
}

// pauseEnd returns the time until which the upstream that sent a response wants no requests
// from this VM, or zero.
func pauseEnd(response *http.Response, now time.Time) time.Time {
	if response.StatusCode != http.StatusServiceUnavailable {
		return time.Time{}
	}
	return kumquathitch.PauseEnd(response.Header.Get("Retry-After"), now)
}

// forwardLoadReport passes the load report in the header of a response to Reports.
func (s *Server) forwardLoadReport(upstream string, h http.Header) {
	text := h.Get(loadReportHeader)
	if text == "" || s.Reports == nil {
		return
	}
	var report kumquathitch.LoadReport
	if err := json.Unmarshal([]byte(text), &report); err == nil {
		s.Reports.Report(upstream, report)
	}
}

// errResponseTooLarge reports a response that is too large to relay. It does
// not mean that the upstream has crashed.
var errResponseTooLarge = eris.New("gateway.readFullBody: the response is larger than 16 MiB")

// readFullBody reads a response body of at most maxResponseBytes to its end. A
// body that is shorter than its declared length is an error. The caller releases the
// held body.
func (s *Server) readFullBody(response *http.Response, held *intake.HeldBody) error {
	held.Buffers = s.Buffers
	err := held.ReadAll(response.Body, "response", response.ContentLength, maxResponseBytes)
	var tooLarge *intake.TooLargeError
	if errors.As(err, &tooLarge) {
		held.Release()
		return errResponseTooLarge
	}
	if err != nil {
		held.Release()
		return eris.Wrap(err, "gateway.readFullBody")
	}
	return nil
}

// bodyFailure returns what a body that could not be read says of its upstream: nothing
// if this VM had no memory for it.
func bodyFailure(ctx context.Context, err error) kumquathitch.UpstreamResult {
	var full *intake.BuffersFullError
	if errors.As(err, &full) {
		return kumquathitch.UpstreamResult{}
	}
	return transportFailure(ctx, err)
}
