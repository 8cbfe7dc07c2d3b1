package kumquathitch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Kinds of configuration items.
const (
	KindAccounts  = "accounts"
	KindModels    = "models"
	KindAdapters  = "adapters"
	KindUpstreams = "upstreams"
	KindRoutes    = "routes"
	KindSettings  = "settings"
)

// Values of Difference.Change.
const (
	ChangeAdded    = "added"
	ChangeRemoved  = "removed"
	ChangeModified = "changed"
)

// Difference is one item that differs between two configurations.
type Difference struct {
	Kind   string `json:"kind"`   // KindAccounts, KindModels and so on.
	Name   string `json:"name"`   // Name of the item; method and path for a route; JSON field name for a setting.
	Change string `json:"change"` // ChangeAdded, ChangeRemoved or ChangeModified.
}

// Differences is a list of differences, sorted by kind and name.
type Differences []Difference

// String returns one line for each difference.
func (d Differences) String() string {
	lines := make([]string, 0, len(d))
	for _, difference := range d {
		lines = append(lines, fmt.Sprintf("%s %s %q", difference.Change, difference.Kind, difference.Name))
	}
	return strings.Join(lines, "\n")
}

// Item is a named part of a configuration, encoded as JSON.
type Item struct {
	Kind  string
	Name  string
	Value json.RawMessage
}

// Items is a list of configuration items.
type Items []Item

// Items splits a configuration into items: one for each account, model, adapter,
// upstream and route, and one for each other field except the generation.
func (c *Configuration) Items() (Items, error) {
	var items Items
	var firstErr error
	add := func(kind, name string, value any) {
		encoded, err := json.Marshal(value)
		if err != nil && firstErr == nil {
			firstErr = fmt.Errorf("Configuration.Items: %s %q: %w", kind, name, err)
		}
		items = append(items, Item{Kind: kind, Name: name, Value: encoded})
	}
	for _, a := range c.Accounts {
		add(KindAccounts, a.Name, a)
	}
	for _, m := range c.Models {
		add(KindModels, m.Name, m)
	}
	for _, a := range c.Adapters {
		add(KindAdapters, a.Name, a)
	}
	for _, u := range c.Upstreams {
		add(KindUpstreams, u.Name, u)
	}
	for _, r := range c.Routes {
		add(KindRoutes, r.Method+" "+r.Path, r)
	}
	settings, err := c.settings()
	if err != nil {
		return nil, err
	}
	return append(items, settings...), firstErr
}

// settings returns the fields that are not lists of named parts. It takes them
// from the encoded form, which includes fields that are added to Configuration later.
func (c *Configuration) settings() (Items, error) {
	rest := *c
	rest.Generation = 0
	rest.Accounts, rest.Models, rest.Adapters, rest.Upstreams, rest.Routes = nil, nil, nil, nil, nil
	encoded, err := json.Marshal(rest)
	if err != nil {
		return nil, fmt.Errorf("Configuration.Items: %w", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return nil, fmt.Errorf("Configuration.Items: %w", err)
	}
	var items Items
	for name, value := range fields {
		if !slices.Contains([]string{"generation", KindAccounts, KindModels, KindAdapters, KindUpstreams, KindRoutes}, name) {
			items = append(items, Item{Kind: KindSettings, Name: name, Value: value})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items, nil
}

// DiffConfigurations returns the items that differ between two configurations.
func DiffConfigurations(from, to *Configuration) (Differences, error) {
	before, err := from.Items()
	if err != nil {
		return nil, err
	}
	after, err := to.Items()
	if err != nil {
		return nil, err
	}
	type itemKey struct{ kind, name string }
	old := make(map[itemKey]json.RawMessage, len(before))
	for _, item := range before {
		old[itemKey{item.Kind, item.Name}] = item.Value
	}
	var differences Differences
	for _, item := range after {
		key := itemKey{item.Kind, item.Name}
		value, known := old[key]
		delete(old, key)
		switch {
		case !known:
			differences = append(differences, Difference{Kind: item.Kind, Name: item.Name, Change: ChangeAdded})
		case !bytes.Equal(value, item.Value):
			differences = append(differences, Difference{Kind: item.Kind, Name: item.Name, Change: ChangeModified})
		}
	}
	for key := range old {
		differences = append(differences, Difference{Kind: key.kind, Name: key.name, Change: ChangeRemoved})
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return strings.Compare(a.Kind+"\x00"+a.Name, b.Kind+"\x00"+b.Name)
	})
	return differences, nil
}

// ConfigurationConflictError reports that another operator's change was accepted
// first. No part of the refused change takes effect.
type ConfigurationConflictError struct {
	Base        uint64      // Generation that the refused change is based on.
	Current     uint64      // Generation in the store.
	Differences Differences // What the refused change would alter in the current generation.
}

func (e *ConfigurationConflictError) Error() string {
	return fmt.Sprintf("Repository.Write: the change starts from generation %d, but generation %d is in force; the change would have\n%s",
		e.Base, e.Current, e.Differences)
}

// ConfigurationUnknownError reports that the response to a change was lost and
// that reading the store did not show the outcome. The change may have taken
// effect or may still do so.
type ConfigurationUnknownError struct {
	Generation uint64 // Generation that the change creates if it was accepted.
	WriteID    string
	Cause      error
}

func (e *ConfigurationUnknownError) Error() string {
	return fmt.Sprintf("Repository.Write: it is not known whether generation %d (write id %s) was accepted; read the configuration before trying again: %v",
		e.Generation, e.WriteID, e.Cause)
}

// Unwrap returns the cause.
func (e *ConfigurationUnknownError) Unwrap() error {
	return e.Cause
}
