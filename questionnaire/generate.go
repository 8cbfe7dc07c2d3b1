package questionnaire

import (
	"fmt"

	"kumquathitch.example/kumquathitch"
)

const (
	gib = 1 << 30
	mib = 1 << 20
	// slotsPerVM is the number of rate slots per entry VM. It makes slots small enough
	// for the VMs of a data centre to share them evenly to within a few per cent.
	slotsPerVM = 5
)

// Generate returns a validated configuration for the answers. Each model gets a
// replica in every data centre that has memory for it. It returns a
// *kumquathitch.ValidationError with every problem.
func (a *Answers) Generate() (kumquathitch.Configuration, error) {
	if err := a.Validate(); err != nil {
		return kumquathitch.Configuration{}, err
	}
	config := kumquathitch.Configuration{
		DataCentres:    a.DataCentres,
		WeightStore:    a.WeightStore,
		PrimaryMeasure: a.PrimaryMeasure,
		RateSlots:      rateSlots(a.EntryVMs, len(a.DataCentres)),
	}
	a.addAccounts(&config)
	a.addModels(&config)
	a.addUpstreams(&config)
	a.addRoutes(&config)
	config.SetDefaults()
	var problems kumquathitch.Problems
	assignStartupModels(&config, &problems)
	if err := problems.Err(); err != nil {
		return config, err
	}
	return config, config.Validate()
}

// rateSlots returns the number of rate slots, a multiple of the number of data centres.
func rateSlots(entryVMs, dataCentres int) int {
	perCentre := (entryVMs*slotsPerVM + dataCentres - 1) / dataCentres
	return perCentre * dataCentres
}

func (a *Answers) addAccounts(config *kumquathitch.Configuration) {
	for _, account := range a.Accounts {
		config.Accounts = append(config.Accounts, kumquathitch.Account{
			Name: account.Name, Class: account.Class, Rate: account.Rate, Burst: account.Burst, Models: account.Models,
		})
	}
}

func (a *Answers) addModels(config *kumquathitch.Configuration) {
	for _, m := range a.Models {
		config.Models = append(config.Models, kumquathitch.Model{
			Name: m.Name, Bytes: int64(m.GiB * gib), CacheReserve: int64(m.CacheReserveGiB * gib), Class: m.Class,
		})
	}
	for _, group := range a.Adapters {
		for _, name := range group.Names {
			config.Adapters = append(config.Adapters, kumquathitch.Adapter{
				Name: name, Model: group.Model, Bytes: int64(group.MiB * mib),
			})
		}
	}
}

func (a *Answers) addUpstreams(config *kumquathitch.Configuration) {
	for _, e := range a.Engines {
		accelerators := make(kumquathitch.Accelerators, e.Accelerators)
		for i := range accelerators {
			accelerators[i] = kumquathitch.Accelerator{
				Bytes: int64(e.AcceleratorGiB * gib), AdapterPool: int64(e.AdapterPoolGiB * gib),
			}
		}
		for _, u := range a.upstreamsFor(e.Name, e.Addresses) {
			u.Kind = kumquathitch.KindEngine
			u.Accelerators = accelerators
			u.ChecksFencing = e.ChecksFencing
			config.Upstreams = append(config.Upstreams, u)
		}
	}
	for _, s := range a.Services {
		for _, u := range a.upstreamsFor(s.Name, s.Addresses) {
			u.Kind = kumquathitch.KindService
			u.Service = s.Name
			config.Upstreams = append(config.Upstreams, u)
		}
	}
}

// upstreamsFor returns an upstream for each address, sorted by data centre and named
// after the group with a number.
func (a *Answers) upstreamsFor(group string, addresses map[string][]string) kumquathitch.Upstreams {
	var upstreams kumquathitch.Upstreams
	for _, centre := range a.DataCentres {
		for _, address := range addresses[centre.Name] {
			upstreams = append(upstreams, kumquathitch.Upstream{
				Name: fmt.Sprintf("%s-%d", group, len(upstreams)+1), DataCentre: centre.Name, Address: address,
			})
		}
	}
	return upstreams
}

func (a *Answers) addRoutes(config *kumquathitch.Configuration) {
	if len(a.Engines) > 0 {
		config.Routes = append(config.Routes, kumquathitch.Route{
			Method: "POST", Path: "/v1/chat/completions", Class: "interactive", Idempotent: true,
		})
	}
	for _, s := range a.Services {
		for _, c := range s.Calls {
			config.Routes = append(config.Routes, kumquathitch.Route{
				Method: c.Method, Path: c.Path, Service: s.Name, Open: c.Open, Idempotent: c.Idempotent,
				RequireIdempotencyKey: c.RequireIdempotencyKey, Class: c.Class, RequestTokens: c.RequestTokens, FirstTokenMS: c.FirstByteMS,
			})
		}
	}
}
