package trail_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/trail"
)

const firstLog = `   0.10 entry-1 time=2026-12-04T10:00:00.1Z level=info msg="instance described" instance=i-1 service=llm
   0.20 entry-1 time=2026-12-04T10:00:00.2Z level=info msg="instance described" instance=i-9 service=llm
   1.00 entry-1 time=2026-12-04T10:00:01Z level=info msg="send ended" call=c1 version=3 service=llm model=m route=plan account=crew outcome=broken instance=i-1 address=10.0.0.1:80 described-at=7 expected=0.05 took=0.2 done=false cause="unexpected EOF"
   1.00 entry-1 time=2026-12-04T10:00:01.0Z level=info msg="send ended" call=c12 outcome=broken instance=i-9
not a line of pairs
   1.30 entry-1 time=2026-12-04T10:00:01.3Z level=info msg="call refused" call=c1 version=3 status=502 code=upstream-failed run=unknown reason="the call may have run: unexpected EOF" after=0.3
`

const secondLog = `time=2026-12-04T10:00:00.9Z level=info msg=order instance=i-1 unload=true model=m outcome=accepted
time=2026-12-04T10:00:00.9Z level=info msg="store call failed" error="turned away"
time=2026-12-04T09:59:00Z level=info msg="instance gone" instance=i-1
`

// TestPrintShowsOneCall checks that the lines of other calls are left out, and that the
// lines of another VM about the instance that the call was sent to are included.
func TestPrintShowsOneCall(t *testing.T) {
	found := trail.New("c1")
	must.NoError(t, found.ReadLog("entry-2.log", strings.NewReader(secondLog)))
	must.NoError(t, found.ReadLog("entry-1.log", strings.NewReader(firstLog)))
	var out strings.Builder
	must.NoError(t, found.Print(&out))
	text := out.String()
	must.StrContains(t, text, "entry-1: sent to instance i-1 at 10.0.0.1:80, as described at revision 7: broken after 0.2 s")
	must.StrContains(t, text, "entry-2.log: order instance=i-1 unload=true")
	must.StrContains(t, text, "cause: upstream-failed: an instance broke off")
	must.StrContains(t, text, "route plan, account crew")
	must.StrNotContains(t, text, "i-9")
	must.StrNotContains(t, text, "store call failed")                                            // On a VM that did not handle the call.
	must.StrNotContains(t, text, "instance gone")                                                // A minute earlier.
	must.Less(t, strings.Index(text, "refused with 502"), strings.Index(text, "order instance")) // Sorted by time.
}

// TestPrintReportsUnknownCall guards against empty output for a call that is in no log.
func TestPrintReportsUnknownCall(t *testing.T) {
	found := trail.New("c7")
	must.NoError(t, found.ReadLog("entry-1.log", strings.NewReader(firstLog)))
	var out strings.Builder
	must.NoError(t, found.Print(&out))
	must.Eq(t, "no log line contains call c7\n", out.String())
}

// TestPrintExplainsBlockedPrompt guards against a refusal without a cause when a part of the
// prompt crashes engines.
func TestPrintExplainsBlockedPrompt(t *testing.T) {
	log := `   0.90 entry-1 time=2026-12-04T10:00:00.9Z level=warn msg="prompt part blocked" part=5c1e07a2 crashes=3 for=420
   1.30 entry-1 time=2026-12-04T10:00:01.3Z level=info msg="call refused" call=c1 version=3 status=503 code=prompt-crashes-instances run=not-run reason="calls with a part of this prompt have crashed several instances" after=0
`
	found := trail.New("c1")
	must.NoError(t, found.ReadLog("entry-1.log", strings.NewReader(log)))
	var out strings.Builder
	must.NoError(t, found.Print(&out))
	must.StrContains(t, out.String(), "cause: prompt-crashes-instances: calls with a part")
	must.StrContains(t, out.String(), "prompt part blocked part=5c1e07a2")
}
