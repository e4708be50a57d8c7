package load

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliaworks/core/deploy"
	"magnoliaworks/stand"
)

// httpCleanerTime is the virtual time after which the HTTP library's connection cleaners have ended; a synctest bubble
// must not leave goroutines behind.
const httpCleanerTime = 2 * time.Minute

// TestMain starts the HTTP library's permanent goroutines outside any synctest bubble.
func TestMain(m *testing.M) {
	if err := stand.StartBackgroundTasks(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// runExperiment runs an experiment in virtual time, with the defaults that change may alter.
func runExperiment(t *testing.T, deployment string, change func(*Config)) Report {
	t.Helper()
	p, err := deploy.Embedded(deployment)
	if err != nil {
		t.Fatal(err)
	}
	c := Config{
		Deployment: p,
		Seed:       1,
		Rate:       100,
		Duration:   6 * time.Second,
		Settle:     2 * time.Second,
		Policy:     "full",
		Hosts:      8,
		Log:        hclog.NewNullLogger(),
	}
	change(&c)
	var report Report
	synctest.Test(t, func(t *testing.T) {
		r, err := Run(context.Background(), c)
		if err != nil {
			t.Fatal(err)
		}
		report = r
		time.Sleep(httpCleanerTime)
	})
	return report
}
