package upstream

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// WatchersPerUpstream is the number of VMs that poll an upstream, so that
	// polling goes on when one of them fails.
	WatchersPerUpstream = 2
	// PollAfter is the time without a response after which a watcher polls an upstream.
	PollAfter = 2 * time.Second
	// noticeRepeatPeriod is how long load messages repeat a notice. Messages to
	// 2 random VMs every 2 s reach 39 VMs within about 10 s.
	noticeRepeatPeriod = 30 * time.Second
)

func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}

// Watched is an upstream that this VM watches.
type Watched struct {
	Name    string
	Address string
	Kind    string
	PollDue bool // No response has arrived for PollAfter.
}

// Watched returns the upstreams that this VM watches, all in its own data centre,
// sorted by name.
func (f *Fleet) Watched(members kumquathitch.Membership, now time.Time) []Watched {
	self := members.Self()
	var watched []Watched
	f.forEach(func(name string, s *State) {
		if s.Upstream.DataCentre == self.DataCentre {
			watched = append(watched, Watched{
				Name: name, Address: s.Upstream.Address, Kind: s.Upstream.Kind,
				PollDue: now.Sub(s.LastResponse) >= PollAfter,
			})
		}
	})
	// IsWatcher queries the membership, so it runs without the shard locks.
	watched = slices.DeleteFunc(watched, func(w Watched) bool { return !IsWatcher(members, w.Name, now) })
	slices.SortFunc(watched, func(a, b Watched) int { return strings.Compare(a.Name, b.Name) })
	return watched
}

// IsWatcher reports whether this VM is one of the watchers of an upstream in its data centre.
func IsWatcher(members kumquathitch.Membership, name string, now time.Time) bool {
	self := members.Self()
	ranked := members.Ranked("upstream/"+name, self.DataCentre, WatchersPerUpstream, now)
	return slices.ContainsFunc(ranked, func(vm kumquathitch.EntryVM) bool { return vm.Name == self.Name })
}
