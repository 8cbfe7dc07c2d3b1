package soak_test

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJudgeFindsLostCalls guards against a judge that takes a lost call, or a false end, for one that
// the users' rule does not count.
func TestJudgeFindsLostCalls(t *testing.T) {
	stop := time.Now()
	at := stop.Add
	working := engineRun{began: at(time.Second), ended: at(7 * time.Second), events: 1}
	rejected := engineRun{began: at(2600 * time.Millisecond), ended: at(2601 * time.Millisecond), rejected: true}
	for _, c := range []struct {
		name string
		call rollCall
		runs []engineRun
	}{
		{"empty success without a run", rollCall{sent: at(0), lastByte: at(0), ended: at(100 * time.Millisecond), status: 200}, nil},
		{"false end in the last sixth", rollCall{sent: at(0), lastByte: at(0), ended: at(7 * time.Second), status: 200, body: "id: 1\ndata: event 1\n\n"}, []engineRun{working}},
		{"rejected by the server that it was passed on to", rollCall{sent: at(2600 * time.Millisecond), lastByte: at(2600 * time.Millisecond), ended: at(2650 * time.Millisecond), err: io.EOF}, []engineRun{rejected}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &entryVM{}
			c.call.id, c.call.vm = "call-1", v
			engine := &rollEngine{runs: map[string][]engineRun{c.call.id: c.runs}}
			r := &roll{profile: mixedRoll, seed: 1, engines: []*rollEngine{engine}, stops: map[*entryVM][]time.Time{v: {stop}}}
			must.Eq(t, verdictLost, r.judge(&c.call))
		})
	}
}
