// Package model is the aggregate of models and adapters: the demand for each,
// where replicas of them should be, and how fast engines may load them.
//
// # Usage
//
//	demand := model.NewDemand()
//	demand.Add("rigging", 700, now)            // For each admitted request.
//	placement := model.Plan(model.Site{...}, now) // By the placement owner of a data centre.
//
// Decisions are pure functions of plain values. The demand is held in shards
// by name, each under its own lock.
package model

import (
	"math"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 32
	// demandDecay is the time constant of the decay, seconds. A tenfold step
	// shows as a fivefold one within 20 s, and a lull of a minute halves nothing twice over.
	demandDecay = 30.0
	// demandFloor is the rate, tokens per second, below which an entry is dropped.
	demandFloor = 1e-3
	// remoteTerm is how long the demand that another VM reported counts.
	remoteTerm = 30 * time.Second
)

// Demand is the decayed demand for models and adapters. It is safe for concurrent use.
type Demand struct {
	shards [shardCount]demandShard
	remote [shardCount]remoteShard
}

type demandShard struct {
	mutex sync.Mutex
	rates map[string]rate
}

// rate is a decayed number of tokens per second.
type rate struct {
	Value   float64
	Updated time.Time
}

type remoteShard struct {
	mutex   sync.Mutex
	reports map[string]remoteReport // By VM.
}

type remoteReport struct {
	Rates    map[string]float64
	Deadline time.Time
}

// NewDemand returns a demand of zero.
func NewDemand() *Demand {
	d := &Demand{}
	for i := range shardCount {
		d.shards[i].rates = map[string]rate{}
		d.remote[i].reports = map[string]remoteReport{}
	}
	return d
}

// Add records a request of this VM for a model or adapter. It implements kumquathitch.DemandSink.
func (d *Demand) Add(model string, tokens int64, now time.Time) {
	s := &d.shards[kumquathitch.ShardOf(model, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.rates[model].at(now)
	r.Value += float64(tokens) / demandDecay
	s.rates[model] = r
}

// Local returns the demand at this VM, tokens per second by name.
func (d *Demand) Local(now time.Time) map[string]float64 {
	local := map[string]float64{}
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for name, r := range s.rates {
			r = r.at(now)
			if r.Value < demandFloor {
				delete(s.rates, name)
				continue
			}
			local[name] = r.Value
		}
		s.mutex.Unlock()
	}
	return local
}

// Report takes in the demand at another VM, which counts for half a minute.
func (d *Demand) Report(vm string, rates map[string]float64, now time.Time) {
	s := &d.remote[kumquathitch.ShardOf(vm, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports[vm] = remoteReport{Rates: rates, Deadline: now.Add(remoteTerm)}
}

// Total returns the demand at this VM and those that reported to it.
func (d *Demand) Total(now time.Time) map[string]float64 {
	total := d.Local(now)
	for i := range d.remote {
		s := &d.remote[i]
		s.mutex.Lock()
		for vm, r := range s.reports {
			if now.After(r.Deadline) {
				delete(s.reports, vm)
				continue
			}
			for name, value := range r.Rates {
				total[name] += value
			}
		}
		s.mutex.Unlock()
	}
	return total
}

func (r rate) at(now time.Time) rate {
	if elapsed := now.Sub(r.Updated).Seconds(); elapsed > 0 {
		r.Value *= math.Exp(-elapsed / demandDecay)
		r.Updated = now
	}
	return r
}
