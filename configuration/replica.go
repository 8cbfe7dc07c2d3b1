package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

const (
	// keptRoots is how many past roots a VM keeps, to tell a peer that is a few
	// generations behind only what changed.
	keptRoots = 16
	// maxDeltaBytes and maxPullBytes bound the sections in one message.
	maxDeltaBytes = 64 << 10
	maxPullBytes  = 512 << 10
	// PullBatch is the number of sections to ask for at once, about 512 kB.
	PullBatch = 128
)

// Delta is what turns one generation into a higher one.
type Delta struct {
	Base       uint64    `json:"base"` // Generation that the changes start from; 0 for none.
	Generation uint64    `json:"generation"`
	Digest     string    `json:"digest"`             // Of the resulting root.
	Kinds      []Change  `json:"kinds"`              // Kinds that are not listed stay as they are in the base.
	Sections   []Section `json:"sections,omitempty"` // Those of the changes that have no patch, as far as they fit.
}

// Change is what a delta changes in one kind.
type Change struct {
	Kind   string   `json:"kind"`
	Count  int      `json:"count"` // Number of sections.
	Places []Digest `json:"places,omitempty"`
}

// Digest is a section's new digest at its place in a kind. With Set or Remove
// it is a patch of the section that the base has at the place, which keeps the
// message for one changed part at some hundred bytes.
type Digest struct {
	Place  int       `json:"place"`
	Digest string    `json:"digest"`
	Set    []Setting `json:"set,omitempty"`    // Parts added or replaced, by name.
	Remove []string  `json:"remove,omitempty"` // Names of parts removed.
}

// Pull asks a peer for its generation, or for sections.
type Pull struct {
	Generation uint64   `json:"generation"`        // That the asking VM has in force.
	Digests    []string `json:"digests,omitempty"` // Sections that it lacks; empty to ask for the delta.
}

// Offered is what became of a delta.
type Offered struct {
	Generation uint64   `json:"generation"`        // In force after it.
	Applied    bool     `json:"applied,omitempty"` // The delta was put in force.
	Gap        bool     `json:"gap,omitempty"`     // The delta starts from a generation that is not in force here.
	Missing    []string `json:"missing,omitempty"` // Sections without which the delta cannot be applied.
	Altered    bool     `json:"altered,omitempty"` // A digest did not match.
}

// Replica is a VM's copy of the configuration in force, in the form in which it
// spreads. Its generation only rises. It is safe for concurrent use.
type Replica struct {
	current *Current

	mutex    sync.Mutex
	root     Root
	sections Sections
	decoded  map[string]Parts // Of the sections in force, by kind and digest.
	replaced Sections         // Those that the last change replaced, to make patches of.
	past     []Root           // Oldest first, the root in force last.
}

// NewReplica returns a replica without a configuration, which applies to current.
func NewReplica(current *Current) *Replica {
	return &Replica{current: current, sections: Sections{}}
}

// Generation returns the generation in force, 0 for none.
func (r *Replica) Generation() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.root.Generation
}

// Missing returns the digests of the sections that a root names and the replica lacks.
func (r *Replica) Missing(root Root) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.missing(root, nil)
}

func (r *Replica) missing(root Root, offered Sections) []string {
	var missing []string
	for _, digest := range root.digests() {
		_, held := r.sections[digest]
		_, sent := offered[digest]
		if !held && !sent {
			missing = append(missing, digest)
		}
	}
	return missing
}

// Accept puts a root of the store in force, with the sections that were missing.
func (r *Replica) Accept(root Root, fetched Sections) (Offered, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	root.WriteIDs = nil // Only writers need them.
	return r.apply(root, fetched)
}

// Offer puts a delta of a peer in force when its generation is higher, all its
// sections are there, and all digests match.
func (r *Replica) Offer(d Delta) (Offered, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if d.Generation <= r.root.Generation {
		return Offered{Generation: r.root.Generation}, nil
	}
	if d.Base != 0 && d.Base != r.root.Generation {
		return Offered{Generation: r.root.Generation, Gap: true}, nil
	}
	var base Root
	if d.Base != 0 {
		base = r.root
	}
	root := d.root(base)
	if root.Digest() != d.Digest {
		return Offered{Generation: r.root.Generation, Altered: true}, nil
	}
	offered := Sections{}
	for _, section := range d.Sections {
		offered[DigestOf(section)] = section
	}
	r.patch(d, base, offered)
	return r.apply(root, offered)
}

// apply is called under the lock, so that generations reach Current in order.
func (r *Replica) apply(root Root, offered Sections) (Offered, error) {
	if root.Generation <= r.root.Generation {
		return Offered{Generation: r.root.Generation}, nil
	}
	if missing := r.missing(root, offered); len(missing) > 0 {
		return Offered{Generation: r.root.Generation, Missing: missing}, nil
	}
	all := Sections{}
	for _, digest := range root.digests() {
		all[digest] = r.sections[digest]
		if section, ok := offered[digest]; ok {
			all[digest] = section
		}
	}
	config, decoded, err := decodeWith(root, all, r.decoded)
	if err != nil {
		return Offered{Generation: r.root.Generation}, err
	}
	r.replaced = Sections{}
	for _, digest := range r.root.digests() {
		if _, kept := all[digest]; !kept {
			r.replaced[digest] = r.sections[digest]
		}
	}
	r.root, r.sections, r.decoded = root, all, decoded
	r.past = append(r.past, root)
	r.past = slices.Clone(r.past[max(0, len(r.past)-keptRoots):])
	applied := r.current.Apply(config)
	return Offered{Generation: root.Generation, Applied: applied}, nil
}

// patch adds the sections that patches make of those of the base.
func (r *Replica) patch(d Delta, base Root, offered Sections) {
	for _, change := range d.Kinds {
		for _, at := range change.Places {
			old := base.at(change.Kind, at.Place)
			if section, ok := at.patch(r.sections[old]); ok {
				offered[at.Digest] = section
			}
		}
	}
}

// patch returns the section that a patch makes of an old one, and whether it is the one meant.
func (p *Digest) patch(old Section) (Section, bool) {
	if old == nil || (len(p.Set) == 0 && len(p.Remove) == 0) {
		return nil, false
	}
	var items []Setting
	if err := json.Unmarshal(old, &items); err != nil {
		return nil, false
	}
	items = slices.DeleteFunc(items, func(item Setting) bool { return slices.Contains(p.Remove, item.Name) })
	for _, set := range p.Set {
		at := slices.IndexFunc(items, func(item Setting) bool { return item.Name == set.Name })
		if at < 0 {
			items = append(items, set)
			continue
		}
		items[at] = set
	}
	section, err := json.Marshal(items)
	return section, err == nil && DigestOf(section) == p.Digest
}

// patchOf makes a place's entry a patch of an old section, unless that does not give the new one.
func (p *Digest) patchOf(old, fresh Section) bool {
	var before, after []Setting
	if old == nil || json.Unmarshal(old, &before) != nil || json.Unmarshal(fresh, &after) != nil {
		return false
	}
	was := map[string]json.RawMessage{}
	for _, item := range before {
		was[item.Name] = item.Value
	}
	for _, item := range after {
		if !bytes.Equal(was[item.Name], item.Value) {
			p.Set = append(p.Set, item)
		}
		delete(was, item.Name)
	}
	for name := range was {
		p.Remove = append(p.Remove, name)
	}
	if _, ok := p.patch(old); !ok {
		p.Set, p.Remove = nil, nil
		return false
	}
	return true
}

// root returns the root that a delta makes of its base.
func (d *Delta) root(base Root) Root {
	root := Root{Generation: d.Generation, Kinds: slices.Clone(base.Kinds)}
	for _, change := range d.Kinds {
		fresh := Kind{Name: change.Kind, Digests: make([]string, max(0, min(change.Count, maxSections)))}
		at := slices.IndexFunc(root.Kinds, func(k Kind) bool { return k.Name == change.Kind })
		if at >= 0 {
			copy(fresh.Digests, root.Kinds[at].Digests)
		}
		for _, p := range change.Places {
			if p.Place >= 0 && p.Place < len(fresh.Digests) {
				fresh.Digests[p.Place] = p.Digest
			}
		}
		if at >= 0 {
			root.Kinds[at] = fresh
			continue
		}
		root.Kinds = append(root.Kinds, fresh)
	}
	return root
}

// maxSections bounds what a malformed delta can make a VM allocate: 64 MB of
// configuration, the whole memory that control may take.
const maxSections = 64 << 20 / partBytes

// Since returns the delta from a generation to the one in force, with its
// sections as far as they fit in one message. A base that is not known any more gives the whole root.
func (r *Replica) Since(generation uint64) Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var base Root
	for _, past := range r.past {
		if past.Generation == generation {
			base = past
		}
	}
	d := Delta{Base: base.Generation, Generation: r.root.Generation, Digest: r.root.Digest()}
	size := 0
	for _, kind := range r.root.Kinds {
		change := kind.since(base)
		if len(change.Places) == 0 && change.Count == base.count(kind.Name) {
			continue
		}
		for i := range change.Places {
			at := &change.Places[i]
			section := r.sections[at.Digest]
			if at.patchOf(r.replaced[base.at(kind.Name, at.Place)], section) {
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

func (k *Kind) since(base Root) Change {
	var old []string
	for _, b := range base.Kinds {
		if b.Name == k.Name {
			old = b.Digests
		}
	}
	change := Change{Kind: k.Name, Count: len(k.Digests)}
	for place, digest := range k.Digests {
		if place >= len(old) || old[place] != digest {
			change.Places = append(change.Places, Digest{Place: place, Digest: digest})
		}
	}
	return change
}

// Answer answers a pull: the delta from the asking VM's generation, or the
// sections that it names, as far as they are here and fit in one message.
func (r *Replica) Answer(p Pull) Delta {
	if len(p.Digests) == 0 {
		return r.Since(p.Generation)
	}
	r.mutex.Lock()
	held := maps.Clone(r.sections)
	d := Delta{Generation: r.root.Generation}
	r.mutex.Unlock()
	size := 0
	for _, digest := range p.Digests {
		section, ok := held[digest]
		if size += len(section); ok && (size <= maxPullBytes || len(d.Sections) == 0) {
			d.Sections = append(d.Sections, section)
		}
	}
	return d
}
