package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/jsonc"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/shell"
	"magnoliaworks/platform"
)

// checkCommand checks a file without running anything.
type checkCommand struct {
	Against  string `long:"against" value-name:"FILE" description:"configuration in force, to compare a configuration with"`
	Store    string `long:"store" value-name:"ADDRESS" description:"store to read the configuration in force and the replicas from; nothing is written"`
	Warnings bool   `long:"warnings" description:"exit 2 if a configuration has warnings or takes something away from callers"`
	JSON     bool   `long:"json" description:"print what a configuration's check finds as JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"settings, collection, deployment or configuration file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if data, err := os.ReadFile(c.Args.File); err == nil && platform.IsConfig(data) {
		return c.checkConfig(data)
	}
	what, err := checkFile(c.Args.File)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("%s: %s, no errors\n", c.Args.File, what)
	return nil
}

// checkFile determines the type of a file from its keys and decodes it strictly.
func checkFile(file string) (fileType string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "check")
	}
	switch {
	case jsonc.HasKey(data, "collections"):
		_, err = deploy.Decode(file, data)
		return "deployment", err
	case jsonc.HasKey(data, "services"), jsonc.HasKey(data, "kinds"):
		_, err = shell.DecodeCollection(file, data)
		return "collection", err
	default:
		_, err = setup.Read(file)
		return "settings", err
	}
}
