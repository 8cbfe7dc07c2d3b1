package kumquathitch

import (
	"net/netip"
	"slices"
)

// Kinds of upstreams.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Upstream is a back end: a model engine or a plain service.
type Upstream struct {
	Name          string       `json:"name"`
	Kind          string       `json:"kind"` // KindEngine or KindService.
	Service       string       `json:"service,omitempty"`
	DataCentre    string       `json:"data-centre"`
	Address       string       `json:"address"` // IP address and port.
	Accelerators  Accelerators `json:"accelerators,omitempty"`
	ChecksFencing bool         `json:"checks-fencing,omitempty"` // The engine refuses orders with an outdated fencing token.
	Leaving       bool         `json:"leaving,omitempty"`        // The operator drains the upstream: it gets no new requests.
	Models        []string     `json:"models,omitempty"`         // Models and adapters resident when the upstream starts.
}

// Upstreams is a list of upstreams.
type Upstreams []Upstream

// Accelerator is one accelerator of a server.
type Accelerator struct {
	Bytes       int64 `json:"bytes"`        // Total memory, bytes.
	AdapterPool int64 `json:"adapter-pool"` // Memory reserved for adapters, bytes; part of Bytes.
}

// Accelerators is a list of accelerators.
type Accelerators []Accelerator

// SetDefaults fills empty fields.
func (u *Upstream) SetDefaults() {
	if u.Kind == "" {
		u.Kind = KindEngine
	}
}

// Validate appends the upstream's problems to problems; field is the path of the upstream.
func (u *Upstream) Validate(field string, problems *Problems) {
	validateName(field+".name", u.Name, problems)
	if u.Kind != KindEngine && u.Kind != KindService {
		problems.Add(field+".kind", u.Kind, "engine or service")
	}
	if u.Kind == KindService {
		validateName(field+".service", u.Service, problems)
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		problems.Add(field+".address", u.Address, "an IP address and a port, such as 10.0.0.7:8000")
	}
	for _, a := range u.Accelerators {
		if a.Bytes <= 0 || a.AdapterPool < 0 || a.AdapterPool >= a.Bytes {
			problems.Add(field+".accelerators", a, "bytes above 0 and an adapter pool smaller than the memory")
		}
	}
}

// Serving returns the upstreams that list a model or adapter.
func (u Upstreams) Serving(model string) Upstreams {
	var serving Upstreams
	for _, up := range u {
		if up.Kind == KindEngine && slices.Contains(up.Models, model) {
			serving = append(serving, up)
		}
	}
	return serving
}

// OfService returns the upstreams of a plain service.
func (u Upstreams) OfService(service string) Upstreams {
	var found Upstreams
	for _, up := range u {
		if up.Kind == KindService && up.Service == service {
			found = append(found, up)
		}
	}
	return found
}
