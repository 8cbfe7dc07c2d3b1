// Package trace reads, writes and generates traces of requests. A trace contains no
// prompt texts and no API keys.
//
// # Usage
//
//	events, err := trace.Read(file)
//	if err != nil {
//		return err // *trace.LineError with the number of the line
//	}
//
// The format is one JSON object per line, sorted by time:
//
//	{"at-ms":12,"kind":"request","account":"crew-a","model":"load-note","data-centre":"montreal-1","prompt-tokens":300,"output-tokens":120,"prefix":7}
//	{"at-ms":60000,"kind":"upstream-lost","upstream":"planner-llm-3"}
//	{"at-ms":90000,"kind":"upstream-back","upstream":"planner-llm-3"}
//	{"at-ms":60000,"kind":"data-centre-cut","data-centre":"quebec-1"}
//	{"at-ms":90000,"kind":"data-centre-healed","data-centre":"quebec-1"}
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Kinds of events.
const (
	KindRequest          = "request"
	KindUpstreamLost     = "upstream-lost"
	KindUpstreamBack     = "upstream-back"
	KindDataCentreCut    = "data-centre-cut"
	KindDataCentreHealed = "data-centre-healed"
)

// Event is a request or a change of availability in a trace.
type Event struct {
	AtMS         int64  `json:"at-ms"` // Milliseconds since the start of the trace.
	Kind         string `json:"kind"`
	Account      string `json:"account,omitempty"`
	Model        string `json:"model,omitempty"`
	DataCentre   string `json:"data-centre,omitempty"` // Where the request enters, or the data centre that is cut off.
	PromptTokens int64  `json:"prompt-tokens,omitempty"`
	OutputTokens int64  `json:"output-tokens,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"` // Identifies the prefix that prompts have in common.
	Upstream     string `json:"upstream,omitempty"`
}

// Events is a trace, sorted by time.
type Events []Event

// LineError reports an invalid line.
type LineError struct {
	Number int // Counted from 1.
	Reason string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("trace.Read: line %d: %s", e.Number, e.Reason)
}

// Read decodes a trace. It returns a *LineError for the first invalid line.
func Read(r io.Reader) (Events, error) {
	var events Events
	scanner := bufio.NewScanner(r)
	previousMS := int64(0)
	for number := 1; scanner.Scan(); number++ {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return nil, &LineError{Number: number, Reason: err.Error()}
		}
		if reason := event.invalidReason(previousMS); reason != "" {
			return nil, &LineError{Number: number, Reason: reason}
		}
		previousMS = event.AtMS
		events = append(events, event)
	}
	return events, eris.Wrap(scanner.Err(), "trace.Read")
}

func (e *Event) invalidReason(previousMS int64) string {
	switch e.Kind {
	case KindRequest:
		if e.Account == "" || e.Model == "" || e.DataCentre == "" || e.PromptTokens <= 0 || e.OutputTokens <= 0 {
			return "a request needs account, model, data-centre, and prompt-tokens and output-tokens above 0"
		}
	case KindUpstreamLost, KindUpstreamBack:
		if e.Upstream == "" {
			return e.Kind + " needs upstream"
		}
	case KindDataCentreCut, KindDataCentreHealed:
		if e.DataCentre == "" {
			return e.Kind + " needs data-centre"
		}
	default:
		return fmt.Sprintf("unknown kind %q", e.Kind)
	}
	if e.AtMS < previousMS {
		return "at-ms is lower than in the line before"
	}
	return ""
}

// Write encodes a trace as one JSON object per line.
func (e Events) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range e {
		if err := encoder.Encode(&e[i]); err != nil {
			return eris.Wrap(err, "Events.Write")
		}
	}
	return eris.Wrap(buffered.Flush(), "Events.Write")
}
