package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/deploy"
	"magnoliaworks/stand/load"
)

// loadCommand runs an experiment and writes its report.
type loadCommand struct {
	Deployment string        `long:"deployment" default:"valparaiso" value-name:"NAME" description:"embedded deployment: valparaiso or arangam"`
	Rate       float64       `long:"rate" default:"200" description:"mean number of requests a second"`
	Duration   time.Duration `long:"duration" default:"10s" description:"measured time"`
	Settle     time.Duration `long:"settle" default:"2s" description:"time under load before the measured time"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals, kinds and service times"`
	Hosts      int           `long:"hosts" default:"8" description:"number of hosts"`
	Faults     string        `long:"faults" value-name:"LIST" description:"faults NAME, NAME@START or NAME@START-END, such as straggler,store_down@2s-6s; times count from the start of the measured time"`
	Target     []string      `long:"target" value-name:"ADDRESS" description:"callers' address of a running host; may be repeated. Only what the answers show is then checked"`
	Policy     string        `long:"policy" default:"full" choice:"full" choice:"naive" description:"how hosts choose replicas"`
	Report     string        `long:"report" value-name:"FILE" default:"-" description:"file for the JSON report; - is standard output"`
	LogLevel   string        `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level of log messages"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	p, err := deploy.Embedded(c.Deployment)
	if err != nil {
		return usageError{err}
	}
	faults, err := load.ParseFaults(c.Faults)
	if err != nil {
		return usageError{err}
	}
	if c.Rate <= 0 || c.Duration <= 0 || c.Hosts < 1 {
		return usageError{errors.New("rate, duration and hosts must be above 0")}
	}
	ctx, stop := untilSignal()
	defer stop()
	report, err := c.run(ctx, load.Config{
		Deployment: p,
		Seed:       c.Seed,
		Rate:       c.Rate,
		Duration:   c.Duration,
		Settle:     c.Settle,
		Faults:     faults,
		Policy:     c.Policy,
		Hosts:      c.Hosts,
		Log:        newLogger(c.LogLevel),
	})
	if err != nil {
		return err
	}
	return c.write(report)
}

func (c *loadCommand) run(ctx context.Context, config load.Config) (load.Report, error) {
	if len(c.Target) == 0 {
		return load.Run(ctx, config)
	}
	if len(config.Faults) > 0 {
		return load.Report{}, usageError{errors.New("--faults needs the stand-ins of this process and can't be combined with --target")}
	}
	return load.RunTarget(ctx, config, c.Target)
}

func (c *loadCommand) write(report load.Report) error {
	encoded, err := report.JSON()
	if err != nil {
		return err
	}
	if c.Report == "-" {
		fmt.Print(string(encoded))
	} else if err := os.WriteFile(c.Report, encoded, 0o644); err != nil {
		return errors.Wrap(err, "write report")
	}
	if report.Violations.Any() {
		return errors.Errorf("guarantees were violated: %+v", report.Violations)
	}
	return nil
}
