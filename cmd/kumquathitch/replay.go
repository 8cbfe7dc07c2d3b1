package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/replay"
	"kumquathitch.example/kumquathitch/trace"
)

const replayUsage = `
replay --config FILE --trace FILE                replay a recorded trace in virtual time
replay --config FILE --scenario NAME [--write-trace FILE]  generate a trace and replay it

Prints the four measures for kumquathitch and the baselines, and the ratio to
the first baseline. Scenarios: quiet-day, noisy-tenant, demand-move,
upstream-lost, data-centre-cut.

Example:
  kumquathitch questionnaire --answers examples/laurentide.json --out site.json
  kumquathitch replay --config site.json --scenario noisy-tenant --plot noisy.svg
`

type replayCommand struct {
	Config     string  `arg:"--config,required" help:"configuration in JSON"`
	Trace      string  `arg:"--trace" help:"recorded trace"`
	Scenario   string  `arg:"--scenario" help:"scenario of a generated trace, when --trace is omitted" default:"quiet-day"`
	Seconds    int     `arg:"--seconds" help:"length of a generated trace, seconds" default:"600"`
	Load       float64 `arg:"--load" help:"fraction of each account's rate that a generated trace uses" default:"0.6"`
	Seed       uint64  `arg:"--seed" help:"seed of a generated trace" default:"1"`
	WriteTrace string  `arg:"--write-trace" help:"file for the generated trace"`
	Plot       string  `arg:"--plot" help:"file for a plot, .svg or .png"`
	JSON       bool    `arg:"--json" help:"print JSON with kebab-case names"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	config, err := readConfiguration(c.Config)
	if err != nil {
		return err
	}
	config.SetDefaults()
	if err := config.Validate(); err != nil {
		return err
	}
	events, err := c.loadTrace(&config)
	if err != nil {
		return err
	}
	var results []replay.Measures
	for _, policy := range replay.Policies {
		results = append(results, replay.Run(&config, events, policy))
	}
	if c.Plot != "" {
		if err := replay.Plot(results, c.title(), c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(out, results)
	}
	return printMeasures(out, results)
}

func (c *replayCommand) title() string {
	if c.Trace != "" {
		return c.Trace
	}
	return fmt.Sprintf("%s, %d s, load %.2f, seed %d", c.Scenario, c.Seconds, c.Load, c.Seed)
}

func (c *replayCommand) loadTrace(config *kumquathitch.Configuration) (trace.Events, error) {
	if c.Trace != "" {
		file, err := os.Open(c.Trace)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		return trace.Read(file)
	}
	var problems kumquathitch.Problems
	if !slices.Contains(trace.Scenarios, c.Scenario) {
		problems.Add("--scenario", c.Scenario, "one of "+strings.Join(trace.Scenarios, ", "))
	}
	if c.Seconds <= 0 {
		problems.Add("--seconds", c.Seconds, "a length above 0")
	}
	if c.Load <= 0 || c.Load > 1 {
		problems.Add("--load", c.Load, "a number above 0 and at most 1")
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	events := trace.Generate(config, trace.Settings{Scenario: c.Scenario, Seconds: c.Seconds, Load: c.Load, Seed: c.Seed})
	return events, c.writeTrace(events)
}

func (c *replayCommand) writeTrace(events trace.Events) error {
	if c.WriteTrace == "" {
		return nil
	}
	file, err := os.Create(c.WriteTrace)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return events.Write(file)
}

// printMeasures prints a column for each policy, and one with the ratio of the first
// policy to the second.
func printMeasures(out io.Writer, results []replay.Measures) error {
	rows := [][]string{{"MEASURE"}}
	for _, m := range results {
		rows[0] = append(rows[0], m.Policy)
	}
	rows[0] = append(rows[0], results[0].Policy+"/"+results[1].Policy)
	add := func(name string, value func(m *replay.Measures) float64) {
		row := []string{name}
		for i := range results {
			row = append(row, fmt.Sprintf("%.4g", value(&results[i])))
		}
		rows = append(rows, append(row, ratio(value(&results[0]), value(&results[1]))))
	}
	add("attained per accelerator and hour", func(m *replay.Measures) float64 { return m.AttainedPerAcceleratorHr })
	add("attainment", func(m *replay.Measures) float64 { return m.Attainment })
	add("model moves", func(m *replay.Measures) float64 { return float64(m.ModelMoves) })
	add("worst-served account, served", func(m *replay.Measures) float64 { return m.WorstServed.ServedFraction })
	add("refused inside the rate", func(m *replay.Measures) float64 { return float64(m.RefusedInsideRate) })
	return printTable(out, rows)
}

func ratio(value, baseline float64) string {
	if baseline == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value/baseline)
}
