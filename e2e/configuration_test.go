package e2e_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// inForce is the time within which a change must be in force everywhere.
const inForce = 4 * time.Second

// TestWithdrawnKeyEndsStreams guards against a withdrawn key that goes on
// working on any entry VM, and against a cut stream that looks whole.
func TestWithdrawnKeyEndsStreams(t *testing.T) {
	s := startSite(t, 2)
	long := strings.Replace(chatBody, `"max_tokens":12`, `"max_tokens":10000`, 1) // 20 seconds of tokens.
	begun := make(chan struct{}, len(s.entries))
	got := make(chan answer, len(s.entries))
	for entry := range s.entries {
		go func() { got <- s.stream(t, entry, long, begun) }()
	}
	for range s.entries {
		<-begun
	}
	s.config.Accounts[0].Keys[0].Withdrawn = true
	s.applyConfiguration(t)
	limit := time.NewTimer(inForce)
	defer limit.Stop()
	for range s.entries {
		select {
		case cut := <-got:
			must.Error(t, cut.err)
			must.StrContains(t, cut.body, `"code":"key-withdrawn"`)
			must.StrNotContains(t, cut.body, "[DONE]")
		case <-limit.C:
			t.Fatalf("a stream of the withdrawn key goes on after %s", inForce)
		}
	}
	for entry := range s.entries {
		must.Eq(t, http.StatusUnauthorized, s.chat(t, entry, s.key, chatBody).status)
	}
}

// stream reads a stream and says when its first bytes have come. It repeats a
// request until the rate allows it, as chatWhenAdmitted does.
func (s *site) stream(t *testing.T, entry int, body string, begun chan<- struct{}) answer {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.entries[entry]+"/v1/chat/completions",
			strings.NewReader(body))
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+s.key)
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		if response.StatusCode == http.StatusTooManyRequests {
			_ = response.Body.Close()
			continue
		}
		first := make([]byte, 1)
		_, err = io.ReadFull(response.Body, first)
		must.NoError(t, err)
		begun <- struct{}{}
		rest, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return answer{status: response.StatusCode, body: string(first) + string(rest), err: err}
	}
}

// chatWhenAdmitted repeats a request until the rate allows it: a VM that has
// just started has no tokens. A VM that never gets any fails the test.
func (s *site) chatWhenAdmitted(t *testing.T, entry int, body string) answer {
	t.Helper()
	var got answer
	await(t, "tokens of the account's rate", func() bool {
		got = s.chat(t, entry, s.key, body)
		return got.status != http.StatusTooManyRequests
	})
	return got
}

// TestStartWithoutStore guards against a VM that cannot start, or starts with
// nothing in force, while the store is down.
func TestStartWithoutStore(t *testing.T) {
	s := startSite(t, 1)
	// A VM is ready before it holds its first slots, and without slots in the
	// site no VM may admit a request: the store goes down after that.
	must.Eq(t, http.StatusOK, s.chatWhenAdmitted(t, 0, chatBody).status)
	putJSON(t, "http://"+s.platform+"/standin/faults", standin.StoreFaults{Down: true})
	s.startEntry(t, "entry-2")
	must.Eq(t, http.StatusOK, s.chatWhenAdmitted(t, 1, chatBody).status)
}

// TestNotReadyWithoutConfiguration guards against a VM that takes requests
// before it has found a configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	address := freeAddress(t)
	start(t, "kumquathitchd", "--name", "entry-1", "--data-centre", "montreal-1",
		"--listen", address, "--peer-listen", freeAddress(t), "--platform", freeAddress(t))
	await(t, "live", answers("http://"+address+"/-/live", http.StatusNoContent))
	must.Eq(t, http.StatusServiceUnavailable, send(t, http.MethodGet, "http://"+address+"/-/ready", "", "").status)
}
