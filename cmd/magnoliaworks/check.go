package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/jsonc"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/shell"
)

// checkCommand checks a file without running anything.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings, collection or deployment file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
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
