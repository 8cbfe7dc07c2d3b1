package e2e_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// TestCrashingChatStops guards against a chat request that takes down one engine
// after another, through retries and its caller's repeats at other entry VMs.
func TestCrashingChatStops(t *testing.T) {
	const engines, mayCrash = 5, 2
	s := startSiteWith(t, 2, engines)
	for _, engine := range s.engines {
		putJSON(t, "http://"+engine+"/standin/faults", standin.EngineFaults{CrashOn: "Knock over."})
	}
	crashing := strings.Replace(chatBody, "Plan the raise.", "Knock over.", 1)
	refusals := 0
	await(t, "refusals at both entry VMs", func() bool {
		got := s.chat(t, refusals%len(s.entries), s.key, crashing)
		must.NotEq(t, http.StatusOK, got.status)
		if got.status == http.StatusUnprocessableEntity {
			must.StrContains(t, got.body, `"code":"crashes-upstreams"`)
			refusals++
		}
		return refusals == 2*len(s.entries)
	})
	alive := 0
	for _, engine := range s.engines {
		if answers("http://"+engine+"/load", http.StatusOK)() {
			alive++
		}
	}
	must.GreaterEq(t, engines-mayCrash, alive)
	for entry := range s.entries {
		await(t, "an innocent request", func() bool { return s.chat(t, entry, s.key, chatBody).status == http.StatusOK })
	}
}

// TestRateIsSharedByLoans guards against an account that gets only one VM's part
// of its rate when all its callers reach that VM.
func TestRateIsSharedByLoans(t *testing.T) {
	s := startSite(t, 3)
	// One call costs more than the burst that one of three VMs holds, and less than the whole burst.
	body := strings.Replace(chatBody, `"max_tokens":12`, `"max_tokens":2600000`, 1)
	await(t, "a request that needs the rights of all VMs", func() bool {
		got := s.chatHead(t, 0, body)
		return got == http.StatusOK
	})
}

// TestRollingRestartCutsNoRequest guards against requests that fail while every
// entry VM is replaced by a new one, one after the other.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	s := startSite(t, 2)
	long := strings.Replace(chatBody, `"max_tokens":12`, `"max_tokens":400`, 1)
	for replaced := range 2 {
		got := make(chan answer, 1)
		begun := make(chan struct{}, 1)
		go func() { got <- s.stream(t, replaced, long, begun) }()
		<-begun
		terminate(t, s.daemons[replaced])
		s.startEntry(t, "entry-new-"+string(rune('a'+replaced)))
		whole := <-got
		must.NoError(t, whole.err)
		must.Eq(t, standin.Stream("rigging", standin.Tokens([]byte(long), 400), len(long)), whole.body)
		must.NoError(t, s.daemons[replaced].Wait())
	}
	for entry := 2; entry < len(s.entries); entry++ {
		must.Eq(t, http.StatusOK, s.chatWhenAdmitted(t, entry, chatBody).status)
	}
}
