// Package questionnaire generates a configuration from a new team's answers about its
// client accounts, models, adapters, rates, services and upstreams.
//
// # Usage
//
//	answers, err := questionnaire.Read(file) // Or questionnaire.Ask(in, out).
//	if err != nil {
//		return err
//	}
//	config, err := answers.Generate()
//	if err != nil {
//		return err // *kumquathitch.ValidationError with every problem and its field
//	}
//
// Answers are stored as a JSON file with kebab-case names; see the examples folder.
package questionnaire

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Answers holds the answers to all questions.
type Answers struct {
	Site           string                   `json:"site"`
	DataCentres    kumquathitch.DataCentres `json:"data-centres"`
	EntryVMs       int                      `json:"entry-vms"` // In all data centres together.
	Engines        []EngineGroup            `json:"engines"`
	Models         []Model                  `json:"models"`
	Adapters       []AdapterGroup           `json:"adapters"`
	Services       []Service                `json:"services"`
	Accounts       []Account                `json:"accounts"`
	WeightStore    kumquathitch.WeightStore `json:"weight-store"`
	PrimaryMeasure string                   `json:"weighs-most"`
}

// EngineGroup is a group of identical servers that run model engines.
type EngineGroup struct {
	Name           string              `json:"name"`
	Addresses      map[string][]string `json:"addresses"`        // IP addresses and ports by data centre.
	Accelerators   int                 `json:"accelerators"`     // Number in each server.
	AcceleratorGiB float64             `json:"accelerator-gib"`  // Memory of each accelerator.
	AdapterPoolGiB float64             `json:"adapter-pool-gib"` // Memory of each accelerator that is reserved for adapters.
	ChecksFencing  bool                `json:"checks-fencing"`   // The engines refuse orders with an old fencing token.
}

// Model describes a model by the memory that it needs and its urgency class.
type Model struct {
	Name            string  `json:"name"`
	GiB             float64 `json:"gib"`               // Memory of the weights.
	CacheReserveGiB float64 `json:"cache-reserve-gib"` // Memory that is reserved for its key-value cache.
	Class           string  `json:"class"`
}

// AdapterGroup is a group of adapters of one model with the same size.
type AdapterGroup struct {
	Model string   `json:"model"`
	MiB   float64  `json:"mib"` // Memory of the weights of each adapter.
	Names []string `json:"names"`
}

// Service is a plain service (one without models) and its calls.
type Service struct {
	Name      string              `json:"name"`
	Addresses map[string][]string `json:"addresses"` // IP addresses and ports by data centre.
	Calls     []ServiceCall       `json:"calls"`
}

// ServiceCall is a call that a plain service offers, identified by method and path.
type ServiceCall struct {
	Method                string `json:"method"`
	Path                  string `json:"path"`
	Idempotent            bool   `json:"idempotent"`
	RequireIdempotencyKey bool   `json:"require-idempotency-key"`
	Open                  bool   `json:"open"` // Callers need no API key.
	Class                 string `json:"class"`
	RequestTokens         int64  `json:"request-tokens"` // Tokens charged for each request.
	FirstByteMS           int    `json:"first-byte-ms"`  // Target for the first byte of the response.
}

// Account is a client account. Its API keys are created later.
type Account struct {
	Name   string   `json:"name"`
	Class  string   `json:"class"`
	Rate   float64  `json:"rate"`  // Tokens per second.
	Burst  float64  `json:"burst"` // Tokens.
	Models []string `json:"models"`
}

// Read decodes answers. It returns an error for an unknown field, which is usually a
// misspelt one.
func Read(r io.Reader) (Answers, error) {
	var answers Answers
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&answers); err != nil {
		return answers, eris.Wrap(err, "questionnaire.Read")
	}
	return answers, nil
}

// Validate returns a *kumquathitch.ValidationError with every invalid answer. Generate
// also validates the resulting configuration.
func (a *Answers) Validate() error {
	var problems kumquathitch.Problems
	if a.Site == "" {
		problems.Add("site", a.Site, "a name")
	}
	if len(a.DataCentres) == 0 {
		problems.Add("data-centres", "", "at least one data centre")
	}
	if a.EntryVMs <= 0 {
		problems.Add("entry-vms", a.EntryVMs, "the number of entry VMs in all data centres, above 0")
	}
	for i, e := range a.Engines {
		e.validate(fmt.Sprintf("engines[%d]", i), a.DataCentres, &problems)
	}
	for i, s := range a.Services {
		validateAddresses(fmt.Sprintf("services[%d].addresses", i), s.Addresses, a.DataCentres, &problems)
	}
	for i, m := range a.Models {
		if m.GiB <= 0 {
			problems.Add(fmt.Sprintf("models[%d].gib", i), m.GiB, "the memory of the weights in GiB, above 0")
		}
	}
	if len(a.Accounts) == 0 {
		problems.Add("accounts", "", "at least one client account")
	}
	return problems.Err()
}

func (e *EngineGroup) validate(field string, centres kumquathitch.DataCentres, problems *kumquathitch.Problems) {
	if e.Accelerators <= 0 {
		problems.Add(field+".accelerators", e.Accelerators, "the number of accelerators in each server, above 0")
	}
	if e.AcceleratorGiB <= 0 || e.AdapterPoolGiB < 0 || e.AdapterPoolGiB >= e.AcceleratorGiB {
		problems.Add(field+".accelerator-gib", e.AcceleratorGiB, "the memory of each accelerator in GiB, more than its adapter pool")
	}
	validateAddresses(field+".addresses", e.Addresses, centres, problems)
}

func validateAddresses(field string, addresses map[string][]string, centres kumquathitch.DataCentres, problems *kumquathitch.Problems) {
	if len(addresses) == 0 {
		problems.Add(field, "", "at least one address")
	}
	for centre, list := range addresses {
		if !slices.ContainsFunc(centres, func(d kumquathitch.DataCentre) bool { return d.Name == centre }) {
			problems.Add(field, centre, "the name of one of the data centres")
		}
		for _, text := range list {
			if _, err := netip.ParseAddrPort(text); err != nil {
				problems.Add(field+"."+centre, text, "an IP address and a port, such as 10.0.0.7:8000")
			}
		}
	}
}
