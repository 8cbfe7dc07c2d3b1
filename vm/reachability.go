package vm

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

const (
	// pingInterval is the interval of the rounds of pings to the other data centres.
	pingInterval = 700 * time.Millisecond
	// pingTimeout bounds one ping. A peer answers within milliseconds.
	pingTimeout = 500 * time.Millisecond
	// maxMissedRounds is the number of successive rounds without an answer after which
	// a data centre counts as unreachable. A single ping may go to a VM that has just died.
	maxMissedRounds = 2
)

// ping is the request and the answer of a reachability check between VMs.
type ping struct {
	From string `json:"from"`
}

// reachability records which other data centres this VM can reach.
type reachability struct {
	mutex  sync.Mutex
	missed map[string]int // Successive rounds without an answer, by data centre.
	round  int            // Number of the last round.
}

// isolated reports whether all other data centres are unreachable. Such a VM reports
// itself as not ready, so that the platform sends callers elsewhere: it cannot
// reach most upstreams.
func (r *reachability) isolated() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, missed := range r.missed {
		if missed < maxMissedRounds {
			return false
		}
	}
	return len(r.missed) > 0
}

// record records the results of a round, by data centre. It returns the data centres
// that are unreachable, and whether that set has changed.
func (r *reachability) record(answered map[string]bool) (unreachable map[string]bool, changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.missed
	r.missed = make(map[string]int, len(answered))
	unreachable = map[string]bool{}
	for dataCentre, ok := range answered {
		if !ok {
			r.missed[dataCentre] = before[dataCentre] + 1
		} else {
			r.missed[dataCentre] = 0
		}
		if r.missed[dataCentre] >= maxMissedRounds {
			unreachable[dataCentre] = true
		}
		changed = changed || unreachable[dataCentre] != (before[dataCentre] >= maxMissedRounds)
	}
	return unreachable, changed
}

// nextRound returns the number of the next round, by which each round pings another
// VM of a data centre.
func (r *reachability) nextRound() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.round++
	return r.round
}

// pingDataCentres pings one VM of each other data centre and applies the results.
func (v *VM) pingDataCentres(ctx context.Context) {
	byDataCentre := map[string][]kumquathitch.Member{}
	for _, m := range v.watcher.memberList() {
		if m.DataCentre != v.environment.DataCentre {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	type answer struct {
		dataCentre string
		ok         bool
	}
	answers := make(chan answer, len(byDataCentre))
	round := v.reachability.nextRound()
	for dataCentre, members := range byDataCentre {
		slices.SortFunc(members, func(a, b kumquathitch.Member) int { return strings.Compare(a.Name, b.Name) })
		chosen := members[round%len(members)]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pingTimeout)
			defer cancel()
			err := errStepPanicked
			v.guarded("vm.ping", func() {
				err = v.peers.Call(ctx, chosen.Address, methodPing, ping{From: v.environment.Name}, &ping{})
			})
			answers <- answer{dataCentre: dataCentre, ok: err == nil}
		}()
	}
	answered := map[string]bool{}
	for range byDataCentre {
		a := <-answers
		answered[a.dataCentre] = a.ok
	}
	unreachable, changed := v.reachability.record(answered)
	if !changed {
		return
	}
	v.fleet.SetUnreachableDataCentres(unreachable)
	v.log.Warn("reach of other data centres", zap.Any("cut", slices.Sorted(maps.Keys(unreachable))), zap.Bool("isolated", v.reachability.isolated()))
}

func (v *VM) handlePing(context.Context, ping) (ping, error) {
	return ping{From: v.environment.Name}, nil
}
