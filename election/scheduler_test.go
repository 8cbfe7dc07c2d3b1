package election_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/election"
)

// On a fleet of 195 VMs the schedulers must be strong VMs that answer, other than the
// leader, and each keeps its partition while it is live: its view of the loads is lost with
// it. At 195 VMs, one VM with both roles left some 500 requests a second unanswered.
func TestChooseSchedulers(t *testing.T) {
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
	names := func(members []kumquathitch.Member) (names []string) {
		for _, m := range members {
			names = append(names, m.Name)
		}
		return names
	}
	youngest := []string{"entry-182", "entry-169", "entry-156", "entry-143", "entry-130"} // Of the strong ones.
	must.Eq(t, youngest, names(election.ChooseSchedulers(members, "entry-0", nil, all)))
	present := []string{"10.0.0.13:1", "10.0.0.182:1", "10.0.0.169:1", "10.0.0.26:1", "10.0.0.156:1"}
	must.Eq(t, []string{"entry-13", "entry-182", "entry-169", "entry-26", "entry-156"}, names(election.ChooseSchedulers(members, "entry-0", present, all)))
	must.SliceNotContains(t, names(election.ChooseSchedulers(members, "entry-182", present, all)), "entry-182")

	lost := func(m kumquathitch.Member) bool { return m.Name != "entry-182" }
	must.Eq(t, []string{"entry-13", "entry-143", "entry-169", "entry-26", "entry-156"}, names(election.ChooseSchedulers(members, "entry-0", present, lost)))
	weakOnly := func(m kumquathitch.Member) bool { return m.Capacity < 0.8 }
	must.SliceEmpty(t, election.ChooseSchedulers(members, "entry-0", present, weakOnly))
	must.SliceEmpty(t, election.ChooseSchedulers(members[:9], "entry-0", nil, all))
	must.Eq(t, []string{"entry-78"}, names(election.ChooseSchedulers(members[:79], "entry-0", nil, all)))
	must.Eq(t, []string{"entry-13"}, names(election.ChooseSchedulers(members[:79], "entry-0", []string{"10.0.0.13:1"}, all)))
}
