package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliaworks"
	"magnoliaworks/core/setup"
	"magnoliaworks/core/timer"
	"magnoliaworks/io/output"
)

// serveCommand runs a host.
type serveCommand struct {
	Settings string `long:"settings" env:"MAGNOLIAWORKS_CONFIG" required:"true" value-name:"FILE" description:"settings file (JSON with comments)"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error { return serve(c.Settings) }

// serve runs a host with the settings of a file and further options.
func serve(file string, options ...magnoliaworks.Option) error {
	// Signals are handled from the start, so that an early SIGTERM also ends the host gracefully.
	ctx, stop := untilSignal()
	defer stop()
	settings, err := setup.Read(file)
	if err != nil {
		return usageError{err}
	}
	out := output.New(os.Stdout)
	log := newLogger(settings.LogLevel)
	if settings.LogFormat == "json" {
		log = newJSONLogger(settings.LogLevel, out)
	}
	host, err := magnoliaworks.New(append(options, magnoliaworks.WithSettings(settings), magnoliaworks.WithLogger(log))...)
	if err != nil {
		return usageError{err}
	}
	r := &reloader{
		file:  file,
		log:   log.Named("settings"),
		apply: host.Reload,
	}
	return runUntilLeft(ctx, host, r, out)
}

// runUntilLeft runs a host until it has left. Timer, reloader and log writer go on until then, beyond the end of ctx.
func runUntilLeft(ctx context.Context, host *magnoliaworks.Host, r *reloader, out *output.Writer) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	group, background := errgroup.WithContext(background)
	t := timer.New()
	group.Go(func() error { return t.Run(background) })
	group.Go(func() error { return r.run(background, t) })
	group.Go(func() error { return out.Run(background) })
	err := host.Run(ctx)
	stopBackground()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// untilSignal returns a context that is cancelled at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// newLogger returns a logger that writes text to standard error.
func newLogger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:  hclog.LevelFromString(level),
		Output: os.Stderr,
	})
}

// newJSONLogger returns a logger that writes one JSON object per line.
func newJSONLogger(level string, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:      hclog.LevelFromString(level),
		Output:     out,
		JSONFormat: true,
	})
}
