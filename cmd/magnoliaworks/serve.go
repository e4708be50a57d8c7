package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks"
	"magnoliaworks/core/setup"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file (JSON with comments)"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	settings, err := setup.Read(c.Settings)
	if err != nil {
		return usageError{err}
	}
	host, err := magnoliaworks.New(
		magnoliaworks.WithSettings(settings),
		magnoliaworks.WithLogger(newLogger(settings.LogLevel)),
	)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := untilSignal()
	defer stop()
	return host.Run(ctx)
}

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func newLogger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:  hclog.LevelFromString(level),
		Output: os.Stderr,
	})
}
