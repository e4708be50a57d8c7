package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/jsonc"
	"magnoliaworks/core/lint"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/entry"
	"magnoliaworks/platform"
)

// storeTimeout bounds the reading of the configuration and the replicas from the store.
const storeTimeout = 10 * time.Second

// configReport is what the check of a configuration found, as it is printed in JSON.
type configReport struct {
	File     string          `json:"file"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Losses   int             `json:"losses"`
	Findings []configFinding `json:"findings"`
	Changes  []configChange  `json:"changes"`
}

type configFinding struct {
	Level  string `json:"level"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Text   string `json:"text"`
}

type configChange struct {
	Entry string `json:"entry"`
	Text  string `json:"text"`
	Loss  bool   `json:"loss"`
}

// errConfig ends a check whose findings were printed, with the exit code that they lead to.
type errConfig struct {
	code int
}

// Error implements error.
func (e errConfig) Error() string {
	if e.code == exitFailed {
		return "the configuration has errors"
	}
	return "the configuration has warnings or takes something away from callers"
}

// checkConfig checks a configuration to be sent.
func (c *checkCommand) checkConfig(data []byte) error {
	inForce, replicas, err := c.readInForce()
	if err != nil {
		return err
	}
	report := newConfigReport(c.Args.File, data, inForce, replicas)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetEscapeHTML(false)
		err = errors.Wrap(encoder.Encode(report), "write report")
	} else {
		err = report.write(os.Stdout)
	}
	switch {
	case err != nil:
		return err
	case report.Errors > 0:
		return errConfig{code: exitFailed}
	case c.Warnings && report.Warnings+report.Losses > 0:
		return errConfig{code: exitUsage}
	}
	return nil
}

// readInForce returns the configuration in force, nil if none is to be compared with, and the number of replicas of each service,
// nil if they aren't known.
func (c *checkCommand) readInForce() (*lint.Config, map[string]int, error) {
	switch {
	case c.Against != "" && c.Store != "":
		return nil, nil, usageError{errors.New("--against and --store can't be given together")}
	case c.Against != "":
		data, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read the configuration in force")
		}
		inForce, err := platform.ReadConfigInForce(data)
		return &inForce, nil, err
	case c.Store != "":
		return readStore(c.Store)
	}
	return nil, nil, nil
}

// readStore reads the configuration in force and the registered replicas, and writes nothing.
func readStore(address string) (*lint.Config, map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	store := platform.NewStore(address, new(net.Dialer).DialContext, func(string) {})
	configs, err := store.List(ctx, watch.Configuration, false)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the configuration in force")
	}
	servers, err := store.List(ctx, watch.Servers, false)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the replicas")
	}
	replicas := make(map[string]int)
	for _, object := range servers.Objects {
		// Entries of other writers may be malformed; hosts pass over them too.
		if r, err := (platform.Decoder{}).Server(object.Name, object.Value, time.Now()); err == nil && !r.Server.Draining {
			replicas[r.Server.Service]++
		}
	}
	if len(configs.Objects) == 0 {
		return nil, replicas, nil
	}
	inForce, err := platform.ReadConfigInForce(configs.Objects[0].Value)
	return &inForce, replicas, err
}

// newConfigReport checks a configuration and compares it with the one in force, if any.
func newConfigReport(file string, data []byte, inForce *lint.Config, replicas map[string]int) configReport {
	report := configReport{
		File:     file,
		Findings: []configFinding{},
		Changes:  []configChange{},
	}
	next, err := platform.ReadConfig(file, data)
	if err != nil {
		report.addDecodeError(err)
		return report
	}
	places := jsonc.NewPlaces(data)
	found := lint.Check(next, entry.Bounds(), replicas)
	if inForce != nil {
		found = append(found, lint.CheckVersion(*inForce, next)...)
	}
	for _, f := range found {
		path := platform.ConfigPath(f.Place)
		line, column := places.At(path)
		report.add(configFinding{
			Level:  f.Level.String(),
			Line:   line,
			Column: column,
			Path:   path,
			Text:   f.Text,
		})
	}
	if inForce == nil {
		return report
	}
	for _, change := range lint.Compare(*inForce, next) {
		report.Changes = append(report.Changes, configChange(change))
		if change.Loss {
			report.Losses++
		}
	}
	return report
}

func (r *configReport) add(f configFinding) {
	r.Findings = append(r.Findings, f)
	if f.Level == lint.Error.String() {
		r.Errors++
	} else {
		r.Warnings++
	}
}

// addDecodeError adds the first error of the file's form, which hides all others.
func (r *configReport) addDecodeError(err error) {
	finding := configFinding{
		Level:  lint.Error.String(),
		Line:   1,
		Column: 1,
		Text:   err.Error(),
	}
	var at *jsonc.Error
	if errors.As(err, &at) {
		finding.Line, finding.Column, finding.Path, finding.Text = at.Line, at.Column, at.Key, at.Reason
	}
	r.add(finding)
}

// write prints the report as text.
func (r configReport) write(w io.Writer) error {
	var err error
	printf := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	for _, f := range r.Findings {
		printf("%s:%d:%d: %s: %s: %s\n", r.File, f.Line, f.Column, f.Level, f.Path, f.Text)
	}
	for _, c := range r.Changes {
		mark := " "
		if c.Loss {
			mark = "!"
		}
		printf("%s %s %s\n", mark, c.Entry, c.Text)
	}
	printf("%s: configuration, %d errors, %d warnings, %d changes, %d of which take something away from callers (!)\n",
		r.File, r.Errors, r.Warnings, len(r.Changes), r.Losses)
	return errors.Wrap(err, "write report")
}
