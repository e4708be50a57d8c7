package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"magnoliaworks/core/logs"
)

// traceCommand merges logs of hosts and explains a request, or prints selected lines.
type traceCommand struct {
	Request string `long:"request" value-name:"ID" description:"explain one request"`
	Server  string `long:"server" value-name:"ID" description:"print only lines about this backend server"`
	Host    string `long:"host" value-name:"NAME" description:"print only lines of this host"`
	JSON    bool   `long:"json" description:"print JSON"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" description:"log files of hosts; - is standard input" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var merged logs.Merged
	for _, name := range c.Args.Files {
		if err := readLog(&merged, name); err != nil {
			return usageError{err}
		}
	}
	if merged.Malformed > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be parsed as log lines\n", merged.Malformed)
	}
	if c.Request != "" {
		return c.explain(&merged)
	}
	return c.print(merged.Select("", c.Server, c.Host))
}

// readLog adds a log file; lines that do not name their host count as lines of the host that the file is named after.
func readLog(merged *logs.Merged, name string) error {
	if name == "-" {
		return merged.Read(os.Stdin, "stdin")
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	defer func() { _ = file.Close() }()
	return merged.Read(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}

func (c *traceCommand) explain(merged *logs.Merged) error {
	r, ok := merged.Explain(c.Request)
	if !ok {
		return errors.Errorf("no log line mentions request %q; only a sample of the successful requests is logged", c.Request)
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(r), "write explanation")
	}
	return r.Write(os.Stdout)
}

func (c *traceCommand) print(lines []logs.Line) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, line := range lines {
		if c.JSON {
			if err := encoder.Encode(line); err != nil {
				return errors.Wrap(err, "write lines")
			}
			continue
		}
		words := make([]string, len(line.Fields))
		for i, f := range line.Fields {
			words[i] = f.Name + "=" + f.Value
		}
		fmt.Printf("%s %s %s: %s %s\n", line.At.Format("15:04:05.000000"), line.Host, line.Logger, line.Message, strings.Join(words, " "))
	}
	return nil
}
