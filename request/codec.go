package request

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

// Records are encoded in binary to stay small: at 460 claims a second and a TTL
// of one hour, a partition holds about 6,500 entries, which must fit into a
// store value of 1 MiB together with their bodies. All numbers are little-endian:
//
//	format u8 | names u16 | { length u16, text } ... | entries u32 | { row, body } ...
//
// A row holds the key hash, fingerprint and write id; the deadline and expiry in
// Unix milliseconds; the indexes of account, holder and content type in the list
// of names; and the state, body-dropped flag, status and body length.
const (
	recordFormat    = 1
	headerBytes     = 1 + 2 + 4
	nameLengthBytes = 2
	entryBytes      = 16 + 4*8 + 3*2 + 1 + 1 + 2 + 2
	maxNames        = 1 << 16
	maxNameBytes    = 1 << 10
)

var byteOrder = binary.LittleEndian

// Encode returns the stored form of a record.
func Encode(r *Record) []byte {
	names := make([]string, len(r.names))
	for text, i := range r.names {
		names[i] = text
	}
	b := make([]byte, 0, r.sizeBound)
	b = append(b, recordFormat)
	b = byteOrder.AppendUint16(b, uint16(len(names))) //nolint:gosec // Record.fits keeps the names below 2^16.
	for _, text := range names {
		b = byteOrder.AppendUint16(b, uint16(len(text))) //nolint:gosec // Record.fits refuses names above maxNameBytes.
		b = append(b, text...)
	}
	b = byteOrder.AppendUint32(b, uint32(len(r.Entries))) //nolint:gosec // A megabyte holds fewer than 2^32 entries.
	for i := range r.Entries {
		b = r.appendEntry(b, &r.Entries[i])
	}
	return b
}

//nolint:gosec // Times are after 1970, statuses have three digits, bodies at most 8 KiB and names are fewer than 2^16.
func (r *Record) appendEntry(b []byte, e *Entry) []byte {
	b = append(b, e.Claim.KeyHash[:]...)
	b = byteOrder.AppendUint64(b, e.Claim.Fingerprint)
	b = byteOrder.AppendUint64(b, e.Claim.WriteID)
	b = byteOrder.AppendUint64(b, uint64(e.Claim.Deadline.UnixMilli()))
	b = byteOrder.AppendUint64(b, uint64(e.Expires.UnixMilli()))
	b = byteOrder.AppendUint16(b, uint16(r.names[e.Claim.Account]))
	b = byteOrder.AppendUint16(b, uint16(r.names[e.Claim.Holder]))
	b = byteOrder.AppendUint16(b, uint16(r.names[e.Outcome.ContentType]))
	dropped := byte(0)
	if e.Outcome.BodyDropped {
		dropped = 1
	}
	b = append(b, byte(e.State), dropped)
	b = byteOrder.AppendUint16(b, uint16(e.Outcome.Status))
	b = byteOrder.AppendUint16(b, uint16(len(e.Outcome.Body)))
	return append(b, e.Outcome.Body...)
}

// Decode reads the stored form of a record. An empty value is an empty record.
// It returns an error for an unknown format or a truncated value.
func Decode(value []byte) (*Record, error) {
	if len(value) == 0 {
		return NewRecord(), nil
	}
	d := decoder{rest: value}
	if format := d.take(1); d.short || format[0] != recordFormat {
		return nil, eris.New("request.Decode: unknown record format")
	}
	names := make([]string, byteOrder.Uint16(d.take(2)))
	for i := range names {
		names[i] = string(d.take(int(byteOrder.Uint16(d.take(2)))))
	}
	r := NewRecord()
	count := int(byteOrder.Uint32(d.take(4)))
	if count > len(d.rest)/entryBytes {
		return nil, eris.New("request.Decode: the record is truncated")
	}
	r.Entries = make([]Entry, 0, count)
	for range count {
		r.add(d.entry(names))
	}
	if d.short || len(d.rest) > 0 {
		return nil, eris.New("request.Decode: the record is truncated")
	}
	return r, nil
}

// decoder reads a value from its front. When the value is too short, it returns zeros and sets short.
type decoder struct {
	rest  []byte
	short bool
}

func (d *decoder) take(n int) []byte {
	if n > len(d.rest) {
		d.short = true
		d.rest = nil
		return make([]byte, n)
	}
	part := d.rest[:n]
	d.rest = d.rest[n:]
	return part
}

func (d *decoder) entry(names []string) Entry {
	row := d.take(entryBytes)
	name := func(offset int) string {
		i := int(byteOrder.Uint16(row[offset:]))
		if i >= len(names) {
			d.short = true
			return ""
		}
		return names[i]
	}
	e := Entry{
		Claim: kumquathitch.Claim{
			KeyHash:     kumquathitch.KeyHash(row[:16]),
			Fingerprint: byteOrder.Uint64(row[16:]),
			WriteID:     byteOrder.Uint64(row[24:]),
			Deadline:    decodeTime(row[32:]),
			Account:     name(48),
			Holder:      name(50),
		},
		Expires: decodeTime(row[40:]),
		State:   State(row[54]),
		Outcome: kumquathitch.Outcome{
			ContentType: name(52),
			BodyDropped: row[55] == 1,
			Status:      int(byteOrder.Uint16(row[56:])),
		},
	}
	if size := int(byteOrder.Uint16(row[58:])); size > 0 {
		e.Outcome.Body = append([]byte(nil), d.take(size)...)
	}
	return e
}

func decodeTime(b []byte) time.Time {
	return time.UnixMilli(int64(byteOrder.Uint64(b))).UTC() //nolint:gosec // Written from an int64.
}
