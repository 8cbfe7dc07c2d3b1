package election_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/election"
)

// On a fleet of 195 VMs the scheduler must be a strong VM that answers, other than the
// leader, and it must not change while it is live: its view of the loads is lost with
// it. At 195 VMs, one VM with both roles left some 500 requests a second unanswered.
func TestChooseScheduler(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var members []kumquathitch.Member
	for i := range 195 {
		m := kumquathitch.Member{Name: fmt.Sprintf("entry-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Started: start.Add(time.Duration(i)), Capacity: 0.04}
		if i%13 == 0 {
			m.Capacity = 0.8
		}
		members = append(members, m)
	}
	all := func(kumquathitch.Member) bool { return true }
	chosen := election.ChooseScheduler(members, "entry-0", "", all)
	must.Eq(t, "entry-182", chosen.Name) // The youngest of the strong ones.
	must.Eq(t, "entry-13", election.ChooseScheduler(members, "entry-0", "10.0.0.13:1", all).Name)
	must.NotEq(t, "entry-182", election.ChooseScheduler(members, "entry-182", "10.0.0.182:1", all).Name)

	lost := func(m kumquathitch.Member) bool { return m.Name != "entry-182" }
	must.Eq(t, "entry-169", election.ChooseScheduler(members, "entry-0", "10.0.0.182:1", lost).Name)
	weakOnly := func(m kumquathitch.Member) bool { return m.Capacity < 0.8 }
	must.Eq(t, "", election.ChooseScheduler(members, "entry-0", "10.0.0.182:1", weakOnly).Name)
	must.Eq(t, "", election.ChooseScheduler(members[:9], "entry-0", "", all).Name)
}
