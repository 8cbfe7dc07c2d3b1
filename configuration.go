package kumquathitch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Values of Configuration.PrimaryMeasure. It breaks ties when load is shed.
const (
	MeasureWorstServed = "worst-served"
	MeasureRefusals    = "refusals"
)

// Configuration holds everything that operators set. An accepted generation is
// immutable; a change creates a new generation with a higher number.
type Configuration struct {
	Generation     uint64      `json:"generation"`
	DataCentres    DataCentres `json:"data-centres"`
	Accounts       Accounts    `json:"accounts"`
	Models         Models      `json:"models"`
	Adapters       Adapters    `json:"adapters"`
	Upstreams      Upstreams   `json:"upstreams"`
	Routes         Routes      `json:"routes"`
	WeightStore    WeightStore `json:"weight-store"`
	RateSlots      int         `json:"rate-slots"`  // Equal parts that every rate is split into; a multiple of the number of data centres.
	FloorShare     float64     `json:"floor-share"` // Fraction of each slot that stays usable during store outages, in [0, 1].
	PrimaryMeasure string      `json:"weighs-most"` // MeasureWorstServed or MeasureRefusals.

	// RetiredKeys are the ids of the keys of removed accounts. They prevent a
	// configuration from an old file from restoring such a key.
	RetiredKeys []string `json:"retired-keys,omitempty"`
}

// DataCentre is a failure domain with its own entry VMs and upstreams.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// EvacuatedSince is set while the operator evacuates the data centre: its upstreams get
	// no new requests. Its entry VMs go on serving callers.
	EvacuatedSince time.Time `json:"evacuated-since,omitzero"`
}

// DataCentres is a list of data centres.
type DataCentres []DataCentre

// Find returns the data centre with a name, or nil. The pointer aliases the list.
func (d DataCentres) Find(name string) *DataCentre {
	for i := range d {
		if d[i].Name == name {
			return &d[i]
		}
	}
	return nil
}

// Evacuated reports whether the operator evacuates a data centre.
func (d DataCentres) Evacuated(name string) bool {
	found := d.Find(name)
	return found != nil && !found.EvacuatedSince.IsZero()
}

// WeightStore holds the limits of the store that engines load weights from. They
// apply to the whole fleet.
type WeightStore struct {
	LoadsPerSecond   float64 `json:"loads-per-second"`
	LoadsAtOnce      int     `json:"loads-at-once"`      // Loads in progress at the same time.
	AdaptersInFlight int     `json:"adapters-in-flight"` // Adapter loads in progress above which each of them slows down.
}

// SetDefaults fills the empty fields of the configuration and of its parts.
func (c *Configuration) SetDefaults() {
	if c.RateSlots == 0 {
		c.RateSlots = 16 * max(1, len(c.DataCentres))
	}
	if c.FloorShare == 0 {
		c.FloorShare = 0.5
	}
	if c.PrimaryMeasure == "" {
		c.PrimaryMeasure = MeasureWorstServed
	}
	if c.WeightStore == (WeightStore{}) {
		c.WeightStore = WeightStore{LoadsPerSecond: 1.6, LoadsAtOnce: 9, AdaptersInFlight: 70}
	}
	for i := range c.Accounts {
		c.Accounts[i].SetDefaults()
	}
	for i := range c.Models {
		c.Models[i].SetDefaults()
	}
	for i := range c.Upstreams {
		c.Upstreams[i].SetDefaults()
	}
	for i := range c.Routes {
		c.Routes[i].SetDefaults()
	}
}

// Validate returns a *ValidationError with every problem of the configuration, or nil.
func (c *Configuration) Validate() error {
	var problems Problems
	c.validateSettings(&problems)
	c.validateParts(&problems)
	c.validateReferences(&problems)
	return problems.Err()
}

func (c *Configuration) validateSettings(problems *Problems) {
	if len(c.DataCentres) == 0 {
		problems.Add("data-centres", "", "at least one data centre")
		return
	}
	if c.RateSlots <= 0 || c.RateSlots%len(c.DataCentres) != 0 {
		problems.Add("rate-slots", c.RateSlots, fmt.Sprintf("a positive multiple of the %d data centres", len(c.DataCentres)))
	}
	if c.FloorShare < 0 || c.FloorShare > 1 {
		problems.Add("floor-share", c.FloorShare, "a number from 0 to 1")
	}
	if c.PrimaryMeasure != MeasureWorstServed && c.PrimaryMeasure != MeasureRefusals {
		problems.Add("weighs-most", c.PrimaryMeasure, "worst-served or refusals")
	}
	w := c.WeightStore
	if w.LoadsPerSecond <= 0 || w.LoadsAtOnce <= 0 || w.AdaptersInFlight <= 0 {
		problems.Add("weight-store", fmt.Sprintf("%+v", w), "three limits above 0")
	}
}

func (c *Configuration) validateParts(problems *Problems) {
	for i := range c.Accounts {
		c.Accounts[i].Validate(fmt.Sprintf("accounts[%d]", i), problems)
	}
	for i := range c.Models {
		c.Models[i].Validate(fmt.Sprintf("models[%d]", i), problems)
	}
	for i := range c.Upstreams {
		c.Upstreams[i].Validate(fmt.Sprintf("upstreams[%d]", i), problems)
	}
	for i := range c.Routes {
		c.Routes[i].Validate(fmt.Sprintf("routes[%d]", i), problems)
	}
}

func (c *Configuration) validateReferences(problems *Problems) {
	seen := map[string]bool{}
	requireUnique := func(field, name string) {
		if seen[field+name] {
			problems.Add(field, name, "a name that is used once")
		}
		seen[field+name] = true
	}
	for _, d := range c.DataCentres {
		requireUnique("data-centres.name", d.Name)
	}
	for i, a := range c.Accounts {
		requireUnique("accounts.name", a.Name)
		for _, k := range a.Keys {
			requireUnique("accounts.keys.id", k.ID)
			if !k.Withdrawn && slices.Contains(c.RetiredKeys, k.ID) {
				problems.Add(fmt.Sprintf("accounts[%d].keys", i), k.ID, "a key that was not retired with its account; create a new one")
			}
		}
		for _, m := range a.Models {
			if m != "*" && !c.HasModel(m) {
				problems.Add(fmt.Sprintf("accounts[%d].models", i), m, "the name of a listed model or adapter")
			}
		}
	}
	for _, m := range c.Models {
		requireUnique("models.name", m.Name)
	}
	for i, a := range c.Adapters {
		requireUnique("models.name", a.Name) // A request names its model or adapter in one field.
		if c.Models.Find(a.Model) == nil {
			problems.Add(fmt.Sprintf("adapters[%d].model", i), a.Model, "the name of a listed model")
		}
	}
	for i, u := range c.Upstreams {
		requireUnique("upstreams.name", u.Name)
		if !slices.ContainsFunc(c.DataCentres, func(d DataCentre) bool { return d.Name == u.DataCentre }) {
			problems.Add(fmt.Sprintf("upstreams[%d].data-centre", i), u.DataCentre, "the name of a listed data centre")
		}
		for _, m := range u.Models {
			if !c.HasModel(m) {
				problems.Add(fmt.Sprintf("upstreams[%d].models", i), m, "the name of a listed model or adapter")
			}
		}
	}
	for i, r := range c.Routes {
		requireUnique("routes", r.Method+" "+r.Path)
		if r.Service != "" && len(c.Upstreams.OfService(r.Service)) == 0 {
			problems.Add(fmt.Sprintf("routes[%d].service", i), r.Service, "a service with at least one upstream")
		}
	}
}

// HasModel reports whether the configuration lists a model or adapter with a name.
func (c *Configuration) HasModel(name string) bool {
	return c.Models.Find(name) != nil || c.Adapters.Find(name) != nil
}

func validateName(field, name string, problems *Problems) {
	if name == "" || strings.ContainsAny(name, " \t\n\"=") {
		problems.Add(field, name, "a non-empty name without spaces, quotes and equals signs")
	}
}
