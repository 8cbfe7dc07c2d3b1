package model

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/accelerator"
)

// plan computes the moves of this VM's data centre and posts them. The board
// must have been read before the plans of the servers are, so that every move
// posted earlier is either on the board or in the plans.
func (c *Controller) plan(ctx context.Context, config kumquathitch.Configuration, board Board) error {
	now := c.Clock.Now()
	own := c.Members.Self().DataCentre
	plans, err := c.readPlans(ctx, own)
	if err != nil {
		return err
	}
	homes, _ := Homes(config)
	demand := c.Demand.Total(now)
	addAdapters(demand, config.Adapters)
	site := Site{
		Models: config.Models, Home: map[string]bool{}, Demand: demand, Capacity: c.Capacity, Moved: board.Moved,
		Servers: c.servers(config, own, plans),
	}
	for name, home := range homes {
		site.Home[name] = home == own
	}
	moves := Plan(site, now)
	if c.blocked(site, moves) {
		if site.Elsewhere, err = c.elsewhere(ctx, config, homes, own); err != nil {
			return err
		}
		moves = Plan(site, now)
	}
	adapters := hottest(demand, config.Adapters)
	if len(moves) == 0 && similar(adapters, board.Adapters) {
		return nil
	}
	return writeBoard(ctx, c.Store, own, board.Post(moves, adapters, c.Rules.ClockError, now))
}

// addAdapters counts the demand for an adapter as demand for its model too.
func addAdapters(demand map[string]float64, adapters kumquathitch.Adapters) {
	for _, a := range adapters {
		if rate := demand[a.Name]; rate > 0 {
			demand[a.Model] += rate
		}
	}
}

// servers returns the engines of a data centre.
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
	prefix := accelerator.RecordPrefix(dataCentre)
	records, err := c.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	plans := make(map[string]accelerator.Plan, len(records))
	for _, r := range records {
		plan, _, err := accelerator.Decode(r)
		if err != nil {
			return nil, err
		}
		plans[strings.TrimPrefix(r.Key, prefix)] = plan
	}
	return plans, nil
}

// blocked reports whether a home model without a replica got neither a load nor room.
func (c *Controller) blocked(site Site, moves Moves) bool {
	for _, m := range site.Models {
		served := slices.ContainsFunc(site.Servers, func(s Server) bool {
			return slices.ContainsFunc(s.Plan.Holdings, func(h accelerator.Holding) bool { return h.Name == m.Name })
		})
		if site.Home[m.Name] && !served && !slices.ContainsFunc(moves, func(x Move) bool { return x.Key.Name == m.Name }) {
			return true
		}
	}
	return false
}

// elsewhere returns servers that are confirmed to serve models in their home data centres.
func (c *Controller) elsewhere(ctx context.Context, config kumquathitch.Configuration, homes map[string]string, own string,
) (map[string]string, error) {
	confirmed := map[string]string{}
	for _, d := range config.DataCentres {
		if d.Name == own {
			continue
		}
		plans, err := c.readPlans(ctx, d.Name)
		if err != nil {
			return nil, err
		}
		for server, plan := range plans {
			for _, h := range plan.Holdings {
				if homes[h.Name] == d.Name && h.Serving() {
					confirmed[h.Name] = server
				}
			}
		}
	}
	return confirmed, nil
}

// OwnerDuty returns the duty of planning a data centre's placement.
func OwnerDuty(dataCentre string) string {
	return "placement/" + dataCentre
}

// hottest returns the demand for the adapters with the most of it.
func hottest(demand map[string]float64, adapters kumquathitch.Adapters) map[string]float64 {
	listed := map[string]float64{}
	for _, a := range adapters {
		if demand[a.Name] > 0 {
			listed[a.Name] = demand[a.Name]
		}
	}
	return Largest(listed, maxAdapters)
}

// Largest returns the n largest rates.
func Largest(rates map[string]float64, n int) map[string]float64 {
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

// similar reports whether two demands differ by less than the gain that a move needs.
func similar(a, b map[string]float64) bool {
	if len(a) != len(b) {
		return false
	}
	for name, rate := range a {
		other, ok := b[name]
		if !ok || rate > minGain*other || other > minGain*rate {
			return false
		}
	}
	return true
}
