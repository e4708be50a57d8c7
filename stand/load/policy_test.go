package load

import (
	"testing"
	"time"
)

// TestPolicyAgainstNaive compares the full policy with the naive one under the same load in virtual time, without faults
// and with a tenth of the replicas 20 times slower. The bounds are the project's objectives.
func TestPolicyAgainstNaive(t *testing.T) {
	cases := []struct {
		name       string
		deployment string
		rate       float64
		faults     string
		// maxP50 and maxP99 bound the ratio to the naive policy's latency; 0 means no bound.
		maxP50   float64
		maxP99   float64
		maxExtra float64
		maxCross float64
	}{
		{name: "no fault", deployment: "valparaiso", rate: 100, maxP50: 1.1, maxExtra: 0.02, maxCross: 0.05},
		{name: "no fault", deployment: "arangam", rate: 100, maxP50: 1.1, maxExtra: 0.02, maxCross: 0.05},
		{name: "stragglers", deployment: "valparaiso", rate: 600, faults: "straggler@0s", maxP99: 0.25, maxExtra: 0.05},
		{name: "stragglers", deployment: "arangam", rate: 600, faults: "straggler@0s", maxP99: 0.25, maxExtra: 0.05},
	}
	for _, c := range cases {
		t.Run(c.deployment+"/"+c.name, func(t *testing.T) {
			faults, err := ParseFaults(c.faults)
			if err != nil {
				t.Fatal(err)
			}
			full := runExperiment(t, c.deployment, withPolicy(faults, c.rate, "full"))
			naive := runExperiment(t, c.deployment, withPolicy(faults, c.rate, "naive"))
			p50, p99 := full.P50MS/naive.P50MS, full.P99MS/naive.P99MS
			t.Logf("p50 %.1f of %.1f ms, p99 %.1f of %.1f ms, full coverage %.4f of %.4f, extra %.4f, cross %.4f of %.4f",
				full.P50MS, naive.P50MS, full.P99MS, naive.P99MS, full.CoverageFullShare, naive.CoverageFullShare,
				full.ExtraLoadShare, full.CrossDataCentreShare, naive.CrossDataCentreShare)
			checkBound(t, "p50 ratio", p50, c.maxP50)
			checkBound(t, "p99 ratio", p99, c.maxP99)
			checkBound(t, "extra load", full.ExtraLoadShare, c.maxExtra)
			checkBound(t, "cross data centre", full.CrossDataCentreShare, c.maxCross)
			if full.CoverageFullShare < naive.CoverageFullShare {
				t.Errorf("coverage %.4f is below the naive %.4f", full.CoverageFullShare, naive.CoverageFullShare)
			}
			if full.Violations.Any() || naive.Violations.Any() {
				t.Errorf("guarantees were violated: %+v, naive %+v", full.Violations, naive.Violations)
			}
		})
	}
}

func withPolicy(faults []Fault, rate float64, policy string) func(*Config) {
	return func(c *Config) {
		c.Faults = faults
		c.Policy = policy
		c.Rate = rate
		c.Duration = 8 * time.Second
	}
}

func checkBound(t *testing.T, what string, got, bound float64) {
	t.Helper()
	if bound > 0 && got > bound {
		t.Errorf("%s is %.3f, bound %.3f", what, got, bound)
	}
}
