// Package configuration is the aggregate of configuration generations: it stores
// changes, replicates them between VMs, and holds the generation in force on this VM.
//
// # Usage
//
//	repository := &configuration.Repository{Store: store}
//	config, err := repository.Read(ctx)
//	config, err = repository.Write(ctx, config) // Writes the next generation.
//
//	current := configuration.NewCurrent(directory, buckets, fleet, table, server)
//	replica := configuration.NewReplica(current)
//	result, err := replica.ApplyDelta(delta) // Ignores generations that are not higher.
//
// A generation is stored as a root record that lists the digests of
// content-addressed sections. Sections are written before the root is replaced, so
// that a root never refers to a section that does not exist.
package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/model"
)

const (
	writeIDBytes = 8
	// maxResolveAttempts and resolveInterval limit to about 3 s the time in which the
	// result of a write is read back after its response was lost.
	maxResolveAttempts = 6
	resolveInterval    = 500 * time.Millisecond
)

// Repository reads and writes configurations in the platform's key-value service.
type Repository struct {
	Store kumquathitch.Store
}

// Read returns the newest configuration, or a *kumquathitch.NotFoundError when there is none.
func (r *Repository) Read(ctx context.Context) (kumquathitch.Configuration, error) {
	record, err := r.Store.Get(ctx, RootKey)
	if err != nil {
		return kumquathitch.Configuration{}, err
	}
	return r.decode(ctx, record)
}

func (r *Repository) decode(ctx context.Context, record kumquathitch.Record) (kumquathitch.Configuration, error) {
	root, err := DecodeRoot(record)
	if err != nil {
		return kumquathitch.Configuration{}, err
	}
	sections, err := r.FetchSections(ctx, root.digests())
	if err != nil {
		return kumquathitch.Configuration{}, err
	}
	return Decode(root, sections)
}

// DecodeRoot decodes a root record.
func DecodeRoot(record kumquathitch.Record) (Root, error) {
	var root Root
	err := json.Unmarshal(record.Value, &root)
	return root, eris.Wrap(err, "configuration.DecodeRoot")
}

// FetchSections returns the sections with the given digests.
func (r *Repository) FetchSections(ctx context.Context, digests []string) (Sections, error) {
	sections := Sections{}
	for _, digest := range digests {
		record, err := r.Store.Get(ctx, sectionPrefix+digest)
		if err != nil {
			return nil, err
		}
		sections[digest] = record.Value
	}
	return sections, nil
}

// Write stores a configuration as the successor of the generation in
// config.Generation, and returns it with its new generation. It returns a
// *kumquathitch.ValidationError, a *kumquathitch.ConfigurationConflictError when
// another change was written first, or a *kumquathitch.ConfigurationUnknownError
// when the response of the store was lost and the result could not be read back.
// After any error but the last, nothing has changed.
func (r *Repository) Write(ctx context.Context, config kumquathitch.Configuration) (kumquathitch.Configuration, error) {
	config.SetDefaults()
	if err := config.Validate(); err != nil {
		return config, err
	}
	record, old, err := r.readRoot(ctx)
	if err != nil {
		return config, err
	}
	if old.Generation != config.Generation {
		return config, r.conflictError(ctx, record, config)
	}
	if err := r.validateChange(ctx, record, config); err != nil {
		return config, err
	}
	base := config
	config.Generation++
	root, sections, err := Encode(config, old)
	if err != nil {
		return base, err
	}
	if err := r.writeSections(ctx, old, sections); err != nil {
		return base, err
	}
	root.WriteID = newWriteID()
	root.WriteIDs = appendWriteID(old.WriteIDs, root.WriteID)
	if err := r.swapRoot(ctx, record.Version, root, base); err != nil {
		return base, err
	}
	return config, nil
}

// validateChange returns a *kumquathitch.ValidationError if next is not a valid
// successor of the configuration in record, which is empty when there is none.
func (r *Repository) validateChange(ctx context.Context, record kumquathitch.Record, next kumquathitch.Configuration) error {
	var current kumquathitch.Configuration
	if record.Version != 0 {
		var err error
		if current, err = r.decode(ctx, record); err != nil {
			return err
		}
		if err := CheckWithdrawnKeys(current, next); err != nil {
			return err
		}
	}
	return model.CheckChange(current, next).Err()
}

// readRoot returns the root record and its root, both empty when there is none.
func (r *Repository) readRoot(ctx context.Context) (kumquathitch.Record, Root, error) {
	record, err := r.Store.Get(ctx, RootKey)
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return kumquathitch.Record{}, Root{}, nil
	}
	if err != nil {
		return record, Root{}, err
	}
	root, err := DecodeRoot(record)
	return record, root, err
}

// CheckWithdrawnKeys returns a *kumquathitch.ValidationError that names every withdrawn
// key of the current configuration that the next one removes or restores.
func CheckWithdrawnKeys(current, next kumquathitch.Configuration) error {
	withdrawn := map[string]bool{}
	for _, a := range next.Accounts {
		for _, k := range a.Keys {
			withdrawn[k.ID] = k.Withdrawn
		}
	}
	for _, id := range next.RetiredKeys {
		withdrawn[id] = true
	}
	var problems kumquathitch.Problems
	for _, id := range current.RetiredKeys {
		if !withdrawn[id] {
			problems.Add("retired-keys", id, "the key to stay listed, so that no older copy can restore it")
		}
	}
	for _, a := range current.Accounts {
		for _, k := range a.Keys {
			kept, listed := withdrawn[k.ID]
			field := fmt.Sprintf("accounts[%s].keys", a.Name)
			switch {
			case k.Withdrawn && !listed:
				problems.Add(field, k.ID, "the withdrawn key to stay listed, so that no older copy can restore it")
			case k.Withdrawn && !kept:
				problems.Add(field, k.ID, "the key to stay withdrawn; create a new key instead")
			}
		}
	}
	return problems.Err()
}

// writeSections creates the records of sections that are not in the old root.
func (r *Repository) writeSections(ctx context.Context, old Root, sections Sections) error {
	known := old.digests()
	for digest, section := range sections {
		if slices.Contains(known, digest) {
			continue
		}
		if err := r.writeSection(ctx, digest, section); err != nil {
			return err
		}
	}
	return nil
}

// writeSection creates the record of a section. It retries when the response is lost.
// This is safe since sections are content-addressed.
func (r *Repository) writeSection(ctx context.Context, digest string, section Section) error {
	var last error
	for range maxResolveAttempts {
		_, err := r.Store.CompareAndSwap(ctx, kumquathitch.Record{Key: sectionPrefix + digest, Value: section})
		var exists *kumquathitch.ConflictError
		if err == nil || (errors.As(err, &exists) && DigestOf(exists.Current.Value) == digest) {
			return nil
		}
		var failed *kumquathitch.StoreError
		if !errors.As(err, &failed) || !failed.Unknown {
			return err
		}
		last = err
	}
	return last
}

// swapRoot replaces the root record by compare-and-swap. If the response is lost, it
// reads back whether the write id has been stored. It does not retry the swap: a second
// one could succeed on top of a change that was made after the first had taken effect.
func (r *Repository) swapRoot(ctx context.Context, version uint64, root Root, base kumquathitch.Configuration) error {
	value, err := json.Marshal(root)
	if err != nil {
		return eris.Wrap(err, "Repository.Write")
	}
	_, err = r.Store.CompareAndSwap(ctx, kumquathitch.Record{Key: RootKey, Version: version, Value: value})
	if err == nil {
		return nil
	}
	var conflict *kumquathitch.ConflictError
	if errors.As(err, &conflict) {
		return r.conflictError(ctx, conflict.Current, base)
	}
	var failed *kumquathitch.StoreError
	if !errors.As(err, &failed) || !failed.Unknown {
		return err
	}
	return r.resolveUnknown(ctx, root, base, err)
}

func (r *Repository) resolveUnknown(ctx context.Context, root Root, base kumquathitch.Configuration, cause error) error {
	unknown := &kumquathitch.ConfigurationUnknownError{Generation: root.Generation, WriteID: root.WriteID, Cause: cause}
	for range maxResolveAttempts {
		record, found, err := r.readRoot(ctx)
		switch {
		case err == nil && slices.Contains(found.WriteIDs, root.WriteID):
			return nil
		case err == nil && found.Generation >= root.Generation+maxWriteIDs:
			return unknown // The write id may have been removed from the list since then.
		case err == nil && found.Generation >= root.Generation:
			return r.conflictError(ctx, record, base)
		}
		// The old root is still stored, but the write may still be in flight.
		if !clock.Pause(ctx, resolveInterval) {
			return unknown
		}
	}
	return unknown
}

// conflictError returns the error for a change to a configuration that another change
// has replaced in the meantime. record is the current root record.
func (r *Repository) conflictError(ctx context.Context, record kumquathitch.Record, refused kumquathitch.Configuration) error {
	conflict := &kumquathitch.ConfigurationConflictError{Base: refused.Generation}
	if record.Version == 0 {
		return conflict
	}
	current, err := r.decode(ctx, record)
	if err != nil {
		return err
	}
	conflict.Current = current.Generation
	conflict.Differences, err = kumquathitch.DiffConfigurations(&current, &refused)
	if err != nil {
		return err
	}
	return conflict
}

func newWriteID() string {
	id := make([]byte, writeIDBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(id)
}

func appendWriteID(ids []string, id string) []string {
	all := append(slices.Clone(ids), id)
	return all[max(0, len(all)-maxWriteIDs):]
}
