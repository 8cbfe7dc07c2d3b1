package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// callerWriteTimeout bounds one write to a caller. The connection of a slower
	// caller is closed, because it would hold an upstream request and memory.
	callerWriteTimeout = 10 * time.Second
	// maxEventBytes bounds the buffer for an incomplete event.
	maxEventBytes = 1 << 20
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// callerError reports that writing to the caller failed.
type callerError struct {
	Cause error
}

func (e *callerError) Error() string {
	return "gateway: write to caller: " + e.Cause.Error()
}

func (e *callerError) Unwrap() error {
	return e.Cause
}

// streamRelay writes the server-sent events of one response to the caller. The
// events may come from several upstreams, one after the other. Only complete
// events are written, so that a broken stream can be resumed after the last one.
type streamRelay struct {
	server        *Server
	writer        http.ResponseWriter
	controller    *http.ResponseController
	scanner       eventScanner
	started       bool      // Writing to the caller has begun: the header may have been sent.
	firstEventAt  time.Time // Time of the first write; zero before it.
	lastEventAt   time.Time // Time of the latest write.
	writeDeadline time.Time // Current write deadline of the caller's connection.
}

// sentEvents returns the number of data events that the caller has.
func (r *streamRelay) sentEvents() int64 {
	return int64(r.scanner.Events)
}

// copy relays the stream of an attempt to its end. It returns a
// *callerError if writing to the caller fails, and another error if the stream
// breaks or ends without its end marker.
func (r *streamRelay) copy(a *attempt) error {
	buffer, size, err := *a.buffer, a.buffered, a.readErr
	for {
		complete := completeEvents(buffer[:size])
		if err != nil && isDoneMarker(buffer[complete:size]) {
			// Some engines omit the blank line after the last event.
			size = complete + copy(buffer[complete:], doneEvent)
			complete = size
		}
		if complete > 0 {
			r.scanner.Scan(buffer[:complete])
			if writeErr := r.write(buffer[:complete]); writeErr != nil {
				return &callerError{Cause: writeErr}
			}
			size = copy(buffer, buffer[complete:size])
		}
		switch {
		case err != nil && r.scanner.Done:
			return nil
		case errors.Is(err, io.EOF):
			return eris.New("the upstream's stream ended without its end marker")
		case err != nil:
			return eris.Wrap(err, "read from upstream")
		}
		if buffer, err = growIfFull(buffer, size); err != nil {
			return err
		}
		var n int
		n, err = a.response.Body.Read(buffer[size:])
		size += n
	}
}

// growIfFull returns buffer if it has free space, else a copy of twice the size.
// It returns an error if size has reached maxEventBytes.
func growIfFull(buffer []byte, size int) ([]byte, error) {
	if size < len(buffer) {
		return buffer, nil
	}
	if size >= maxEventBytes {
		return nil, eris.New("an event of the upstream's stream is larger than 1 MiB")
	}
	larger := make([]byte, 2*len(buffer))
	copy(larger, buffer)
	return larger, nil
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\n\r\n")
)

// completeEvents returns the length of the complete events at the start of data.
func completeEvents(data []byte) int {
	if bytes.HasSuffix(data, eventEnd) {
		return len(data) // The usual case: reads end with an event.
	}
	end := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

func isDoneMarker(line []byte) bool {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	return ok && bytes.Equal(bytes.TrimSpace(data), doneMarker)
}

func (r *streamRelay) write(events []byte) error {
	now := r.server.Clock.Now()
	if !r.started {
		r.started, r.firstEventAt = true, now
		h := r.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		r.writer.WriteHeader(http.StatusOK)
	}
	r.lastEventAt = now
	r.extendDeadline(now)
	if _, err := r.writer.Write(events); err != nil { //nolint:gosec // Relaying the answer is the purpose.
		return eris.Wrap(err, "Write")
	}
	return eris.Wrap(r.controller.Flush(), "Flush")
}

// extendDeadline extends the write deadline of the caller's connection once
// half of it has passed, which saves a system call for most events.
func (r *streamRelay) extendDeadline(now time.Time) {
	if r.writeDeadline.Sub(now) < callerWriteTimeout/2 {
		r.writeDeadline = now.Add(callerWriteTimeout)
		_ = r.controller.SetWriteDeadline(r.writeDeadline) // Not every ResponseWriter supports deadlines.
	}
}

// writeErrorEvent writes an event that states why the stream broke off.
func (r *streamRelay) writeErrorEvent(err error) {
	event := append([]byte("data: "), encodeRefusal(asRefusal(err))...)
	_, _ = r.writer.Write(append(event, eventEnd...))
	_ = r.controller.Flush()
}

// eventScanner counts the events and tokens of a stream.
type eventScanner struct {
	Events int  // Number of data events.
	Done   bool // The end marker was the last data event.

	totalTokens   int64 // Largest total of the usage events; 0 if there was none.
	contentEvents int64 // Data events other than usage events and the end marker.
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	doneEvent  = []byte("data: [DONE]\n\n")
	usageField = []byte(`"usage":{`)
)

// Scan processes complete events.
func (e *eventScanner) Scan(events []byte) {
	for len(events) > 0 {
		end := bytes.IndexByte(events, '\n')
		if end < 0 {
			end = len(events) - 1
		}
		if data, ok := bytes.CutPrefix(events[:end+1], dataPrefix); ok {
			e.scanData(bytes.TrimSpace(data))
		}
		events = events[end+1:]
	}
}

func (e *eventScanner) scanData(data []byte) {
	e.Events++
	e.Done = bytes.Equal(data, doneMarker)
	switch {
	case e.Done:
	case bytes.Contains(data, usageField):
		var event usageBody
		if json.Unmarshal(data, &event) == nil {
			e.totalTokens = max(e.totalTokens, event.Usage.TotalTokens)
		}
	default:
		e.contentEvents++
	}
}

// usedTokens returns the tokens used as the upstream states them, or else one
// for each content event.
func (e *eventScanner) usedTokens() int64 {
	if e.totalTokens > 0 {
		return e.totalTokens
	}
	return e.contentEvents
}
