package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/platform"
)

// storeFlags are the flags of subcommands that use the configuration in the store.
type storeFlags struct {
	Platform string `arg:"--platform,required,env:KUMQUATHITCH_PLATFORM" help:"IP address and port of the platform's key-value service"`
	JSON     bool   `arg:"--json" help:"print JSON with kebab-case names"`
}

func (f *storeFlags) repository() *configuration.Repository {
	return &configuration.Repository{Store: platform.NewStore(f.Platform, storeTimeout)}
}

// edit reads the configuration, changes it, writes it as the next generation and prints
// the differences. When another operator has written a generation meanwhile, the
// error describes how this edit would change that generation.
func (f *storeFlags) edit(ctx context.Context, out io.Writer, change func(config *kumquathitch.Configuration) error) error {
	repository := f.repository()
	current, err := repository.Read(ctx)
	if err != nil {
		return err
	}
	config, err := clone(&current)
	if err != nil {
		return err
	}
	if err := change(&config); err != nil {
		return err
	}
	stored, err := repository.Write(ctx, config)
	if err != nil {
		return err
	}
	changes, err := kumquathitch.DiffConfigurations(&current, &stored)
	if err != nil {
		return err
	}
	return f.printEdit(out, changes, stored.Generation)
}

// clone returns a deep copy.
func clone(config *kumquathitch.Configuration) (kumquathitch.Configuration, error) {
	var copied kumquathitch.Configuration
	encoded, err := json.Marshal(config)
	if err != nil {
		return copied, err
	}
	return copied, json.Unmarshal(encoded, &copied)
}

// editResult is the JSON output of an edit.
type editResult struct {
	Generation uint64                   `json:"generation"`
	Changes    kumquathitch.Differences `json:"changes"`
}

func (f *storeFlags) printEdit(out io.Writer, changes kumquathitch.Differences, generation uint64) error {
	if f.JSON {
		return printJSON(out, editResult{Generation: generation, Changes: changes})
	}
	_, err := fmt.Fprintf(out, "%s\ngeneration %d accepted\n", changes, generation)
	return err
}

// notListed returns the error for a name that the configuration does not contain.
func notListed(field, name, allowed string) error {
	var problems kumquathitch.Problems
	problems.Add(field, name, allowed)
	return problems.Err()
}
