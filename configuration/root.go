package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const (
	// RootKey is the store key of the root record of the newest generation.
	RootKey = "configuration/root"
	// sectionPrefix is the prefix of the keys of section records; the digest follows.
	sectionPrefix = "configuration/sections/"
	// targetSectionBytes is the largest mean size of the sections of a kind when their
	// number is chosen. At 65,000 changes per day, pushing one changed section of 4 kB
	// each takes 3 kB/s per VM.
	targetSectionBytes = 4 << 10
	// maxSectionBytes keeps each record below the store's limit of 1 MiB.
	maxSectionBytes = 900_000
	// digestBytes is the length of digests, which are truncated SHA-256 hashes. With
	// 128 bits, collisions are practically impossible.
	digestBytes = 16
	// maxWriteIDs is the number of write ids that a root keeps: those of 22 minutes at
	// 65,000 changes per day.
	maxWriteIDs = 1024
)

// Root lists the digests of all sections of one generation.
type Root struct {
	Generation uint64        `json:"generation"`
	WriteID    string        `json:"write-id"`
	Kinds      []KindDigests `json:"kinds"`               // In the order of the variable kinds.
	WriteIDs   []string      `json:"write-ids,omitempty"` // Ids of the last 1,024 writes, oldest first, including WriteID.
}

// KindDigests lists the digests of the sections of one kind of items. Items are
// assigned to sections by the hash of their name, so that a change to one item
// changes one section.
type KindDigests struct {
	Name    string   `json:"name"`
	Digests []string `json:"digests"`
}

// Section is a JSON array of NamedValue objects: some of the items of one kind.
type Section = json.RawMessage

// Sections maps digests to sections.
type Sections map[string]Section

var kinds = []string{
	kumquathitch.KindAccounts, kumquathitch.KindModels, kumquathitch.KindAdapters,
	kumquathitch.KindUpstreams, kumquathitch.KindRoutes, kumquathitch.KindSettings,
}

// DigestOf returns the digest of a section.
func DigestOf(section Section) string {
	sum := sha256.Sum256(section)
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}

// Digest returns a digest of the generation number and the section digests.
func (r *Root) Digest() string {
	encoded, _ := json.Marshal(r.Kinds) // Encoding strings cannot fail.
	return DigestOf(strconv.AppendUint(encoded, r.Generation, 10))
}

// sectionCount returns the number of sections of a kind, or 0 if the kind is missing.
func (r *Root) sectionCount(kind string) int {
	for _, k := range r.Kinds {
		if k.Name == kind {
			return len(k.Digests)
		}
	}
	return 0
}

// digestAt returns the digest of a section by kind and index, or "" if there is none.
func (r *Root) digestAt(kind string, index int) string {
	for _, k := range r.Kinds {
		if k.Name == kind && index >= 0 && index < len(k.Digests) {
			return k.Digests[index]
		}
	}
	return ""
}

// digests returns the digests of the sections of all kinds.
func (r *Root) digests() []string {
	var all []string
	for _, k := range r.Kinds {
		all = append(all, k.Digests...)
	}
	return all
}

// Encode splits a configuration into sections. It keeps the numbers of sections of
// the previous root unless sizes have changed considerably, so that a small change
// does not move items between sections.
func Encode(config kumquathitch.Configuration, previous Root) (Root, Sections, error) {
	items, err := config.Items()
	if err != nil {
		return Root{}, nil, err
	}
	root := Root{Generation: config.Generation}
	sections := Sections{}
	for _, kind := range kinds {
		values := itemsOfKind(kind, items)
		encoded, err := encodeSections(values, chooseSectionCount(values, previous.sectionCount(kind)))
		if err != nil {
			return Root{}, nil, err
		}
		updated := KindDigests{Name: kind}
		for _, section := range encoded {
			digest := DigestOf(section)
			sections[digest] = section
			updated.Digests = append(updated.Digests, digest)
		}
		root.Kinds = append(root.Kinds, updated)
	}
	return root, sections, nil
}

func itemsOfKind(kind string, items kumquathitch.Items) kumquathitch.Items {
	var found kumquathitch.Items
	for _, item := range items {
		if item.Kind == kind {
			found = append(found, item)
		}
	}
	return found
}

// chooseSectionCount returns the number of sections for the items of a kind. It keeps
// the previous number while the mean section size is below twice targetSectionBytes
// and, for more than one section, above a quarter of it. Otherwise it returns the lowest
// power of two that keeps the mean size within targetSectionBytes.
func chooseSectionCount(items kumquathitch.Items, previous int) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	if previous > 0 && size < 2*targetSectionBytes*previous && (previous == 1 || size > targetSectionBytes*previous/4) {
		return previous
	}
	count := 1
	for size > targetSectionBytes*count {
		count *= 2
	}
	return count
}

func encodeSections(items kumquathitch.Items, count int) ([]Section, error) {
	buckets := make([][]kumquathitch.Item, count)
	for _, item := range items {
		bucket := kumquathitch.ShardOf(item.Name, count)
		buckets[bucket] = append(buckets[bucket], item)
	}
	sections := make([]Section, 0, count)
	for _, bucket := range buckets {
		values := make([]NamedValue, 0, len(bucket)) // The encoding is the same for all kinds.
		for _, item := range bucket {
			values = append(values, NamedValue{Name: item.Name, Value: item.Value})
		}
		section, err := json.Marshal(values)
		if err != nil {
			return nil, eris.Wrap(err, "configuration.Encode")
		}
		if len(section) > maxSectionBytes {
			var problems kumquathitch.Problems
			problems.Add(bucket[0].Kind, bucket[0].Name, "an item that encodes to less than 900 kB")
			return nil, problems.Err()
		}
		sections = append(sections, section)
	}
	return sections, nil
}

// DecodedSection holds the items of a section. Only the field of its kind is set.
type DecodedSection struct {
	Accounts  kumquathitch.Accounts
	Models    kumquathitch.Models
	Adapters  kumquathitch.Adapters
	Upstreams kumquathitch.Upstreams
	Routes    kumquathitch.Routes
	Settings  []NamedValue
}

// NamedValue is an encoded item: an element of a section.
type NamedValue struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Decode decodes a configuration from its root and sections. It returns a
// *SectionError when a section is missing or does not match its digest. Items keep
// their order within a section.
func Decode(root Root, sections Sections) (kumquathitch.Configuration, error) {
	config, _, err := decodeReusing(root, sections, nil)
	return config, err
}

// decodeReusing decodes a configuration like Decode, but reuses the decoded sections in
// known. It also returns all decoded sections of the root. With 12,000 upstreams,
// decoding every section would take most of the CPU time that the control plane may use.
func decodeReusing(root Root, sections Sections, known map[string]DecodedSection) (kumquathitch.Configuration, map[string]DecodedSection, error) {
	var config kumquathitch.Configuration
	decoded := make(map[string]DecodedSection, len(known))
	settings := map[string]json.RawMessage{}
	for _, kind := range root.Kinds {
		for _, digest := range kind.Digests {
			// The key contains the kind because sections of two kinds can be equal, such as empty ones.
			section, ok := known[kind.Name+digest]
			if !ok {
				var err error
				if section, err = decodeSection(kind.Name, digest, sections); err != nil {
					return config, nil, err
				}
			}
			decoded[kind.Name+digest] = section
			config.Accounts = append(config.Accounts, section.Accounts...)
			config.Models = append(config.Models, section.Models...)
			config.Adapters = append(config.Adapters, section.Adapters...)
			config.Upstreams = append(config.Upstreams, section.Upstreams...)
			config.Routes = append(config.Routes, section.Routes...)
			for _, setting := range section.Settings {
				settings[setting.Name] = setting.Value
			}
		}
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return config, nil, eris.Wrap(err, "configuration.Decode")
	}
	if err := json.Unmarshal(encoded, &config); err != nil {
		return config, nil, eris.Wrap(err, "configuration.Decode")
	}
	config.Generation = root.Generation
	return config, decoded, nil
}

func decodeSection(kind, digest string, sections Sections) (DecodedSection, error) {
	var decoded DecodedSection
	section, ok := sections[digest]
	if !ok || DigestOf(section) != digest {
		return decoded, &SectionError{Kind: kind, Digest: digest, Missing: !ok}
	}
	var err error
	switch kind {
	case kumquathitch.KindAccounts:
		decoded.Accounts, err = decodeItems[kumquathitch.Account](section)
	case kumquathitch.KindModels:
		decoded.Models, err = decodeItems[kumquathitch.Model](section)
	case kumquathitch.KindAdapters:
		decoded.Adapters, err = decodeItems[kumquathitch.Adapter](section)
	case kumquathitch.KindUpstreams:
		decoded.Upstreams, err = decodeItems[kumquathitch.Upstream](section)
	case kumquathitch.KindRoutes:
		decoded.Routes, err = decodeItems[kumquathitch.Route](section)
	case kumquathitch.KindSettings:
		err = json.Unmarshal(section, &decoded.Settings)
	}
	return decoded, eris.Wrapf(err, "configuration.Decode: %s", kind)
}

func decodeItems[T any](section Section) ([]T, error) {
	var items []struct {
		Value T `json:"value"`
	}
	if err := json.Unmarshal(section, &items); err != nil {
		return nil, err
	}
	list := make([]T, 0, len(items))
	for _, item := range items {
		list = append(list, item.Value)
	}
	return list, nil
}

// SectionError reports a section that is missing or does not match its digest.
type SectionError struct {
	Kind    string
	Digest  string
	Missing bool
}

func (e *SectionError) Error() string {
	return "configuration.Decode: section " + e.Digest + " of " + e.Kind + ": missing=" + strconv.FormatBool(e.Missing)
}
