package vm

import (
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/evacuation"
)

// evacuationMargin is the part of the EvacuationLag of the environment by which a data
// centre is closed early. A change may be older than this VM's last response from the store
// or the leader: by 0.6 s on a leader whose feed is still valid, as long in the exchange,
// and half a second in a slow store. A call that was just admitted dials for up to 0.4 s.
const evacuationMargin = 2500 * time.Millisecond

// closesAt returns when the data centre of a new evacuation is closed. The request came after
// the last response from which this VM knew all changes.
func (v *VM) closesAt(lastKnown time.Time) time.Time {
	return lastKnown.Add(v.environment.EvacuationLag - evacuationMargin)
}

// putEvacuation applies a change that asks for the evacuation of a data centre.
func (w *storeWatcher) putEvacuation(dataCentre string, revision uint64, lastKnown time.Time) {
	if change := w.vm.evacuations.Begin(dataCentre, revision, w.vm.closesAt(lastKnown), time.Now()); change != nil {
		w.vm.applyEvacuation(*change, "change")
	}
}

// removeEvacuation applies a change that takes the evacuation of a data centre back.
func (w *storeWatcher) removeEvacuation(dataCentre string, revision uint64) {
	if change := w.vm.evacuations.End(dataCentre, revision, time.Now()); change != nil {
		w.vm.applyEvacuation(*change, "change")
	}
}

// listEvacuations returns the evacuations among all items of the store.
func (w *storeWatcher) listEvacuations(all kumquathitch.KeyRange) kumquathitch.EvacuationList {
	list := kumquathitch.EvacuationList{Revision: all.Revision}
	for _, item := range all.Items {
		if name, ok := w.vm.environment.Codec.EvacuatedDataCentre(item.Key); ok {
			list.Evacuations = append(list.Evacuations, kumquathitch.Evacuation{DataCentre: name, Revision: item.Revision})
		}
	}
	return list
}

// replaceEvacuations applies a list of all evacuations, from a scan or another VM.
func (v *VM) replaceEvacuations(list kumquathitch.EvacuationList, source string) {
	for _, change := range v.evacuations.Replace(list, time.Now()) {
		v.applyEvacuation(change, source)
	}
}

// applyEvacuation logs the start or the end of an evacuation. The instances of the data centre
// may be cold then before their entries say so.
func (v *VM) applyEvacuation(change evacuation.Change, source string) {
	v.fleet.ExpectCold(change.DataCentre, time.Now())
	fields := []zap.Field{zap.String("data-centre", change.DataCentre), zap.String("source", source), zap.Uint64("revision", change.Revision)}
	if change.Begun {
		v.log.Info("evacuation begun", append(fields, zap.Duration("closed-in", max(0, time.Until(change.ClosesAt))))...)
		return
	}
	v.log.Info("evacuation ended", append(fields, zap.Duration("lasted", change.Lasted))...)
}
