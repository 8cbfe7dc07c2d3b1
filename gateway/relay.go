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
	// slowCallerTimeout bounds one write to a caller. A caller that takes longer
	// loses its connection, so that it holds no upstream and no memory.
	slowCallerTimeout = 10 * time.Second
	// maxEventBytes bounds the part of an event that is held until its end arrives.
	maxEventBytes = 1 << 20
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

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

// streamRelay writes the server-sent events of one answer to the caller, from
// one upstream after another. Only whole events are written, so that a stream
// that breaks can be resumed after the last one.
type streamRelay struct {
	server     *Server
	writer     http.ResponseWriter
	controller *http.ResponseController
	scanner    eventScanner
	written    bool      // The header and at least one event were written.
	first      time.Time // When the first event was written; zero before.
	last       time.Time // When the last event was written.
	extended   time.Time // Write deadline in force at the caller's connection.
}

// sent returns the number of data events that the caller has, but for the end marker.
func (r *streamRelay) sent() int64 {
	return int64(r.scanner.Events)
}

// copy relays the stream of a leg to its end. A stream that ends without its
// end marker is an error. A *callerError means that the caller did not take it.
func (r *streamRelay) copy(l *leg) error {
	buffer, size, err := *l.buffer, l.size, l.ended
	for {
		whole := wholeEvents(buffer[:size])
		if err != nil && isEndMarker(buffer[whole:size]) {
			// The last event of some engines lacks its blank line.
			size = whole + copy(buffer[whole:], endEvent)
			whole = size
		}
		if whole > 0 {
			r.scanner.Scan(buffer[:whole])
			if writeErr := r.write(buffer[:whole]); writeErr != nil {
				return &callerError{Cause: writeErr}
			}
			size = copy(buffer, buffer[whole:size])
		}
		switch {
		case err != nil && r.scanner.Done:
			return nil
		case errors.Is(err, io.EOF):
			return eris.New("the upstream's stream ended without its last event")
		case err != nil:
			return eris.Wrap(err, "read from upstream")
		}
		if buffer, err = withRoom(buffer, size); err != nil {
			return err
		}
		var n int
		n, err = l.response.Body.Read(buffer[size:])
		size += n
	}
}

// withRoom returns a buffer with the same first bytes and room for more.
func withRoom(buffer []byte, size int) ([]byte, error) {
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

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	if bytes.HasSuffix(data, eventEnd) {
		return len(data) // The usual case: events arrive whole.
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

func isEndMarker(line []byte) bool {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	return ok && bytes.Equal(bytes.TrimSpace(data), doneMarker)
}

func (r *streamRelay) write(events []byte) error {
	now := r.server.Clock.Now()
	if !r.written {
		r.written, r.first = true, now
		h := r.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		r.writer.WriteHeader(http.StatusOK)
	}
	r.last = now
	r.extend(now)
	if _, err := r.writer.Write(events); err != nil { //nolint:gosec // Relaying the answer is the purpose.
		return eris.Wrap(err, "Write")
	}
	return eris.Wrap(r.controller.Flush(), "Flush")
}

// extend moves the write deadline. Doing so only when half of it has passed
// saves a system call for most events.
func (r *streamRelay) extend(now time.Time) {
	if r.extended.Sub(now) < slowCallerTimeout/2 {
		r.extended = now.Add(slowCallerTimeout)
		_ = r.controller.SetWriteDeadline(r.extended) // Not every ResponseWriter has deadlines.
	}
}

// writeErrorEvent tells the caller why the stream broke off.
func (r *streamRelay) writeErrorEvent(err error) {
	event := append([]byte("data: "), encodeRefusal(asRefusal(err))...)
	_, _ = r.writer.Write(append(event, eventEnd...))
	_ = r.controller.Flush()
}

// eventScanner reads what the relay needs to know of whole events.
type eventScanner struct {
	Events int  // Data events seen.
	Done   bool // The end marker was seen and no data event followed it.

	total   int64 // Tokens of the usage event, 0 when there was none.
	content int64 // Data events but for usage and the end marker.
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	endEvent   = []byte("data: [DONE]\n\n")
	usageField = []byte(`"usage":{`)
)

// Scan takes in whole events.
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
			e.total = max(e.total, event.Usage.TotalTokens)
		}
	default:
		e.content++
	}
}

// tokens returns the tokens used: the upstream's own count, or else one for each event.
func (e *eventScanner) tokens() int64 {
	if e.total > 0 {
		return e.total
	}
	return e.content
}
