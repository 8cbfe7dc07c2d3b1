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

// operate runs the operators' command against a site and returns its output and exit code.
func (s *site) operate(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, "kumquathitch"), arguments...)
	command.Env = append(command.Environ(), "KUMQUATHITCH_PLATFORM="+s.platform)
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

// TestOperatorsChangeTrafficWhileItRuns guards against changes of the operators'
// command that do not reach running entry VMs, and against exit codes that scripts cannot use.
func TestOperatorsChangeTrafficWhileItRuns(t *testing.T) {
	s := startSite(t, 2)
	out, code := s.operate(t, "account", "create", "crew-c", "--rate", "100000", "--model", "rigging")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, `added accounts "crew-c"`)
	out, code = s.operate(t, "key", "create", "crew-c")
	must.Eq(t, 0, code, must.Sprint(out))
	key := keyPattern.FindStringSubmatch(out)
	must.Len(t, 2, key)
	for entry := range s.entries {
		await(t, "the new key", func() bool { return s.chat(t, entry, key[0], chatBody).status == http.StatusOK })
	}
	list, _ := s.operate(t, "key", "list", "crew-c")
	must.StrNotContains(t, list, key[0])
	_, code = s.operate(t, "key", "withdraw", key[1])
	must.Eq(t, 0, code)
	for entry := range s.entries {
		await(t, "the withdrawal", func() bool { return s.chat(t, entry, key[0], chatBody).status == http.StatusUnauthorized })
	}
	out, code = s.operate(t, "account", "remove", "crew-c")
	must.Eq(t, 0, code, must.Sprint(out))
	out, code = s.operate(t, "status", "--vm", s.peers[0])
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "entry-2")
	out, code = s.operate(t, "rate", "set", "crew-x", "10", "10")
	must.Eq(t, 2, code)
	must.StrContains(t, out, `account: invalid value "crew-x"`)
	out, code = s.operate(t, "model", "add", "adrift", "--bytes", "-1")
	must.Eq(t, 2, code)
	must.StrContains(t, out, "bytes above 0")
}

// TestUsageErrorGoesToStandardError guards against a usage error in the output
// that a script reads, and against an exit code that says nothing.
func TestUsageErrorGoesToStandardError(t *testing.T) {
	command := exec.Command(filepath.Join(binaries, "kumquathitch"), "no-such-thing")
	var out, problems bytes.Buffer
	command.Stdout, command.Stderr = &out, &problems
	err := command.Run()
	var exit *exec.ExitError
	must.True(t, errors.As(err, &exit))
	must.Eq(t, 2, exit.ExitCode())
	must.Eq(t, "", out.String())
	must.StrContains(t, problems.String(), "no-such-thing")
}

// TestExplainReadsLogs guards against a trail that cannot be had from the command line.
func TestExplainReadsLogs(t *testing.T) {
	log := filepath.Join(t.TempDir(), "entry-1.log")
	must.NoError(t, os.WriteFile(log, []byte("time=2026-12-04T10:00:01Z level=info msg=\"call refused\" call=c1 status=404 code=no-route run=not-run\n"), 0o600))
	out, err := exec.Command(filepath.Join(binaries, "kumquathitch"), "explain", "c1", log).Output()
	must.NoError(t, err)
	must.StrContains(t, string(out), "cause: no-route")
}
