package trail

import (
	"fmt"
	"io"
	"strings"
)

// templates are the descriptions of the lines about a call, by message. A key in
// braces is replaced by its value.
var templates = map[string]string{
	"call answered":                  "answered by instance {instance} after {took} s; {expected} s were expected",
	"send ended":                     "sent to instance {instance} at {address}, as described at revision {described-at}: {outcome} after {took} s; {expected} s were expected",
	"call refused":                   "refused with {status} {code} ({run}) after {after} s: {reason}",
	"answer broken off":              "response aborted after {after} s, {code}: {reason}; connection {connection}, {unacknowledged} bytes not acknowledged",
	"caller left":                    "the caller's connection ended after {sends} sends ({connection})",
	"instance takes no calls":        "instance {instance} takes no new calls from this VM: leaving {leaving}, pause of {pause} s",
	"instance silent":                "instance {instance} sent no data for {silent} s; the send was ended to retry the call on another instance",
	"stream resumed":                 "stream resumed after event {after-event} at instance {instance}",
	"stream slow":                    "stream slow at instance {instance}: first event after {first} s, longest pause {longest-pause} s, {running} requests running and {waiting} waiting there, {to-read} prompt tokens to prefill",
	"resend refused":                 "not sent again: {reason}",
	"answer to another call dropped": "dropped a response to call {answered} on the connection to instance {instance}",
}

// causes explains the codes of refusals.
var causes = map[string]string{
	"rate-exceeded":      "the account's token bucket did not hold enough tokens; the reason states its level on the VM and the age of the leader's response",
	"engines-full":       "the queue of every engine with the model exceeded the latency objective of the call; look for 'order' lines of the model",
	"model-not-resident": "the model or the adapter was not resident on any engine in time",
	"no-instance":        "all instances for the call had failed, had refused it, or were draining",
	"instances-busy":     "every instance that was tried reported that it did not execute the call",
	"upstream-failed":    "an instance broke off after it may have executed the call, and no retry was allowed or possible",
	"deadline":           "the call's deadline or the route's timeout was reached",
	"unknown-key":        "no account in the current configuration has the key",
	"no-route":           "no route in the current configuration matches the host and path",
	"shutting-down":      "the VM was shutting down",
	"crashes-instances":  "instances crashed each time they started to execute this request",
	"no-deployment":      "the VM had no configuration yet",

	"instances-paused":         "all instances for the call had asked this VM for a pause; look for 'instance takes no calls' lines",
	"prompt-crashes-instances": "calls with a part of its prompt had crashed engines; look for 'prompt part blocked' lines on this VM",
}

// Cause returns how the call ended, as far as the logs show.
func (t *Trail) Cause() string {
	for i := len(t.Events) - 1; i >= 0; i-- {
		event := t.Events[i]
		switch event.Message {
		case "call refused", "answer broken off":
			code := event.Fields.Get("code")
			if cause, known := causes[code]; known {
				return code + ": " + cause
			}
			return code + ": " + event.Fields.Get("reason")
		case "caller left":
			return "the caller disconnected before the response was complete"
		case "stream slow", "call answered":
			return "answered; " + describe(event)
		case "send ended":
			if event.Fields.Get("done") == "true" {
				return "answered; " + describe(event)
			}
		}
	}
	return "the logs do not show how the call ended: calls answered by their first send are logged at level debug only, and lines above a limit per second are dropped"
}

// Print writes the timeline and the cause. State events are indented.
func (t *Trail) Print(out io.Writer) error {
	var text strings.Builder
	timeline := t.Timeline()
	if len(timeline) == 0 {
		fmt.Fprintf(&text, "no log line contains call %s\n", t.CallID)
	}
	for _, event := range timeline {
		indent := ""
		if event.Fields.Get("call") != t.CallID {
			indent = "    "
		}
		fmt.Fprintf(&text, "%s  %+8.3f s  %s%s: %s\n", event.At.Format("15:04:05.000"), event.At.Sub(t.Events[0].At).Seconds(), indent, event.Source, describe(event))
	}
	if len(t.Events) > 0 {
		first := t.Events[0].Fields
		fmt.Fprintf(&text, "\ncall %s, route %s, account %s, service %s, model %s, configuration %s\n", t.CallID,
			first.Get("route"), first.Get("account"), first.Get("service"), first.Get("model"), first.Get("version"))
		fmt.Fprintf(&text, "cause: %s\n", t.Cause())
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func describe(event Event) string {
	text, known := templates[event.Message]
	if !known {
		words := []string{event.Message}
		for _, field := range event.Fields {
			if field.Key != "call" {
				words = append(words, field.Key+"="+field.Value)
			}
		}
		return strings.Join(words, " ")
	}
	for _, field := range event.Fields {
		text = strings.ReplaceAll(text, "{"+field.Key+"}", field.Value)
	}
	if cause := event.Fields.Get("cause"); cause != "" {
		text += "; " + cause
	}
	return text
}
