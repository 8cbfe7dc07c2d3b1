package model

import (
	"cmp"
	"fmt"
	"slices"

	"kumquathitch.example/kumquathitch"
)

// Home is where the last replica of a model belongs.
type Home struct {
	DataCentre  string
	Server      string // Empty when an engine without listed accelerators holds the model.
	Accelerator int
}

// Homes returns the home of each listed model: a data centre that never
// unloads the last replica, and an accelerator on which all that have their
// home there fit together. A home is a function of the configuration alone,
// so that data centres need not agree at run time. Models are packed by size,
// each into the first data centre with room in the order of rendezvous
// hashing, so that few homes change with the configuration. Models that fit
// nowhere have no home; problems names the first of them and counts the rest.
// A configuration that lists no accelerators is not placed and has no problems.
func Homes(config kumquathitch.Configuration) (homes map[string]Home, problems kumquathitch.Problems) {
	homes = map[string]Home{}
	packing := newPacking(config)
	var misfits []string
	for _, m := range bySize(config.Models) {
		home, ok := packing.static[m.Name]
		if !ok {
			home, ok = packing.place(m)
		}
		if !ok {
			misfits = append(misfits, m.Name)
			continue
		}
		homes[m.Name] = home
	}
	if packing.managed && len(misfits) > 0 {
		problems.Add("models", misfits[0], fmt.Sprintf(
			"models that fit on the accelerators, one replica of each in the fleet; %d of %d do not", len(misfits), len(config.Models)))
	}
	return homes, problems
}

// CheckChange returns the problem of a change that the accelerators cannot
// carry: a set of models that does not fit, or a new version of a model that
// has no room beside the old one while it is being replaced. Versions are
// replaced one after the other in each data centre, so that room for the
// largest is enough.
func CheckChange(before, after kumquathitch.Configuration) kumquathitch.Problems {
	homes, problems := Homes(after)
	if len(problems) > 0 {
		return problems
	}
	packing := newPacking(after)
	for _, m := range bySize(after.Models) {
		if _, ok := packing.static[m.Name]; !ok {
			packing.place(m)
		}
	}
	if !packing.managed {
		return nil
	}
	checked := map[string]bool{}
	for _, m := range bySize(after.Models) {
		old := before.Models.Find(m.Name)
		if old == nil || old.Version == m.Version || checked[homes[m.Name].DataCentre] {
			continue
		}
		checked[homes[m.Name].DataCentre] = true
		if _, ok := packing.static[m.Name]; ok {
			continue
		}
		if !packing.fits(homes[m.Name].DataCentre, max(m.Bytes+m.CacheReserve, old.Bytes+old.CacheReserve)) {
			problems.Add(fmt.Sprintf("models[%s].version", m.Name), m.Version, fmt.Sprintf(
				"a version that fits beside version %s: no accelerator of data centre %s has %d bytes left",
				old.Version, homes[m.Name].DataCentre, m.Bytes+m.CacheReserve))
		}
	}
	return problems
}

// packing is the room of each data centre's accelerators while homes are assigned.
type packing struct {
	managed bool
	centres []string
	free    map[string][]spot
	static  map[string]Home // Models that engines without listed accelerators hold.
}

// spot is an accelerator with the bytes that are left on it.
type spot struct {
	Home Home
	Free int64
}

func newPacking(config kumquathitch.Configuration) *packing {
	p := &packing{free: map[string][]spot{}, static: map[string]Home{}}
	for _, d := range config.DataCentres {
		p.centres = append(p.centres, d.Name)
	}
	for _, u := range config.Upstreams {
		if u.Kind != kumquathitch.KindEngine {
			continue
		}
		for i, a := range u.Accelerators {
			p.managed = true
			p.free[u.DataCentre] = append(p.free[u.DataCentre], spot{Home{u.DataCentre, u.Name, i}, a.Bytes - a.AdapterPool})
		}
		if len(u.Accelerators) > 0 {
			continue
		}
		for _, name := range u.Models {
			if _, ok := p.static[name]; !ok {
				p.static[name] = Home{DataCentre: u.DataCentre}
			}
		}
	}
	return p
}

// place takes room for a model and returns its home.
func (p *packing) place(m kumquathitch.Model) (Home, bool) {
	ranked := slices.Clone(p.centres)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(kumquathitch.RendezvousWeight(m.Name, b), kumquathitch.RendezvousWeight(m.Name, a))
	})
	bytes := m.Bytes + m.CacheReserve
	for _, centre := range ranked {
		if i := p.tightest(centre, bytes); i >= 0 {
			p.free[centre][i].Free -= bytes
			return p.free[centre][i].Home, true
		}
	}
	return Home{}, false
}

func (p *packing) fits(centre string, bytes int64) bool {
	return p.tightest(centre, bytes) >= 0
}

// tightest returns the accelerator with the least sufficient room, or -1.
func (p *packing) tightest(centre string, bytes int64) int {
	best := -1
	for i, s := range p.free[centre] {
		if s.Free >= bytes && (best < 0 || s.Free < p.free[centre][best].Free) {
			best = i
		}
	}
	return best
}

func bySize(models kumquathitch.Models) kumquathitch.Models {
	sorted := slices.Clone(models)
	slices.SortStableFunc(sorted, func(a, b kumquathitch.Model) int {
		return cmp.Or(cmp.Compare(b.Bytes+b.CacheReserve, a.Bytes+a.CacheReserve), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}
