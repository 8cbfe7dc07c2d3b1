// Package model is the aggregate of models and adapters: their demand, the
// placement of their replicas, and the limits on loads from the weight store.
//
// # Usage
//
//	demand := model.NewDemand()
//	demand.Add("rigging", 700, now)                // For each admitted request.
//	moves := model.Plan(model.PlanInput{...}, now) // On the placement owner of a data centre.
//
// Planning consists of pure functions of plain values. Demand is kept in shards
// by name, each under its own lock.
package model

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	shardCount = 32
	// demandTimeConstant is the time constant of the exponential decay. After a
	// tenfold step, the measured demand is fivefold within 20 s; after a minute
	// without requests it has fallen to 14%.
	demandTimeConstant = 30 * time.Second
	// minReportTTL is the minimum time for which the report of another VM counts.
	// Reports come twice a second, and some are lost.
	minReportTTL = 2 * time.Second
	// minDemandRate is the rate in tokens per second below which an entry is dropped.
	minDemandRate = 1e-3
)

// Demand measures the demand for models and adapters as exponentially decayed
// rates. It is safe for concurrent use.
type Demand struct {
	timeConstant time.Duration // Of the decay.
	requests     atomic.Int64  // Of this VM, since the start.
	tokens       atomic.Int64  // Of those requests.
	shards       [shardCount]demandShard
	remote       [shardCount]remoteShard
}

type demandShard struct {
	mutex sync.Mutex
	rates map[string]rate
}

// rate is an exponentially decayed rate.
type rate struct {
	Value   float64 // Tokens per second at Updated.
	Updated time.Time
}

type remoteShard struct {
	mutex   sync.Mutex
	reports map[string]remoteReport // By VM.
}

type remoteReport struct {
	Rates    map[string]float64 // Tokens per second by model or adapter.
	Deadline time.Time          // The report is ignored afterwards.
}

// NewDemand returns an empty Demand with the default time constant.
func NewDemand() *Demand {
	return NewDemandWithDecay(demandTimeConstant)
}

// NewDemandWithDecay returns an empty Demand whose rates decay with the given time constant.
func NewDemandWithDecay(timeConstant time.Duration) *Demand {
	d := &Demand{timeConstant: timeConstant}
	for i := range shardCount {
		d.shards[i].rates = map[string]rate{}
		d.remote[i].reports = map[string]remoteReport{}
	}
	return d
}

// Add records a request at this VM for a model or adapter. It implements kumquathitch.DemandSink.
func (d *Demand) Add(model string, tokens int64, now time.Time) {
	d.requests.Add(1)
	d.tokens.Add(tokens)
	s := &d.shards[kumquathitch.ShardOf(model, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.rates[model].decayedTo(now, d.timeConstant)
	r.Value += float64(tokens) / d.timeConstant.Seconds()
	s.rates[model] = r
}

// MeanRequestTokens returns the mean number of tokens of this VM's requests, or
// 0 before the first one.
func (d *Demand) MeanRequestTokens() float64 {
	return float64(d.tokens.Load()) / float64(max(1, d.requests.Load()))
}

// Local returns the demand at this VM in tokens per second, by model or adapter.
func (d *Demand) Local(now time.Time) map[string]float64 {
	local := map[string]float64{}
	for i := range d.shards {
		s := &d.shards[i]
		s.mutex.Lock()
		for name, r := range s.rates {
			r = r.decayedTo(now, d.timeConstant)
			if r.Value < minDemandRate {
				delete(s.rates, name)
				continue
			}
			local[name] = r.Value
		}
		s.mutex.Unlock()
	}
	return local
}

// SetRemote replaces the demand reported by another VM. The report counts for
// the time constant of the decay, but at least for minReportTTL.
func (d *Demand) SetRemote(vm string, rates map[string]float64, now time.Time) {
	s := &d.remote[kumquathitch.ShardOf(vm, shardCount)]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports[vm] = remoteReport{Rates: rates, Deadline: now.Add(max(d.timeConstant, minReportTTL))}
}

// Total returns the demand at this VM and at the VMs that reported to it, in
// tokens per second by model or adapter.
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

func (r rate) decayedTo(now time.Time, timeConstant time.Duration) rate {
	if elapsed := now.Sub(r.Updated).Seconds(); elapsed > 0 {
		r.Value *= math.Exp(-elapsed / timeConstant.Seconds())
		r.Updated = now
	}
	return r
}
