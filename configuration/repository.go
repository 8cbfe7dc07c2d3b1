// Package configuration is the aggregate of configuration generations: how an
// accepted change is stored, and which generation this VM has in force.
//
// # Usage
//
//	repository := &configuration.Repository{Store: store}
//	config, err := repository.Read(ctx)
//
//	current := configuration.NewCurrent(directory, ledger, fleet, table, server)
//	current.Apply(config) // Ignores generations that are not higher.
package configuration

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/model"
)

// RootKey is the key of the record that names the configuration in force.
const RootKey = "configuration/root"

// Repository keeps configurations in the platform's key-value service.
type Repository struct {
	Store kumquathitch.Store
}

// Read returns the newest configuration. It returns a *kumquathitch.NotFoundError when there is none.
func (r *Repository) Read(ctx context.Context) (kumquathitch.Configuration, error) {
	record, err := r.Store.Get(ctx, RootKey)
	if err != nil {
		return kumquathitch.Configuration{}, err
	}
	return Decode(record)
}

// Decode returns the configuration in a root record.
func Decode(record kumquathitch.Record) (kumquathitch.Configuration, error) {
	var config kumquathitch.Configuration
	if err := json.Unmarshal(record.Value, &config); err != nil {
		return config, eris.Wrap(err, "configuration.Decode")
	}
	return config, nil
}

// Write makes a checked configuration the successor of the generation that it
// carries, and returns it with its new generation. It returns a
// *kumquathitch.ValidationError, or a *kumquathitch.ConflictError when the
// generation in the store is another.
func (r *Repository) Write(ctx context.Context, config kumquathitch.Configuration) (kumquathitch.Configuration, error) {
	config.Defaults()
	if err := config.Validate(); err != nil {
		return config, err
	}
	old, err := r.Store.Get(ctx, RootKey)
	var missing *kumquathitch.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return config, err
	}
	var stored kumquathitch.Configuration
	if old.Version != 0 {
		if stored, err = Decode(old); err != nil {
			return config, err
		}
		if stored.Generation != config.Generation {
			return config, &kumquathitch.ConflictError{Key: RootKey, Want: config.Generation, Current: old}
		}
	}
	if err := model.CheckChange(stored, config).Err(); err != nil {
		return config, err
	}
	config.Generation++
	value, err := json.Marshal(config)
	if err != nil {
		return config, eris.Wrap(err, "Repository.Write")
	}
	_, err = r.Store.CompareAndSwap(ctx, kumquathitch.Record{Key: RootKey, Version: old.Version, Value: value})
	return config, err
}
