package e2e_test

import (
	"bytes"
	"errors"
	"net/http"
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
