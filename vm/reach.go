package vm

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

const (
	// pingInterval is the pause between two rounds of pings to the other data centres.
	pingInterval = 700 * time.Millisecond
	// pingTimeout bounds one ping, which is answered in milliseconds.
	pingTimeout = 500 * time.Millisecond
	// isolatedAfter is how many rounds in a row nobody elsewhere may answer: one
	// round can meet VMs that have just died.
	isolatedAfter = 2
)

// ping asks whether another VM is there.
type ping struct {
	From string `json:"from"`
}

// reach is what this VM knows of its ways to the other data centres.
type reach struct {
	mutex  sync.Mutex
	missed int // Rounds in a row without an answer.
}

// isolated reports whether no other data centre can be reached. Such a VM asks
// the platform to send callers elsewhere: most upstreams are out of its reach.
func (r *reach) isolated() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.missed >= isolatedAfter
}

// note counts a round and reports whether the VM became isolated or is back.
func (r *reach) note(answered bool) (changed, isolated bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.missed >= isolatedAfter
	if answered {
		r.missed = 0
	} else {
		r.missed++
	}
	return before != (r.missed >= isolatedAfter), r.missed >= isolatedAfter
}

// checkReach pings one VM of each other data centre.
func (v *VM) checkReach(ctx context.Context) {
	byDataCentre := map[string][]kumquathitch.Member{}
	for _, m := range v.follower.memberList() {
		if m.DataCentre != v.site.DataCentre {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	if len(byDataCentre) == 0 {
		return
	}
	answers := make(chan bool, len(byDataCentre))
	for _, members := range byDataCentre {
		chosen := members[rand.IntN(len(members))] //nolint:gosec // Nothing depends on secrecy.
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pingTimeout)
			defer cancel()
			answers <- v.peers.Call(ctx, chosen.Address, methodPing, ping{From: v.site.Name}, &ping{}) == nil
		}()
	}
	answered := false
	for range byDataCentre {
		answered = <-answers || answered
	}
	if changed, isolated := v.reach.note(answered); changed {
		v.log.Warn("reach of other data centres", zap.Bool("isolated", isolated))
	}
}

func (v *VM) answerPing(context.Context, ping) (ping, error) {
	return ping{From: v.site.Name}, nil
}
