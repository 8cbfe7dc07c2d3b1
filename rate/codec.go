package rate

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// deadlinePrecision limits the length of encoded times.
const deadlinePrecision = time.Millisecond

// tableRecord is the stored form of a table. It contains each holder once and
// groups slot parts by deadline, because every VM reads and writes the whole
// record every 10 s. With the holder in each part, the record of 39 VMs and 102
// slots took 30 KB, and its transfer alone took 6 KB/s, more than the 5 KB/s that
// a daemon may use for control traffic.
type tableRecord struct {
	Total        int            `json:"total"`
	FloorShare   float64        `json:"floor-share"`
	Slots        int            `json:"slots"`
	VMs          []Registration `json:"vms"`
	Unregistered []Holder       `json:"gone,omitempty"` // Holders of slot parts that are not registered.
	Leases       []leaseRecord  `json:"leases"`
}

// leaseRecord is the stored form of the slot parts of one holder with the same deadline.
type leaseRecord struct {
	By       int       `json:"by"` // Index of the holder in VMs followed by Unregistered.
	Deadline time.Time `json:"deadline"`
	Floor    []int     `json:"floor,omitempty"`  // Slots.
	Leased   []int     `json:"leased,omitempty"` // Slots.
}

// EncodeTable returns the stored form of a table.
func EncodeTable(t Table) ([]byte, error) {
	record := tableRecord{Total: t.Total, FloorShare: t.FloorShare, Slots: len(t.Slots), VMs: t.VMs}
	for i := range t.Slots {
		for _, id := range []PartID{{i, true}, {i, false}} {
			if part := t.Part(id); part.Holder != (Holder{}) {
				record.add(id, *part)
			}
		}
	}
	return json.Marshal(record)
}

func (r *tableRecord) add(id PartID, part SlotPart) {
	holder := slices.IndexFunc(r.VMs, func(v Registration) bool { return v.Holder == part.Holder })
	if holder < 0 {
		index := slices.Index(r.Unregistered, part.Holder)
		if index < 0 {
			index = len(r.Unregistered)
			r.Unregistered = append(r.Unregistered, part.Holder)
		}
		holder = len(r.VMs) + index
	}
	lease := slices.IndexFunc(r.Leases, func(l leaseRecord) bool { return l.By == holder && l.Deadline.Equal(part.Deadline) })
	if lease < 0 {
		lease = len(r.Leases)
		r.Leases = append(r.Leases, leaseRecord{By: holder, Deadline: part.Deadline})
	}
	if id.Floor {
		r.Leases[lease].Floor = append(r.Leases[lease].Floor, id.Slot)
	} else {
		r.Leases[lease].Leased = append(r.Leases[lease].Leased, id.Slot)
	}
}

// DecodeTable reads the stored form of a table. It returns an error for invalid
// JSON and for indexes of holders or slots that are out of range.
func DecodeTable(text []byte) (Table, error) {
	var record tableRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return Table{}, eris.Wrap(err, "rate.DecodeTable")
	}
	t := NewTable(record.Total, record.Slots, record.FloorShare)
	t.VMs = record.VMs
	holders := make([]Holder, 0, len(record.VMs)+len(record.Unregistered))
	for _, v := range record.VMs {
		holders = append(holders, v.Holder)
	}
	holders = append(holders, record.Unregistered...)
	for _, l := range record.Leases {
		if l.By < 0 || l.By >= len(holders) {
			return Table{}, eris.Errorf("rate.DecodeTable: lease by holder %d of %d", l.By, len(holders))
		}
		for _, slots := range [][]int{l.Floor, l.Leased} {
			for _, i := range slots {
				if i < 0 || i >= len(t.Slots) {
					return Table{}, eris.Errorf("rate.DecodeTable: lease of slot %d of %d", i, len(t.Slots))
				}
			}
		}
		for _, i := range l.Floor {
			t.Slots[i].Floor = SlotPart{Holder: holders[l.By], Deadline: l.Deadline}
		}
		for _, i := range l.Leased {
			t.Slots[i].Leased = SlotPart{Holder: holders[l.By], Deadline: l.Deadline}
		}
	}
	return t, nil
}
