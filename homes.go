package kumquathitch

import "slices"

// Homes are the regions whose instances may get a call. The zero value allows all regions.
type Homes struct {
	Bound   bool     `json:"bound,omitempty"`
	Regions []string `json:"regions,omitempty"`
}

// HomesIn returns the homes that a list of regions stands for. An empty list allows all.
func HomesIn(regions []string) Homes {
	return Homes{Bound: len(regions) > 0, Regions: regions}
}

// Allow reports whether the instances of a region may get the call.
func (h Homes) Allow(region string) bool {
	return !h.Bound || slices.Contains(h.Regions, region)
}

// And returns the homes that both allow.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.Bound:
		return other
	case !other.Bound:
		return h
	}
	common := slices.DeleteFunc(slices.Clone(h.Regions), func(region string) bool { return !other.Allow(region) })
	return Homes{Bound: true, Regions: common}
}
