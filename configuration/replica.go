package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

const (
	// maxPastRoots is the number of roots that a VM keeps, so that it can send a
	// delta to a peer that is a few generations behind.
	maxPastRoots = 16
	// maxDeltaBytes and maxPullBytes limit the size of all sections in one message.
	maxDeltaBytes = 64 << 10
	maxPullBytes  = 512 << 10
	// PullBatchSize is the number of sections to request in one pull, about 512 kB.
	PullBatchSize = 128
)

// Delta is the difference between a generation and a later one.
type Delta struct {
	BaseGeneration uint64       `json:"base"` // Generation that the delta applies to; 0 for a delta that needs no base.
	Generation     uint64       `json:"generation"`
	RootDigest     string       `json:"digest"`             // Digest of the resulting root.
	Kinds          []KindChange `json:"kinds"`              // Changed kinds; all others are as in the base.
	Sections       []Section    `json:"sections,omitempty"` // New sections for which there is no patch, up to the message limit.
}

// KindChange holds the changes of a delta to the sections of one kind.
type KindChange struct {
	Kind         string          `json:"kind"`
	SectionCount int             `json:"count"` // Number of sections after the change.
	Sections     []SectionChange `json:"places,omitempty"`
}

// SectionChange is the new digest of the section at an index of a kind. If Set or
// Remove is not empty, they are a patch for the section that the base has at the
// index. A patch keeps the message for one changed item to a few hundred bytes.
type SectionChange struct {
	Index  int          `json:"place"`
	Digest string       `json:"digest"`
	Set    []NamedValue `json:"set,omitempty"`    // Items added or replaced, by name.
	Remove []string     `json:"remove,omitempty"` // Names of items removed.
}

// PullRequest asks a peer for a delta, or for sections.
type PullRequest struct {
	Generation uint64   `json:"generation"`        // Generation in force on the VM that sends the request.
	Digests    []string `json:"digests,omitempty"` // Digests of the sections that the VM lacks; empty to request a delta.
}

// ApplyResult is the result of applying a delta or a root.
type ApplyResult struct {
	Generation      uint64   `json:"generation"`        // Generation in force afterwards.
	Applied         bool     `json:"applied,omitempty"` // The new generation was put in force.
	BaseMismatch    bool     `json:"gap,omitempty"`     // The base of the delta is not the generation in force here.
	MissingSections []string `json:"missing,omitempty"` // Digests of the sections that are needed to apply it.
	DigestMismatch  bool     `json:"altered,omitempty"` // The root that results from the delta does not match RootDigest.
}

// Replica is a VM's copy of the configuration in force, encoded as a root and
// sections as VMs exchange it. Its generation never decreases. It is safe for
// concurrent use.
type Replica struct {
	current *Current

	mutex     sync.Mutex
	root      Root
	sections  Sections
	decoded   map[string]DecodedSection // Decoded sections of the root in force, by kind and digest.
	replaced  Sections                  // Sections that the last change replaced; needed to compute patches.
	pastRoots []Root                    // Oldest first; the last one is the root in force.
}

// NewReplica returns a replica without a configuration. It passes each new
// configuration to current.
func NewReplica(current *Current) *Replica {
	return &Replica{current: current, sections: Sections{}}
}

// Generation returns the generation in force, or 0 if there is none.
func (r *Replica) Generation() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.root.Generation
}

// MissingSections returns the digests of the root's sections that the replica lacks.
func (r *Replica) MissingSections(root Root) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.missing(root, nil)
}

func (r *Replica) missing(root Root, received Sections) []string {
	var missing []string
	for _, digest := range root.digests() {
		_, stored := r.sections[digest]
		_, found := received[digest]
		if !stored && !found {
			missing = append(missing, digest)
		}
	}
	return missing
}

// ApplyRoot puts a root that was read from the store in force. fetched are the
// sections that MissingSections returned for it.
func (r *Replica) ApplyRoot(root Root, fetched Sections) (ApplyResult, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	root.WriteIDs = nil // They are only needed to write to the store.
	return r.apply(root, fetched)
}

// ApplyDelta puts a delta from a peer in force if its generation is higher, all its
// sections are available, and all digests match.
func (r *Replica) ApplyDelta(d Delta) (ApplyResult, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d.Generation <= r.root.Generation {
		return ApplyResult{Generation: r.root.Generation}, nil
	}
	if d.BaseGeneration != 0 && d.BaseGeneration != r.root.Generation {
		return ApplyResult{Generation: r.root.Generation, BaseMismatch: true}, nil
	}
	var base Root
	if d.BaseGeneration != 0 {
		base = r.root
	}
	root := d.newRoot(base)
	if root.Digest() != d.RootDigest {
		return ApplyResult{Generation: r.root.Generation, DigestMismatch: true}, nil
	}
	received := Sections{}
	for _, section := range d.Sections {
		received[DigestOf(section)] = section
	}
	r.applyPatches(d, base, received)
	return r.apply(root, received)
}

// apply must be called with the mutex locked, so that Current gets the generations
// in order.
func (r *Replica) apply(root Root, received Sections) (ApplyResult, error) {
	if root.Generation <= r.root.Generation {
		return ApplyResult{Generation: r.root.Generation}, nil
	}
	if missing := r.missing(root, received); len(missing) > 0 {
		return ApplyResult{Generation: r.root.Generation, MissingSections: missing}, nil
	}
	all := Sections{}
	for _, digest := range root.digests() {
		all[digest] = r.sections[digest]
		if section, ok := received[digest]; ok {
			all[digest] = section
		}
	}
	config, decoded, err := decodeReusing(root, all, r.decoded)
	if err != nil {
		return ApplyResult{Generation: r.root.Generation}, err
	}
	r.replaced = Sections{}
	for _, digest := range r.root.digests() {
		if _, kept := all[digest]; !kept {
			r.replaced[digest] = r.sections[digest]
		}
	}
	r.root, r.sections, r.decoded = root, all, decoded
	r.pastRoots = append(r.pastRoots, root)
	r.pastRoots = slices.Clone(r.pastRoots[max(0, len(r.pastRoots)-maxPastRoots):])
	applied := r.current.Apply(config)
	return ApplyResult{Generation: root.Generation, Applied: applied}, nil
}

// applyPatches adds the sections that result from the patches of a delta to received.
func (r *Replica) applyPatches(d Delta, base Root, received Sections) {
	for _, change := range d.Kinds {
		for _, changed := range change.Sections {
			old := base.digestAt(change.Kind, changed.Index)
			if section, ok := changed.applyPatch(r.sections[old]); ok {
				received[changed.Digest] = section
			}
		}
	}
}

// applyPatch returns the section that results from applying the patch to an old
// section, and whether the result has the expected digest.
func (c *SectionChange) applyPatch(old Section) (Section, bool) {
	if old == nil || (len(c.Set) == 0 && len(c.Remove) == 0) {
		return nil, false
	}
	var items []NamedValue
	if err := json.Unmarshal(old, &items); err != nil {
		return nil, false
	}
	items = slices.DeleteFunc(items, func(item NamedValue) bool { return slices.Contains(c.Remove, item.Name) })
	for _, set := range c.Set {
		at := slices.IndexFunc(items, func(item NamedValue) bool { return item.Name == set.Name })
		if at < 0 {
			items = append(items, set)
			continue
		}
		items[at] = set
	}
	section, err := json.Marshal(items)
	return section, err == nil && DigestOf(section) == c.Digest
}

// trySetPatch sets Set and Remove to the difference between the old and the new
// section. It reports false if that patch does not result in the new section.
func (c *SectionChange) trySetPatch(old, updated Section) bool {
	var before, after []NamedValue
	if old == nil || json.Unmarshal(old, &before) != nil || json.Unmarshal(updated, &after) != nil {
		return false
	}
	oldValues := map[string]json.RawMessage{}
	for _, item := range before {
		oldValues[item.Name] = item.Value
	}
	for _, item := range after {
		if !bytes.Equal(oldValues[item.Name], item.Value) {
			c.Set = append(c.Set, item)
		}
		delete(oldValues, item.Name)
	}
	for name := range oldValues {
		c.Remove = append(c.Remove, name)
	}
	if _, ok := c.applyPatch(old); !ok {
		c.Set, c.Remove = nil, nil
		return false
	}
	return true
}

// newRoot returns the root that results from applying a delta to its base.
func (d *Delta) newRoot(base Root) Root {
	root := Root{Generation: d.Generation, Kinds: slices.Clone(base.Kinds)}
	for _, change := range d.Kinds {
		updated := KindDigests{Name: change.Kind, Digests: make([]string, max(0, min(change.SectionCount, maxSections)))}
		at := slices.IndexFunc(root.Kinds, func(k KindDigests) bool { return k.Name == change.Kind })
		if at >= 0 {
			copy(updated.Digests, root.Kinds[at].Digests)
		}
		for _, changed := range change.Sections {
			if changed.Index >= 0 && changed.Index < len(updated.Digests) {
				updated.Digests[changed.Index] = changed.Digest
			}
		}
		if at >= 0 {
			root.Kinds[at] = updated
			continue
		}
		root.Kinds = append(root.Kinds, updated)
	}
	return root
}

// maxSections limits the memory that a malformed delta can make a VM allocate. It
// corresponds to 64 MB of configuration, the memory limit of the control plane.
const maxSections = 64 << 20 / targetSectionBytes

// DeltaSince returns the delta from a generation to the one in force, with as many
// of its sections as fit into one message. If the generation is no longer known, the
// delta has no base and lists all sections.
func (r *Replica) DeltaSince(generation uint64) Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var base Root
	for _, past := range r.pastRoots {
		if past.Generation == generation {
			base = past
		}
	}
	d := Delta{BaseGeneration: base.Generation, Generation: r.root.Generation, RootDigest: r.root.Digest()}
	size := 0
	for _, kind := range r.root.Kinds {
		change := kind.changesSince(base)
		if len(change.Sections) == 0 && change.SectionCount == base.sectionCount(kind.Name) {
			continue
		}
		for i := range change.Sections {
			changed := &change.Sections[i]
			section := r.sections[changed.Digest]
			if changed.trySetPatch(r.replaced[base.digestAt(kind.Name, changed.Index)], section) {
				continue
			}
			if size += len(section); size <= maxDeltaBytes {
				d.Sections = append(d.Sections, section)
			}
		}
		d.Kinds = append(d.Kinds, change)
	}
	return d
}

func (k *KindDigests) changesSince(base Root) KindChange {
	var old []string
	for _, b := range base.Kinds {
		if b.Name == k.Name {
			old = b.Digests
		}
	}
	change := KindChange{Kind: k.Name, SectionCount: len(k.Digests)}
	for index, digest := range k.Digests {
		if index >= len(old) || old[index] != digest {
			change.Sections = append(change.Sections, SectionChange{Index: index, Digest: digest})
		}
	}
	return change
}

// HandlePull returns the delta since the generation in the request or, if the
// request lists digests, those sections that are stored here and fit into one message.
func (r *Replica) HandlePull(p PullRequest) Delta {
	if len(p.Digests) == 0 {
		return r.DeltaSince(p.Generation)
	}
	r.mutex.Lock()
	stored := maps.Clone(r.sections)
	d := Delta{Generation: r.root.Generation}
	r.mutex.Unlock()
	size := 0
	for _, digest := range p.Digests {
		section, ok := stored[digest]
		if size += len(section); ok && (size <= maxPullBytes || len(d.Sections) == 0) {
			d.Sections = append(d.Sections, section)
		}
	}
	return d
}
