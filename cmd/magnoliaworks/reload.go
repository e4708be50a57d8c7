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

// filePollInterval is the time between two checks whether the settings file has changed.
const filePollInterval = 2 * time.Second

// reloader reloads a settings file when it changes and at SIGHUP.
type reloader struct {
	file        string
	log         hclog.Logger
	apply       func(setup.Settings)
	lastContent []byte
}

// run reloads until ctx ends. An invalid file leaves the settings in force unchanged.
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
			r.reload(true)
		case <-ticks:
			r.reload(false)
		}
	}
}

// reload reads the file and applies it if its content has changed since the last read, or in any case if force is set.
// Without force, the first read only records the content, which the host is taken to have started with.
func (r *reloader) reload(force bool) {
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
