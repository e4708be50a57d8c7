package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/deploy"
	"magnoliaworks/stand"
	"magnoliaworks/stand/load"
)

// demoCommand runs an embedded deployment on loopback.
type demoCommand struct {
	Deployment string        `long:"deployment" default:"valparaiso" value-name:"NAME" description:"embedded deployment: valparaiso or arangam"`
	For        time.Duration `long:"for" value-name:"TIME" description:"stop after this time instead of at Ctrl-C"`
	LogLevel   string        `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level of log messages"`
}

const demoHosts = 8

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	p, err := deploy.Embedded(c.Deployment)
	if err != nil {
		return usageError{err}
	}
	ctx, stop := untilSignal()
	defer stop()
	network := stand.NewTCP(p.Delays)
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		return err
	}
	defer platform.Stop()
	fleet, err := load.NewFleet(context.WithoutCancel(ctx), platform, demoHosts, "full", newLogger(c.LogLevel))
	if err != nil {
		return err
	}
	err = c.runRequests(ctx, fleet)
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// runRequests sends one request of each kind, prints examples and waits for Ctrl-C or the end of the given time.
func (c *demoCommand) runRequests(ctx context.Context, fleet *load.Fleet) error {
	fmt.Println("hosts:")
	for i := range demoHosts {
		s := fleet.Settings(i)
		fmt.Printf("  %s in %s: callers %s, operators %s\n", s.ID, s.DataCentre, s.CallerAddress, s.OperatorAddress)
	}
	lines, violations := load.RequestEachKind(fleet)
	for _, line := range lines {
		fmt.Println(line)
	}
	if violations.Any() {
		return errors.Errorf("guarantees were violated: %+v", violations)
	}
	first := fleet.Settings(0)
	fmt.Printf("try: curl -s http://%s/v1/request -d '%s'\n", first.CallerAddress, exampleBody(c.Deployment))
	fmt.Printf("try: go run ./cmd/magnoliaworks do --host %s 'show hosts'\n", first.OperatorAddress)
	if c.For == 0 {
		fmt.Println("running until Ctrl-C")
		<-ctx.Done()
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	<-limited.Done()
	return nil
}

// exampleBody returns the body of a request that the deployment answers.
func exampleBody(deployment string) string {
	if deployment == "arangam" {
		return `{"collection":"leasing-desk","kind":"cross_arcade","text":"march footfall"}`
	}
	return `{"collection":"chart-desk","kind":"contour_sheet","text":"cerro concepcion"}`
}
