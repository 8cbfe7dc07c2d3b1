package daemon

import (
	"context"
	"fmt"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/upstream"
)

// StatusMethod is the method by which the command kumquathitch status queries a VM.
const StatusMethod = "entry.status"

// nearRateFraction is the fraction of its burst below which an account's bucket
// level counts as near the rate limit.
const nearRateFraction = 0.1

// StatusRequest asks a VM for its status.
type StatusRequest struct{}

// Status is one VM's view of the system, for operators.
type Status struct {
	VM                   string             `json:"vm"`
	DataCentre           string             `json:"data-centre"`
	Generation           uint64             `json:"generation"`
	RateShare            float64            `json:"rate-share"` // Fraction of every account's rate that the VM holds, without loans.
	Members              []MemberStatus     `json:"members"`
	UpstreamsNotLive     []UpstreamStatus   `json:"upstreams-not-live"`
	Evacuations          []EvacuationStatus `json:"evacuations"`
	ModelsWithoutReplica []string           `json:"models-without-replica"`
	AccountsNearRate     []string           `json:"accounts-near-rate"`
	Advice               []string           `json:"advice"`
	UpstreamCount        int                `json:"upstreams"`
}

// MemberStatus is another VM as the queried VM sees it.
type MemberStatus struct {
	Name          string    `json:"name"`
	DataCentre    string    `json:"data-centre"`
	Generation    uint64    `json:"generation"`
	LastHeartbeat time.Time `json:"heard"` // By the clock of the queried VM.
}

// UpstreamStatus is an upstream that gets no new work, or only probes.
type UpstreamStatus struct {
	Name  string `json:"name"`
	Phase string `json:"phase"`
}

// EvacuationStatus is a data centre that the operator evacuates.
type EvacuationStatus struct {
	DataCentre string    `json:"data-centre"`
	Since      time.Time `json:"since"`
	Busy       []string  `json:"busy"`    // Upstreams there that still run requests.
	Running    int       `json:"running"` // Requests there, by the newest load reports and this VM's own.
}

// addStatus registers the handler of StatusMethod.
func (d *Daemon) addStatus() {
	peer.Handle(d.PeerServer, StatusMethod, func(context.Context, StatusRequest) (Status, error) {
		return d.Status(d.Clock.Now()), nil
	})
}

// Status returns this VM's view of the system.
func (d *Daemon) Status(now time.Time) Status {
	config := d.Configuration.Load()
	s := Status{
		VM: d.Settings.Name, DataCentre: d.Settings.DataCentre, Generation: config.Generation,
		RateShare: d.RateShares.Buckets.Share(now), UpstreamCount: len(config.Upstreams),
	}
	for _, vm := range d.Members.Live("", now) {
		s.Members = append(s.Members, MemberStatus{Name: vm.Name, DataCentre: vm.DataCentre, Generation: vm.Generation, LastHeartbeat: vm.LastHeartbeat})
	}
	for _, u := range config.Upstreams {
		if state, ok := d.Upstreams.State(u.Name); ok && state.Phase() != upstream.Live {
			s.UpstreamsNotLive = append(s.UpstreamsNotLive, UpstreamStatus{Name: u.Name, Phase: state.Phase().String()})
		}
	}
	s.Evacuations = d.evacuations(&config)
	for _, m := range config.Models {
		if replicas := d.Upstreams.Replicas(upstream.ReplicasKey{Model: m.Name}); replicas == nil || len(replicas.List) == 0 {
			s.ModelsWithoutReplica = append(s.ModelsWithoutReplica, m.Name)
		}
	}
	for _, a := range config.Accounts {
		if d.RateShares.Buckets.Level(a.Name, now) < nearRateFraction*d.RateShares.Buckets.LocalLimit(a.Name, now).Burst {
			s.AccountsNearRate = append(s.AccountsNearRate, a.Name)
		}
	}
	s.addAdvice(config)
	return s
}

// evacuations returns the data centres that the operator evacuates, with what still runs there.
func (d *Daemon) evacuations(config *kumquathitch.Configuration) []EvacuationStatus {
	var list []EvacuationStatus
	for _, dataCentre := range config.DataCentres {
		if dataCentre.EvacuatedSince.IsZero() {
			continue
		}
		found := EvacuationStatus{DataCentre: dataCentre.Name, Since: dataCentre.EvacuatedSince}
		for _, u := range config.Upstreams {
			state, known := d.Upstreams.State(u.Name)
			if !known || u.DataCentre != dataCentre.Name {
				continue
			}
			if running := max(state.Outstanding, state.Report.Running+state.Report.Queued+state.OutstandingChange); running > 0 {
				found.Busy, found.Running = append(found.Busy, u.Name), found.Running+running
			}
		}
		list = append(list, found)
	}
	return list
}

// addAdvice adds a line for each degraded part of the system and what to do about it.
func (s *Status) addAdvice(config kumquathitch.Configuration) {
	add := func(format string, values ...any) { s.Advice = append(s.Advice, fmt.Sprintf(format, values...)) }
	if s.Generation == 0 {
		add("no configuration: check that the platform's key-value service or a peer is reachable, then config apply")
	}
	if s.RateShare == 0 {
		add("no rate slots held, requests are admitted only by loans: check that the key-value service is reachable")
	}
	if s.Generation > 0 && s.RateShare > 0 && len(s.Members) == 0 && len(config.DataCentres) > 1 {
		add("no heartbeat from any other VM: check the network between VMs")
	}
	for _, m := range s.Members {
		if m.Generation < s.Generation {
			add("%s has generation %d: it is starting or cut off", m.Name, m.Generation)
		}
	}
	for _, u := range s.UpstreamsNotLive {
		if u.Phase != upstream.Leaving.String() {
			add("%s is %s: restart it, or remove it with upstream remove", u.Name, u.Phase)
		}
	}
	for _, m := range s.ModelsWithoutReplica {
		add("%s has no replica: look for placement-failed in the logs, and at the weight store", m)
	}
	for _, a := range s.AccountsNearRate {
		add("%s is near its rate: compare its use with rate set", a)
	}
}
