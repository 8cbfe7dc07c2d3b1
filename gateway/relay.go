package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// slowCallerTimeout bounds one write to a caller. A caller that takes longer
// loses its connection, so that it holds no upstream and no memory.
const slowCallerTimeout = 10 * time.Second

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// relayStream copies server-sent events to the caller as they arrive. A stream
// that ends without its last event is aborted, so that it never looks whole.
func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, x *exchange, response *http.Response) (kumquathitch.Result, error) {
	pooled, _ := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	r := &streamRelay{server: s, writer: w, controller: http.NewResponseController(w), response: response}
	err := r.copyEvents(*pooled)
	result := kumquathitch.Result{Tokens: r.scanner.tokens(), First: r.first}
	s.Metrics.GetOrCreateCounter("kumquathitch_events_relayed_total").Add(r.scanner.Events)
	if err == nil {
		return result, nil
	}
	result.Failed = true
	var caller *callerError
	if !errors.As(err, &caller) {
		broken := failure(ctx, err)
		result.Crashed = broken.Crashed
	}
	if r.first.IsZero() {
		return result, err
	}
	r.writeErrorEvent(withCause(ctx, err))
	_ = x
	return result, &abortedError{Cause: err}
}

// callerError reports that the caller did not take the answer.
type callerError struct {
	Cause error
}

func (e *callerError) Error() string {
	return "gateway: write to caller: " + e.Cause.Error()
}

func (e *callerError) Unwrap() error {
	return e.Cause
}

// streamRelay is the state of one relayed stream.
type streamRelay struct {
	server     *Server
	writer     http.ResponseWriter
	controller *http.ResponseController
	response   *http.Response
	scanner    eventScanner
	first      time.Time // When the first byte was written to the caller; zero before.
	extended   time.Time // Write deadline in force at the caller's connection.
}

func (r *streamRelay) copyEvents(buffer []byte) error {
	for {
		n, err := r.response.Body.Read(buffer)
		if n > 0 {
			r.scanner.Scan(buffer[:n])
			if writeErr := r.write(buffer[:n]); writeErr != nil {
				return &callerError{Cause: writeErr}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && r.scanner.Done:
			return nil
		case errors.Is(err, io.EOF):
			return eris.New("the upstream's stream ended without its last event")
		case err != nil:
			return eris.Wrap(err, "read from upstream")
		}
	}
}

func (r *streamRelay) write(part []byte) error {
	now := r.server.Clock.Now()
	if r.first.IsZero() {
		r.first = now
		h := r.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		r.writer.WriteHeader(r.response.StatusCode)
	}
	// Moving the deadline only when half of it has passed saves a system call for most events.
	if r.extended.Sub(now) < slowCallerTimeout/2 {
		r.extended = now.Add(slowCallerTimeout)
		_ = r.controller.SetWriteDeadline(r.extended) // Not every ResponseWriter has deadlines.
	}
	if _, err := r.writer.Write(part); err != nil {
		return eris.Wrap(err, "Write")
	}
	return eris.Wrap(r.controller.Flush(), "Flush")
}

// writeErrorEvent tells the caller why the stream broke off.
func (r *streamRelay) writeErrorEvent(err error) {
	event := append([]byte("\n\ndata: "), encodeRefusal(asRefusal(err))...)
	_, _ = r.writer.Write(append(event, '\n', '\n'))
	_ = r.controller.Flush()
}

// eventScanner follows server-sent events across reads. It keeps the last
// complete data lines only as far as usage and the end marker need them.
type eventScanner struct {
	Events int  // Data events seen.
	Done   bool // The end marker was seen and nothing followed it.

	line    []byte // Start of a line that a read cut.
	total   int64  // Tokens of the usage event, 0 when there was none.
	content int64  // Data events before the end marker.
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	usageField = []byte(`"usage":{`)
)

// maxKeptLine bounds the part of a cut line that is kept; a longer line is neither usage nor the end marker.
const maxKeptLine = 64 << 10

// Scan takes in the next bytes of the stream.
func (e *eventScanner) Scan(part []byte) {
	for len(part) > 0 {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			if len(e.line)+len(part) <= maxKeptLine {
				e.line = append(e.line, part...)
			}
			return
		}
		if len(e.line) > 0 {
			e.scanLine(append(e.line, part[:end]...))
			e.line = e.line[:0]
		} else {
			e.scanLine(part[:end])
		}
		part = part[end+1:]
	}
}

func (e *eventScanner) scanLine(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	e.Events++
	data = bytes.TrimSpace(data)
	e.Done = bytes.Equal(data, doneMarker)
	if e.Done {
		return
	}
	e.content++
	if bytes.Contains(data, usageField) {
		var event usageBody
		if json.Unmarshal(data, &event) == nil {
			e.total = max(e.total, event.Usage.TotalTokens)
		}
	}
}

// tokens returns the tokens used: the upstream's own count, or else one for each event.
func (e *eventScanner) tokens() int64 {
	if e.total > 0 {
		return e.total
	}
	return e.content
}
