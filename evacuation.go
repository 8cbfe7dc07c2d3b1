package kumquathitch

import "time"

// Evacuation is a data centre whose instances must get no more calls, as the operator
// has asked in the platform's store.
type Evacuation struct {
	DataCentre string        `json:"data-centre"`
	Revision   uint64        `json:"revision"` // Store revision of the request.
	Age        time.Duration `json:"age"`      // Time since a VM first knew of it. Clocks of VMs differ.
}

// EvacuationList holds all evacuations that stand at a revision of the store.
type EvacuationList struct {
	Revision    uint64       `json:"revision"`
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// Evacuations tells which data centres are being evacuated. Implementations are safe for
// concurrent use.
type Evacuations interface {
	// Any reports whether any data centre is being evacuated.
	Any() bool
	// Standing reports whether the evacuation of a data centre was asked for and not taken back.
	Standing(dataCentre string) bool
	// Closed reports whether the instances of a data centre get no calls at a time. From the
	// start of an evacuation, the VMs have a bounded time until then.
	Closed(dataCentre string, now time.Time) bool
}
