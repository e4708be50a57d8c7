package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/stand/soak"
)

// soakCommand runs soaks with consecutive seeds.
type soakCommand struct {
	Seed   uint64        `long:"seed" default:"1" description:"first seed of faults and callers"`
	Seeds  int           `long:"seeds" default:"1" description:"number of consecutive seeds to run"`
	For    time.Duration `long:"for" default:"20s" description:"time in which faults are injected, for each seed"`
	Hosts  int           `long:"hosts" default:"3" description:"number of host processes"`
	Keep   string        `long:"keep" value-name:"DIR" description:"directory for settings and logs (default: a temporary one, removed unless a guarantee was violated)"`
	Report string        `long:"report" default:"-" value-name:"FILE" description:"file for the JSON reports; - is standard output"`
}

// maxHosts limits a soak to a few hundred processes.
const maxHosts = 200

// errViolations reports that a guarantee was violated; the report names it.
var errViolations = errors.New("a guarantee was violated")

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Hosts < 1 || c.Hosts > maxHosts {
		return usageError{errors.Errorf("%d hosts are out of range; permitted: 1 to %d", c.Hosts, maxHosts)}
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	out := os.Stdout
	if c.Report != "-" {
		if out, err = os.Create(c.Report); err != nil {
			return usageError{err}
		}
		defer func() { _ = out.Close() }()
	}
	anyViolated := false
	for i := range c.Seeds {
		violated, err := c.runSeed(program, c.Seed+uint64(i), json.NewEncoder(out))
		if err != nil {
			return err
		}
		anyViolated = anyViolated || violated
	}
	if anyViolated {
		return errViolations
	}
	return nil
}

// runSeed runs one seed, writes its report and reports whether a guarantee was violated. It deletes a temporary directory
// unless there was a violation, since its logs are then needed.
func (c *soakCommand) runSeed(program string, seed uint64, out *json.Encoder) (violated bool, err error) {
	directory := c.Keep
	if directory == "" {
		if directory, err = os.MkdirTemp("", "soak"); err != nil {
			return false, errors.Wrap(err, "create directory for logs")
		}
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, errors.Wrap(err, "create directory for logs")
	}
	ctx, stop := untilSignal()
	defer stop()
	report, err := soak.Run(ctx, soak.Config{
		Seed:      seed,
		For:       c.For,
		Hosts:     c.Hosts,
		Program:   program,
		Directory: directory,
	})
	if err != nil {
		return false, err
	}
	for _, v := range report.Violations {
		fmt.Fprintf(os.Stderr, "seed %d, after %s: %s: request %s: %s; logs in %s\n", seed, v.After, v.What, v.Request, v.Detail, directory)
	}
	if c.Keep == "" && len(report.Violations) == 0 {
		err = os.RemoveAll(directory)
	}
	if encodeErr := out.Encode(report); err == nil {
		err = encodeErr
	}
	return len(report.Violations) > 0, errors.Wrap(err, "write report")
}
