package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/platform"
)

const configUsage = `
config check --file FILE                 report all errors of a configuration
config apply --platform ADDR --file FILE store a configuration as the next generation
config diff --platform ADDR --file FILE  print the changes that "apply" would make
config show --platform ADDR              print the configuration in the store

Example:
  kumquathitch config apply --platform 10.0.0.2:7000 --file site.json
`

// storeTimeout is the timeout of one call to the key-value store.
const storeTimeout = 5 * time.Second

type configCommand struct {
	Check *configCheck `arg:"subcommand:check" help:"report all errors of a configuration"`
	Apply *configApply `arg:"subcommand:apply" help:"store a configuration as the next generation"`
	Diff  *configDiff  `arg:"subcommand:diff" help:"print the changes that apply would make"`
	Show  *configShow  `arg:"subcommand:show" help:"print the configuration in the store"`
}

type configCheck struct {
	File string `arg:"--file,required" help:"configuration in JSON"`
}

type configApply struct {
	File     string `arg:"--file,required" help:"configuration in JSON"`
	Platform string `arg:"--platform,required,env:KUMQUATHITCH_PLATFORM" help:"IP address and port of the platform's key-value service"`
}

type configDiff struct {
	storeFlags
	File string `arg:"--file,required" help:"configuration in JSON"`
}

type configShow struct {
	Platform string `arg:"--platform,required,env:KUMQUATHITCH_PLATFORM" help:"IP address and port of the platform's key-value service"`
}

func (c *configCheck) run(_ context.Context, out io.Writer) error {
	config, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	config.SetDefaults()
	if err := config.Validate(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d accounts, %d models, %d adapters, %d upstreams, %d routes: no problems\n", c.File,
		len(config.Accounts), len(config.Models), len(config.Adapters), len(config.Upstreams), len(config.Routes))
	return err
}

func (c *configApply) run(ctx context.Context, out io.Writer) error {
	config, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	repository := &configuration.Repository{Store: platform.NewStore(c.Platform, storeTimeout)}
	stored, err := repository.Write(ctx, config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "generation %d accepted\n", stored.Generation)
	return err
}

func (c *configDiff) run(ctx context.Context, out io.Writer) error {
	config, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	config.SetDefaults()
	current, err := c.repository().Read(ctx)
	if err != nil {
		return err
	}
	changes, err := kumquathitch.DiffConfigurations(&current, &config)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, changes)
	}
	_, err = fmt.Fprintln(out, changes)
	return err
}

func (c *configShow) run(ctx context.Context, out io.Writer) error {
	repository := &configuration.Repository{Store: platform.NewStore(c.Platform, storeTimeout)}
	config, err := repository.Read(ctx)
	var missing *kumquathitch.NotFoundError
	if errors.As(err, &missing) {
		return eris.New("config show: the store contains no configuration yet")
	}
	if err != nil {
		return err
	}
	return printJSON(out, config)
}

func readConfiguration(file string) (kumquathitch.Configuration, error) {
	var config kumquathitch.Configuration
	text, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return config, err
	}
	if err := json.Unmarshal(text, &config); err != nil {
		var problems kumquathitch.Problems
		problems.Add("--file", file, "a configuration in JSON: "+err.Error())
		return config, problems.Err()
	}
	return config, nil
}
