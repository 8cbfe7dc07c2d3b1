package fleet

import (
	"time"

	"kumquathitch.example/kumquathitch"
)

// restrictions are the rules on data centres that hold for every choice, also for retries,
// probes and last resorts.
type restrictions struct {
	evacuations kumquathitch.Evacuations // Nil without evacuations.
	regions     map[string]string        // Region of each data centre.
}

// Restrict sets the source of evacuations and the region of each data centre. It must be
// called before the first choice.
func (f *Fleet) Restrict(evacuations kumquathitch.Evacuations, regions map[string]string) {
	f.restrictions = restrictions{evacuations: evacuations, regions: regions}
}

// closed reports whether a data centre is evacuated, so that no call may be sent there.
func (r *restrictions) closed(dataCentre string, now time.Time) bool {
	return r.evacuations != nil && r.evacuations.Closed(dataCentre, now)
}

// isHome reports whether a call may be sent to a data centre by the regions of its homes.
func (r *restrictions) isHome(dataCentre string, homes kumquathitch.Homes) bool {
	return homes.Allow(r.regions[dataCentre])
}

// allow reports whether a call with these homes may be sent to a data centre.
func (r *restrictions) allow(dataCentre string, homes kumquathitch.Homes, now time.Time) bool {
	return r.isHome(dataCentre, homes) && !r.closed(dataCentre, now)
}

// allowed returns the instances of a list whose data centres are allowed. The result may be
// the list itself, and must not be changed.
func (r *restrictions) allowed(instances []*instanceState, homes kumquathitch.Homes, now time.Time) []*instanceState {
	if !homes.Bound && (r.evacuations == nil || !r.evacuations.Any()) {
		return instances
	}
	allowed := make([]*instanceState, 0, len(instances))
	for _, inst := range instances {
		if r.allow(inst.dataCentre(), homes, now) {
			allowed = append(allowed, inst)
		}
	}
	return allowed
}

// exclusion states why instances of a list must not get a call: some of them are in
// evacuated data centres, or all of them are outside its homes.
func (r *restrictions) exclusion(instances []*instanceState, homes kumquathitch.Homes, now time.Time) (evacuated, outsideHomes bool) {
	outsideHomes = len(instances) > 0
	for _, inst := range instances {
		dataCentre := inst.dataCentre()
		if !r.isHome(dataCentre, homes) {
			continue
		}
		outsideHomes = false
		evacuated = evacuated || r.closed(dataCentre, now)
	}
	return evacuated, outsideHomes
}

// EvacuatedLoad returns this VM's calls in flight in data centres that are being evacuated.
func (f *Fleet) EvacuatedLoad() int {
	if f.restrictions.evacuations == nil || !f.restrictions.evacuations.Any() {
		return 0
	}
	total := 0
	for i := range f.shards {
		s := &f.shards[i]
		s.mutex.RLock()
		for _, inst := range s.instances {
			if f.restrictions.evacuations.Standing(inst.dataCentre()) {
				total += inst.localLoad()
			}
		}
		s.mutex.RUnlock()
	}
	return total
}

func (inst *instanceState) dataCentre() string {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.description.DataCentre
}
