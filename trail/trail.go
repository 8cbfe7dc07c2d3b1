// Package trail reconstructs the history of one call from the logs of the entry VMs.
//
// # Usage
//
//	found := trail.New("9c41d07be2a35f68")
//	err := found.ReadLog("entry-1.log", file) // Once for the log of each VM.
//	err = found.Print(os.Stdout)              // The timeline and the cause of the result.
//
// Logs are lines of key=value pairs. If there is text before the first key, such as
// a machine name added by a log collector, its last word is the name of the source.
// Besides the lines about the call, a trail contains changes of state around the
// time of the call: those on the VMs that handled it, and those of the instances
// that it was sent to.
package trail

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

const (
	// contextBefore and contextAfter are the times before the first and after the last
	// line about a call from which state events are shown.
	contextBefore = 2 * time.Second
	contextAfter  = 500 * time.Millisecond
	// maxLineBytes is the maximum length of a line of a log.
	maxLineBytes = 1 << 20
	// maxStateEvents limits the state events that are kept until the lines of the call
	// are known. A VM logs about one per second.
	maxStateEvents = 200_000
)

// stateMessages are the messages of lines that report a change of the state on which
// a VM bases its decisions.
var stateMessages = map[string]bool{
	"instance described": true, "instance gone": true, "configuration in force": true, "leading": true, "no longer leading": true,
	"lease not renewed": true, "store call failed": true, "store regained": true, "exchange failed": true, "engine not named": true,
	"reach of other data centres": true, "starting": true, "stopping": true, "order": true,
	"prompt part blocked": true, "instance takes no calls": true,
}

// Event is one line of a log.
type Event struct {
	At      time.Time
	Source  string
	Message string
	Fields  Fields
}

// Field is a key and its value.
type Field struct {
	Key   string
	Value string
}

// Fields are the key=value pairs of a line in their order, without time, level and message.
type Fields []Field

// Get returns the value of a key, or an empty string if there is none.
func (f Fields) Get(key string) string {
	for _, field := range f {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Trail holds the lines of the logs that concern one call.
type Trail struct {
	CallID      string
	Events      []Event // Lines about the call, sorted by time.
	StateEvents []Event // State changes on all VMs, sorted by time.
}

// New returns an empty trail for the call with the given id.
func New(callID string) *Trail {
	return &Trail{CallID: callID}
}

// ReadLog adds the relevant lines of a VM's log. It skips lines that are not key=value
// pairs. source is the name of the VM for lines that do not start with one.
func (t *Trail) ReadLog(source string, log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	callID := []byte(t.CallID)
	for lines.Scan() {
		line := lines.Bytes()
		mentionsCall := bytes.Contains(line, callID)
		if !mentionsCall && len(t.StateEvents) >= maxStateEvents {
			continue
		}
		event, ok := decode(source, line)
		switch {
		case !ok:
		case mentionsCall && event.Fields.Get("call") == t.CallID:
			t.Events = append(t.Events, event)
		case stateMessages[event.Message]:
			t.StateEvents = append(t.StateEvents, event)
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "Trail.ReadLog: "+source)
	}
	byTime := func(a, b Event) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Events, byTime)
	slices.SortStableFunc(t.StateEvents, byTime)
	return nil
}

func decode(source string, line []byte) (Event, bool) {
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		return Event{}, false
	}
	if words := strings.Fields(string(line[:start])); len(words) > 0 {
		source = words[len(words)-1]
	}
	event := Event{Source: source}
	pairs := logfmt.NewDecoder(bytes.NewReader(line[start:]))
	if !pairs.ScanRecord() {
		return Event{}, false
	}
	for pairs.ScanKeyval() {
		value := string(pairs.Value())
		switch key := string(pairs.Key()); key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Event{}, false
			}
			event.At = at
		case "msg":
			event.Message = value
		case "level":
		default:
			event.Fields = append(event.Fields, Field{Key: key, Value: value})
		}
	}
	return event, pairs.Err() == nil
}

// Timeline returns the events of the call and the state events related to it, sorted
// by time. Related are those that name an instance to which the call was sent and,
// of those that name no instance, the ones on VMs that logged lines about the call.
func (t *Trail) Timeline() []Event {
	if len(t.Events) == 0 {
		return nil
	}
	from, to := t.Events[0].At.Add(-contextBefore), t.Events[len(t.Events)-1].At.Add(contextAfter)
	sources, instances := map[string]bool{}, map[string]bool{}
	for _, event := range t.Events {
		sources[event.Source] = true
		if id := event.Fields.Get("instance"); id != "" {
			instances[id] = true
		}
	}
	timeline := slices.Clone(t.Events)
	for _, event := range t.StateEvents {
		if event.At.Before(from) || event.At.After(to) {
			continue
		}
		id := event.Fields.Get("instance")
		if instances[id] || (id == "" && sources[event.Source]) {
			timeline = append(timeline, event)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Event) int { return a.At.Compare(b.At) })
	return timeline
}
