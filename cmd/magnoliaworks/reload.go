package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/setup"
	"magnoliaworks/core/timer"
)

// filePollInterval is the time between two looks at whether a settings file has changed.
const filePollInterval = 2 * time.Second

// reloader reads a settings file anew when it changes or when SIGHUP comes.
type reloader struct {
	file        string
	log         hclog.Logger
	apply       func(setup.Settings)
	lastContent []byte
}

// run reloads until ctx ends. A file that is not valid leaves the settings as they are.
func (r *reloader) run(ctx context.Context, t *timer.Service) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticks := t.Subscribe(ctx, filePollInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			r.checkFile(true)
		case <-ticks:
			r.checkFile(false)
		}
	}
}

// checkFile reads the file and adopts it if it has changed, or always when told so.
func (r *reloader) checkFile(force bool) {
	data, err := os.ReadFile(r.file)
	if err != nil {
		r.log.Error("settings not read; those in force stay", "error", err)
		return
	}
	first := r.lastContent == nil
	if (first || bytes.Equal(data, r.lastContent)) && !force {
		r.lastContent = data
		return
	}
	r.lastContent = data
	settings, err := setup.Read(r.file)
	if err != nil {
		r.log.Error("settings not valid; those in force stay", "error", err)
		return
	}
	r.apply(settings)
}
