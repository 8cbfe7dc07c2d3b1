package entry

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxRecords limits the full records in one message. A record has about 150 bytes.
	maxRecords = 16
	// ageUnit is the resolution of ages in a digest.
	ageUnit = 100 * time.Millisecond
	// digestEntryBytes is the size of a packed entry: tag, sequence, age.
	digestEntryBytes = 4 + 2 + 1
)

// MemberRecord is the full record of a VM with the evidence that it is live: the
// sequence number of its last known heartbeat, and the age of that heartbeat.
type MemberRecord struct {
	kumquathitch.EntryVM
	Sequence uint16 `json:"beat"`
	AgeMS    int64  `json:"age-ms,omitempty"` // Age of the heartbeat when the record was sent, milliseconds.
}

// MemberRecords is a list of records.
type MemberRecords []MemberRecord

// Age returns the age of the last known heartbeat when the record was sent.
func (m *MemberRecord) Age() time.Duration {
	return time.Duration(max(0, m.AgeMS)) * time.Millisecond
}

// Heartbeat is the message that a VM regularly sends to some of the others.
type Heartbeat struct {
	VM       kumquathitch.EntryVM `json:"vm"`
	Sequence uint16               `json:"beat"`
	Digest   Digest               `json:"digest,omitempty"`
	Records  MemberRecords        `json:"news,omitempty"` // Records that the receiver has requested.
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint16        `json:"beat"`
	Generation  uint64        `json:"generation"`
	UnknownTags Tags          `json:"unknown,omitempty"` // Tags of the digest that the receiver does not know.
	Records     MemberRecords `json:"news,omitempty"`    // The receiver's record of the sender, if it has a higher incarnation.
}

// DigestEntry is the evidence that one VM is live.
type DigestEntry struct {
	Tag      uint32 // Identifies name, incarnation and leaving; see tagOf.
	Sequence uint16
	Age      time.Duration
}

// Digest is the compact state of several VMs. It is encoded as text.
type Digest []DigestEntry

// Tags is a list of tags of VMs.
type Tags []uint32

// tagOf returns a hash of the name, the incarnation and the leaving state of a VM.
// Its low bits are the number of the name's shard. Among the 57 VMs of a digest the
// probability of a collision is below one in a million.
func tagOf(vm kumquathitch.EntryVM) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(vm.Name)
	var rest [9]byte
	binary.LittleEndian.PutUint64(rest[:], vm.Incarnation)
	if vm.Leaving {
		rest[8] = 1
	}
	_, _ = digest.Write(rest[:])
	shardBits := uint32(kumquathitch.ShardOf(vm.Name, shardCount)) //nolint:gosec // Below shardCount.
	return uint32(digest.Sum64()>>32)&^uint32(shardCount-1) | shardBits
}

// MarshalText packs each entry into 7 bytes and encodes them in base64. It rounds
// ages up; otherwise a dead VM would count as live for longer on each VM that its
// entry is passed on to.
func (d Digest) MarshalText() ([]byte, error) {
	packed := make([]byte, 0, len(d)*digestEntryBytes)
	for _, entry := range d {
		units := min((entry.Age+ageUnit-1)/ageUnit, 255)
		packed = binary.LittleEndian.AppendUint32(packed, entry.Tag)
		packed = binary.LittleEndian.AppendUint16(packed, entry.Sequence)
		packed = append(packed, byte(max(0, units)))
	}
	return base64.RawStdEncoding.AppendEncode(nil, packed), nil
}

// UnmarshalText decodes the form that MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	packed, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(packed)%digestEntryBytes != 0 {
		return eris.Errorf("Digest.UnmarshalText: %d characters are not a digest", len(text))
	}
	*d = make(Digest, 0, len(packed)/digestEntryBytes)
	for ; len(packed) > 0; packed = packed[digestEntryBytes:] {
		*d = append(*d, DigestEntry{
			Tag:      binary.LittleEndian.Uint32(packed),
			Sequence: binary.LittleEndian.Uint16(packed[4:]),
			Age:      time.Duration(packed[6]) * ageUnit,
		})
	}
	return nil
}

// HandleHeartbeat merges a received heartbeat and returns the response.
func (r *Registry) HandleHeartbeat(h Heartbeat, now time.Time) HeartbeatResponse {
	self, sequence := r.selfAndSequence()
	response := HeartbeatResponse{Name: self.Name, Incarnation: self.Incarnation, Sequence: sequence, Generation: self.Generation}
	r.Merge(MemberRecords{{EntryVM: h.VM, Sequence: h.Sequence}}, now)
	r.Merge(h.Records, now)
	if known, ok := r.recordOf(h.VM.Name, now); ok && known.Incarnation > h.VM.Incarnation {
		response.Records = MemberRecords{known}
	}
	own := tagOf(self)
	for _, entry := range h.Digest {
		if entry.Tag == own || r.addEvidence(entry, now) {
			continue
		}
		if len(response.UnknownTags) < maxRecords {
			response.UnknownTags = append(response.UnknownTags, entry.Tag)
		}
	}
	return response
}

// HandleResponse merges the response to a heartbeat. It returns the records that the
// responding VM requests; the caller sends them with HeartbeatWith.
func (r *Registry) HandleResponse(response HeartbeatResponse, now time.Time) MemberRecords {
	r.Merge(response.Records, now)
	if known, ok := r.recordOf(response.Name, now); ok && known.Incarnation == response.Incarnation {
		known.Sequence, known.AgeMS, known.Generation = response.Sequence, 0, response.Generation
		r.Merge(MemberRecords{known}, now)
	}
	var wanted MemberRecords
	for _, tag := range response.UnknownTags[:min(maxRecords, len(response.UnknownTags))] {
		s := &r.shards[tag%shardCount]
		s.mutex.Lock()
		if m := s.byTag[tag]; m != nil {
			wanted = append(wanted, m.record(now))
		}
		s.mutex.Unlock()
	}
	return wanted
}

// HeartbeatWith returns a heartbeat that carries records and no digest.
func (r *Registry) HeartbeatWith(records MemberRecords) Heartbeat {
	self, sequence := r.selfAndSequence()
	return Heartbeat{VM: self, Sequence: sequence, Records: records}
}

// LiveRecords returns the records of all VMs that are not dead, including this one
// and VMs that are leaving.
func (r *Registry) LiveRecords(now time.Time) MemberRecords {
	self, sequence := r.selfAndSequence()
	known := MemberRecords{{EntryVM: self, Sequence: sequence}}
	r.forEach(func(m *member) {
		if now.Sub(m.vm.LastHeartbeat) < r.settings.DeadAfter {
			known = append(known, m.record(now))
		}
	})
	return known
}

func (r *Registry) selfAndSequence() (kumquathitch.EntryVM, uint16) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.self, r.sequence
}

// recordOf returns the record of a VM other than this one.
func (r *Registry) recordOf(name string, now time.Time) (MemberRecord, bool) {
	s := r.shard(name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.byName[name]
	if m == nil {
		return MemberRecord{}, false
	}
	return m.record(now), true
}

// addEvidence merges an entry of a digest and reports whether its VM is known.
func (r *Registry) addEvidence(entry DigestEntry, now time.Time) bool {
	s := &r.shards[entry.Tag%shardCount]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.byTag[entry.Tag]
	if m == nil {
		return false
	}
	m.addEvidence(entry.Sequence, now.Add(-entry.Age))
	return true
}

func (m *member) record(now time.Time) MemberRecord {
	return MemberRecord{EntryVM: m.vm, Sequence: m.sequence, AgeMS: now.Sub(m.vm.LastHeartbeat).Milliseconds()}
}
