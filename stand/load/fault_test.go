package load

import (
	"testing"
	"time"
)

// TestFaultsViolateNoGuarantee injects each fault into a fleet under load, in virtual time. No guarantee may be violated, and
// the share of answered requests must reach the objective of 0.999, or less where a fault forces hosts to refuse requests.
func TestFaultsViolateNoGuarantee(t *testing.T) {
	cases := []struct {
		fault      string
		deployment string
		answered   float64
	}{
		{fault: "straggler@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "straggler@1s-4s", deployment: "arangam", answered: 0.999},
		{fault: "server_leave@1s-5500ms", deployment: "valparaiso", answered: 0.999},
		{fault: "server_leave@1s-5500ms", deployment: "arangam", answered: 0.999},
		{fault: "replica_loss@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "replica_loss@1s-4s", deployment: "arangam", answered: 0.999},
		{fault: "repartition@1s", deployment: "valparaiso", answered: 0.999},
		{fault: "snapshot_change@1s,snapshot_change@3s", deployment: "arangam", answered: 0.999},
		{fault: "cold_restart@1s", deployment: "valparaiso", answered: 0.999},
		{fault: "cold_restart@1s", deployment: "arangam", answered: 0.999},
		{fault: "health_lies@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "silent_connections@1s", deployment: "valparaiso", answered: 0.999},
		{fault: "silent_connections@1s", deployment: "arangam", answered: 0.999},
		{fault: "centre_out_and_back@1s-5s", deployment: "valparaiso", answered: 0.999},
		{fault: "centre_out_and_back@1s-5s", deployment: "arangam", answered: 0.999},
		// While the store is down, orders, a tenth of the load, are refused as not run.
		{fault: "store_down@1s-4s", deployment: "valparaiso", answered: 0.9},
		{fault: "store_slow@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "store_lost_reply@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "store_stale_read@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "host_restart@1s", deployment: "valparaiso", answered: 0.999},
		// An eighth of the requests go to the paused host, or wait 2 s for a server whose home it is.
		{fault: "host_pause@1s-3s", deployment: "valparaiso", answered: 0.9},
		{fault: "peer_link_loss@1s-4s", deployment: "valparaiso", answered: 0.999},
		{fault: "overload@1s-4s", deployment: "arangam", answered: 0.9},
	}
	for _, c := range cases {
		t.Run(c.deployment+"/"+c.fault, func(t *testing.T) {
			faults, err := ParseFaults(c.fault)
			if err != nil {
				t.Fatal(err)
			}
			r := runExperiment(t, c.deployment, func(config *Config) {
				config.Faults = faults
				config.Duration = 6 * time.Second
			})
			t.Logf("answered %d of %d, p50 %.1f ms, p99 %.1f ms, full %.4f, extra %.4f, cross %.4f", r.Answered, r.Requests,
				r.P50MS, r.P99MS, r.CoverageFullShare, r.ExtraLoadShare, r.CrossDataCentreShare)
			for name, k := range r.ByKind {
				if len(k.Refused) > 0 {
					t.Logf("%s refused %v", name, k.Refused)
				}
			}
			if r.Violations.Any() {
				t.Errorf("guarantees were violated: %+v", r.Violations)
			}
			if got := ratio(float64(r.Answered), r.Requests); got < c.answered {
				t.Errorf("answered share %.4f, want at least %.4f", got, c.answered)
			}
		})
	}
}
