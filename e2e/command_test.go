package e2e_test

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// runCommand runs the operators' command against the cluster and returns its output
// and exit code.
func (c *cluster) runCommand(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	command := exec.Command(filepath.Join(binaryDirectory, "kumquathitch"), arguments...)
	command.Env = append(command.Environ(), "KUMQUATHITCH_PLATFORM="+c.platformAddress)
	var out bytes.Buffer
	command.Stdout = &out
	command.Stderr = &out
	err := command.Run()
	var exit *exec.ExitError
	if err != nil {
		must.True(t, errors.As(err, &exit), must.Sprint(err))
		return out.String(), exit.ExitCode()
	}
	return out.String(), 0
}

var keyPattern = regexp.MustCompile(`kh_([0-9a-f]+)_[A-Za-z0-9_-]+`)

// TestCommandChangesRunningVMs checks that changes by the operators' command reach
// running entry VMs, and that its exit codes tell scripts about invalid arguments.
func TestCommandChangesRunningVMs(t *testing.T) {
	c := startCluster(t, 2)
	out, code := c.runCommand(t, "account", "create", "crew-c", "--rate", "100000", "--model", "rigging")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, `added accounts "crew-c"`)
	out, code = c.runCommand(t, "key", "create", "crew-c")
	must.Eq(t, 0, code, must.Sprint(out))
	key := keyPattern.FindStringSubmatch(out)
	must.Len(t, 2, key)
	for entry := range c.entryAddresses {
		waitFor(t, "an entry VM to accept the new key", func() bool { return c.chat(t, entry, key[0], chatBody).status == http.StatusOK })
	}
	list, _ := c.runCommand(t, "key", "list", "crew-c")
	must.StrNotContains(t, list, key[0])
	_, code = c.runCommand(t, "key", "withdraw", key[1])
	must.Eq(t, 0, code)
	for entry := range c.entryAddresses {
		waitFor(t, "an entry VM to refuse the withdrawn key", func() bool { return c.chat(t, entry, key[0], chatBody).status == http.StatusUnauthorized })
	}
	out, code = c.runCommand(t, "account", "remove", "crew-c")
	must.Eq(t, 0, code, must.Sprint(out))
	out, code = c.runCommand(t, "status", "--vm", c.peerAddresses[0])
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "entry-2")
	out, code = c.runCommand(t, "rate", "set", "crew-x", "10", "10")
	must.Eq(t, 2, code)
	must.StrContains(t, out, `account: invalid value "crew-x"`)
	out, code = c.runCommand(t, "model", "add", "adrift", "--bytes", "-1")
	must.Eq(t, 2, code)
	must.StrContains(t, out, "bytes above 0")
}

// TestEvacuationByCommand guards against an evacuation that does not reach running entry VMs,
// is not shown with what still runs there, or is not taken back.
func TestEvacuationByCommand(t *testing.T) {
	c := startCluster(t, 1)
	waitFor(t, "a chat to be answered", func() bool { return c.chat(t, 0, c.key, chatBody).status == http.StatusOK })
	out, code := c.runCommand(t, "evacuation", "begin", "montreal-1")
	must.Eq(t, 0, code, must.Sprint(out))
	waitFor(t, "the entry VM to refuse chats", func() bool { return c.chat(t, 0, c.key, chatBody).status == http.StatusServiceUnavailable })
	out, code = c.runCommand(t, "status", "--vm", c.peerAddresses[0])
	must.Eq(t, 0, code)
	must.StrContains(t, out, "evacuated montreal-1")
	must.StrContains(t, out, "0 requests still run on 0 upstreams")
	out, _ = c.runCommand(t, "evacuation", "begin", "montreal-1")
	must.StrNotContains(t, out, "changed settings") // The first request keeps its time.
	out, _ = c.runCommand(t, "evacuation", "list")
	must.StrContains(t, out, "montreal-1")
	out, code = c.runCommand(t, "evacuation", "end", "montreal-1")
	must.Eq(t, 0, code, must.Sprint(out))
	waitFor(t, "a chat to be answered again", func() bool { return c.chat(t, 0, c.key, chatBody).status == http.StatusOK })
	out, _ = c.runCommand(t, "evacuation", "list")
	must.StrNotContains(t, out, "montreal-1")
	out, code = c.runCommand(t, "evacuation", "begin", "montreal-9")
	must.Eq(t, 2, code)
	must.StrContains(t, out, `data-centre: invalid value "montreal-9"`)
}

// TestUsageErrorGoesToStandardError checks that scripts can tell a usage error by
// its exit code and do not find it in the standard output.
func TestUsageErrorGoesToStandardError(t *testing.T) {
	command := exec.Command(filepath.Join(binaryDirectory, "kumquathitch"), "no-such-thing")
	var out, errorOutput bytes.Buffer
	command.Stdout, command.Stderr = &out, &errorOutput
	err := command.Run()
	var exit *exec.ExitError
	must.True(t, errors.As(err, &exit))
	must.Eq(t, 2, exit.ExitCode())
	must.Eq(t, "", out.String())
	must.StrContains(t, errorOutput.String(), "no-such-thing")
}

// TestExplainReadsLogs checks that the explain command finds the cause of a refusal in a log file.
func TestExplainReadsLogs(t *testing.T) {
	log := filepath.Join(t.TempDir(), "entry-1.log")
	must.NoError(t, os.WriteFile(log, []byte("time=2026-12-04T10:00:01Z level=info msg=\"call refused\" call=c1 status=404 code=no-route run=not-run\n"), 0o600))
	out, err := exec.Command(filepath.Join(binaryDirectory, "kumquathitch"), "explain", "c1", log).Output()
	must.NoError(t, err)
	must.StrContains(t, string(out), "cause: no-route")
}
