package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/questionnaire"
)

const questionnaireUsage = `
questionnaire [--answers FILE] [--out FILE]   generate a configuration from answers

Without --answers it asks each question and explains why an answer is invalid.
Store the result with "config apply".

Example:
  kumquathitch questionnaire --answers examples/laurentide.json --out site.json
`

type questionnaireCommand struct {
	Answers string `arg:"--answers" help:"answers in JSON; asked interactively when omitted"`
	Out     string `arg:"--out" help:"file for the configuration; standard output when omitted"`
}

func (c *questionnaireCommand) run(_ context.Context, out io.Writer) error {
	answers, err := c.read()
	if err != nil {
		return err
	}
	config, err := answers.Generate()
	if err != nil {
		return err
	}
	if c.Out == "" {
		return printJSON(out, config)
	}
	if err := writeFile(c.Out, config); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d accounts, %d models, %d adapters, %d upstreams\n", c.Out,
		len(config.Accounts), len(config.Models), len(config.Adapters), len(config.Upstreams))
	return err
}

func (c *questionnaireCommand) read() (questionnaire.Answers, error) {
	if c.Answers == "" {
		return questionnaire.Ask(os.Stdin, os.Stderr)
	}
	file, err := os.Open(c.Answers)
	if err != nil {
		return questionnaire.Answers{}, err
	}
	defer func() { _ = file.Close() }()
	answers, err := questionnaire.Read(file)
	if err != nil {
		var problems kumquathitch.Problems
		problems.Add("--answers", c.Answers, "answers in JSON: "+err.Error())
		return answers, problems.Err()
	}
	return answers, nil
}

func writeFile(name string, config kumquathitch.Configuration) error {
	file, err := os.Create(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	return errors.Join(printJSON(file, config), file.Close())
}
