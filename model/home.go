package model

import (
	"cmp"
	"fmt"
	"slices"

	"kumquathitch.example/kumquathitch"
)

// Home is the location assigned to a model. Its data centre keeps at least one
// replica of the model.
type Home struct {
	DataCentre  string
	Server      string // Empty when the model is on an engine without listed accelerators.
	Accelerator int    // Index in Upstream.Accelerators.
}

// Homes returns the home of each listed model: a data centre that never
// unloads the model's last replica there, and an accelerator on which all
// models with this home fit together.
//
// Homes depend on the configuration alone. Data centres thus need not agree on
// them at run time. Models are packed in the order of size, the largest first.
// Each goes to the first data centre with room, in the order of rendezvous
// hashing: few homes change with the configuration. A model that fits nowhere
// has no home; problems then names the first such model and their number. A
// configuration that lists no accelerators is not managed by placement and has
// no problems.
func Homes(config kumquathitch.Configuration) (homes map[string]Home, problems kumquathitch.Problems) {
	homes = map[string]Home{}
	packing := newPacking(config)
	var unplaced []string
	for _, m := range bySize(config.Models) {
		home, ok := packing.static[m.Name]
		if !ok {
			home, ok = packing.place(m)
		}
		if !ok {
			unplaced = append(unplaced, m.Name)
			continue
		}
		homes[m.Name] = home
	}
	if packing.listsAccelerators && len(unplaced) > 0 {
		problems.Add("models", unplaced[0], fmt.Sprintf(
			"models that fit on the accelerators, one replica of each in the fleet; %d of %d do not", len(unplaced), len(config.Models)))
	}
	return homes, problems
}

// CheckChange returns the problems of a configuration change for which the
// accelerators have too little memory: models that do not fit, or a new version
// of a model that does not fit beside the old one during the replacement. Each
// data centre replaces versions one after the other, so room for the largest is enough.
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
	if !packing.listsAccelerators {
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

// packing tracks the free memory of each data centre's accelerators while homes are assigned.
type packing struct {
	listsAccelerators bool
	dataCentres       []string
	free              map[string][]acceleratorSpace
	static            map[string]Home // Models on engines without listed accelerators.
}

// acceleratorSpace is an accelerator with its free memory.
type acceleratorSpace struct {
	Home Home
	Free int64 // Bytes.
}

func newPacking(config kumquathitch.Configuration) *packing {
	p := &packing{free: map[string][]acceleratorSpace{}, static: map[string]Home{}}
	for _, d := range config.DataCentres {
		p.dataCentres = append(p.dataCentres, d.Name)
	}
	for _, u := range config.Upstreams {
		if u.Kind != kumquathitch.KindEngine {
			continue
		}
		for i, a := range u.Accelerators {
			p.listsAccelerators = true
			p.free[u.DataCentre] = append(p.free[u.DataCentre], acceleratorSpace{Home{u.DataCentre, u.Name, i}, a.Bytes - a.AdapterPool})
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

// place assigns a home to a model, reserves memory there and returns the home.
func (p *packing) place(m kumquathitch.Model) (Home, bool) {
	ranked := slices.Clone(p.dataCentres)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(kumquathitch.RendezvousWeight(m.Name, b), kumquathitch.RendezvousWeight(m.Name, a))
	})
	bytes := m.Bytes + m.CacheReserve
	for _, dataCentre := range ranked {
		if i := p.bestFit(dataCentre, bytes); i >= 0 {
			p.free[dataCentre][i].Free -= bytes
			return p.free[dataCentre][i].Home, true
		}
	}
	return Home{}, false
}

func (p *packing) fits(dataCentre string, bytes int64) bool {
	return p.bestFit(dataCentre, bytes) >= 0
}

// bestFit returns the index of the accelerator with the least memory that
// suffices, or -1.
func (p *packing) bestFit(dataCentre string, bytes int64) int {
	best := -1
	for i, s := range p.free[dataCentre] {
		if s.Free >= bytes && (best < 0 || s.Free < p.free[dataCentre][best].Free) {
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
