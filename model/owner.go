package model

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
	"kumquathitch.example/kumquathitch/clock"
)

// plan computes the moves of this VM's data centre and writes them to its
// placement record. The record must have been read before the plans of the
// servers. Every earlier move is then either in the record or in the plans.
func (c *Controller) plan(ctx context.Context, config kumquathitch.Configuration, record PlacementRecord) error {
	now := c.Clock.Now()
	own := c.Members.Self().DataCentre
	plans, err := c.plansOf(ctx, own)
	if err != nil || plans == nil {
		return err
	}
	homes, _ := Homes(config)
	demand := c.Demand.Total(now)
	addAdapterDemand(demand, config.Adapters)
	input := PlanInput{
		Models: config.Models, Homes: map[string]Home{}, Demand: demand, ReplicaTokensPerSecond: c.ReplicaTokensPerSecond, LastMoved: record.LastMoved,
		Servers: c.servers(config, own, plans),
	}
	for name, home := range homes {
		if home.DataCentre == own {
			input.Homes[name] = home
		}
	}
	if input.ServedElsewhere, err = c.servedElsewhere(ctx, config, homes, own); err != nil {
		return err
	}
	moves := Plan(input, now)
	adapters, serving := topAdapters(demand, config.Adapters), input.serving(record.Serving)
	if len(moves) == 0 && similarRates(adapters, record.AdapterDemand) && maps.Equal(serving, record.Serving) {
		return nil
	}
	return writePlacement(ctx, c.Store, own, record.WithPlan(moves, adapters, serving, c.Timing.ClockError, now))
}

// serving returns, for each model whose home is in the data centre, a server
// that serves it. It keeps the previous server as long as that one serves.
func (p *PlanInput) serving(previous map[string]string) map[string]string {
	serving := map[string]string{}
	for i := range p.Servers {
		name := p.Servers[i].Upstream.Name
		for j := range p.Servers[i].Plan.Allocations {
			alloc := &p.Servers[i].Plan.Allocations[j]
			if _, home := p.Homes[alloc.Name]; !home || !p.Servers[i].Available || !alloc.Serving() {
				continue
			}
			if _, found := serving[alloc.Name]; !found || previous[alloc.Name] == name {
				serving[alloc.Name] = name
			}
		}
	}
	return serving
}

// watchRetryInterval is the pause after a failed watch, and between two checks
// of whether this VM is the placement owner.
const watchRetryInterval = time.Second

// watchedPlans is the placement owner's copy of the plans of its data centre.
type watchedPlans struct {
	mutex   sync.Mutex
	active  bool                        // WatchPlans runs.
	synced  bool                        // The plans are complete.
	version uint64                      // Highest record version seen.
	plans   map[string]accelerator.Plan // By server.
}

// WatchPlans watches the plans of this VM's data centre while it is the
// placement owner, until ctx ends, and then returns nil. Planning thus reads
// only what changed. A watch returns after at most 20 s. The plans lag by less than
// the 40 s between the deadline of a move (moveTTL) and the next move of the
// model (minMoveInterval).
func (c *Controller) WatchPlans(ctx context.Context) error {
	own := c.Members.Self().DataCentre
	c.withWatched(func(w *watchedPlans) { w.active = true })
	defer c.withWatched(func(w *watchedPlans) { w.active = false })
	for ctx.Err() == nil {
		if !c.isOwner(c.Clock.Now()) {
			c.withWatched(func(w *watchedPlans) { w.synced, w.version, w.plans = false, 0, nil })
			clock.Pause(ctx, watchRetryInterval)
			continue
		}
		var since uint64
		c.withWatched(func(w *watchedPlans) { since = w.version })
		records, err := c.Store.Watch(ctx, accelerator.PlanPrefix(own), since)
		if err != nil {
			c.withWatched(func(w *watchedPlans) { w.synced = false })
			clock.Pause(ctx, watchRetryInterval)
			continue
		}
		c.withWatched(func(w *watchedPlans) { w.apply(records, accelerator.PlanPrefix(own)) })
	}
	return nil
}

func (c *Controller) withWatched(change func(*watchedPlans)) {
	c.watched.mutex.Lock()
	defer c.watched.mutex.Unlock()
	change(&c.watched)
}

func (w *watchedPlans) apply(records kumquathitch.Records, prefix string) {
	if w.plans == nil {
		w.plans = map[string]accelerator.Plan{}
	}
	w.synced = true
	for _, r := range records {
		w.version = max(w.version, r.Version)
		if plan, _, err := accelerator.DecodePlan(r); err == nil {
			w.plans[strings.TrimPrefix(r.Key, prefix)] = plan
		}
	}
}

// isOwner reports whether this VM is the placement owner of its data centre.
func (c *Controller) isOwner(now time.Time) bool {
	self := c.Members.Self()
	owners := c.Members.Ranked(OwnerKey(self.DataCentre), self.DataCentre, 1, now)
	return len(owners) == 1 && owners[0].Name == self.Name
}

// plansOf returns the plans of a data centre by server: the watched ones, or
// those in the store when WatchPlans does not run. It returns nil while the
// watched plans are not complete.
func (c *Controller) plansOf(ctx context.Context, dataCentre string) (map[string]accelerator.Plan, error) {
	var active bool
	var plans map[string]accelerator.Plan
	c.withWatched(func(w *watchedPlans) {
		if active = w.active; w.synced {
			plans = maps.Clone(w.plans)
		}
	})
	if active {
		return plans, nil
	}
	return c.readPlans(ctx, dataCentre)
}

// addAdapterDemand adds the demand for each adapter to the demand for its model.
func addAdapterDemand(demand map[string]float64, adapters kumquathitch.Adapters) {
	for _, a := range adapters {
		if rate := demand[a.Name]; rate > 0 {
			demand[a.Model] += rate
		}
	}
}

// servers returns the planner's input for the engines of a data centre.
func (c *Controller) servers(config kumquathitch.Configuration, dataCentre string, plans map[string]accelerator.Plan) []Server {
	var servers []Server
	for _, u := range config.Upstreams {
		if u.Kind == kumquathitch.KindEngine && u.DataCentre == dataCentre {
			servers = append(servers, c.server(config, u, plans[u.Name]))
		}
	}
	return servers
}

func (c *Controller) readPlans(ctx context.Context, dataCentre string) (map[string]accelerator.Plan, error) {
	prefix := accelerator.PlanPrefix(dataCentre)
	records, err := c.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	plans := make(map[string]accelerator.Plan, len(records))
	for _, r := range records {
		plan, _, err := accelerator.DecodePlan(r)
		if err != nil {
			return nil, err
		}
		plans[strings.TrimPrefix(r.Key, prefix)] = plan
	}
	return plans, nil
}

// servedElsewhere returns, for models whose home is in another data centre, a
// server that serves them there, from the placement records of those data
// centres. That server is asked before a replica here is unloaded.
func (c *Controller) servedElsewhere(ctx context.Context, config kumquathitch.Configuration, homes map[string]Home, own string,
) (map[string]string, error) {
	servers := map[string]string{}
	for _, d := range config.DataCentres {
		if d.Name == own {
			continue
		}
		record, err := ReadPlacement(ctx, c.Store, d.Name)
		if err != nil {
			return nil, err
		}
		for name, server := range record.Serving {
			if homes[name].DataCentre == d.Name {
				servers[name] = server
			}
		}
	}
	return servers, nil
}

// OwnerKey returns the rendezvous key that ranks the VMs of a data centre as its
// placement owner, for kumquathitch.Membership.Ranked.
func OwnerKey(dataCentre string) string {
	return "placement/" + dataCentre
}

// topAdapters returns the demand for the most demanded adapters.
func topAdapters(demand map[string]float64, adapters kumquathitch.Adapters) map[string]float64 {
	listed := map[string]float64{}
	for _, a := range adapters {
		if demand[a.Name] > 0 {
			listed[a.Name] = demand[a.Name]
		}
	}
	return TopRates(listed, maxRecordAdapters)
}

// TopRates returns the n largest rates; among equal ones, the first by name.
func TopRates(rates map[string]float64, n int) map[string]float64 {
	if len(rates) <= n {
		return rates
	}
	names := slices.SortedFunc(maps.Keys(rates), func(a, b string) int {
		return cmp.Or(cmp.Compare(rates[b], rates[a]), strings.Compare(a, b))
	})
	largest := make(map[string]float64, n)
	for _, name := range names[:n] {
		largest[name] = rates[name]
	}
	return largest
}

// similarRates reports whether two demands have the same names and no rates
// that differ by more than the gain that a move needs.
func similarRates(a, b map[string]float64) bool {
	if len(a) != len(b) {
		return false
	}
	for name, rate := range a {
		other, ok := b[name]
		if !ok || rate > minGainRatio*other || other > minGainRatio*rate {
			return false
		}
	}
	return true
}
