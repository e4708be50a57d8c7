package load

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/lang/near"
)

// Fault is one fault of an experiment; Start and End count from the start of the measured time.
type Fault struct {
	Name  string
	Start time.Duration
	// End is 0 if none was given: the fault then lasts for its default duration, or until the end of the experiment.
	End time.Duration
}

// defaultStart is the start of a fault for which none is given.
const defaultStart = 2 * time.Second

// ParseFaults parses a comma-separated list of NAME, NAME@START or NAME@START-END, such as "straggler,store_down@2s-6s".
// The error names the fault that is unknown or has an invalid time.
func ParseFaults(text string) ([]Fault, error) {
	var faults []Fault
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		f, err := parseFault(part)
		if err != nil {
			return nil, err
		}
		faults = append(faults, f)
	}
	return faults, nil
}

func parseFault(text string) (Fault, error) {
	name, times, timed := strings.Cut(text, "@")
	if _, known := injectors[name]; !known {
		return Fault{}, unknownFault(name)
	}
	f := Fault{
		Name:  name,
		Start: defaultStart,
	}
	if !timed {
		return f, nil
	}
	start, end, ends := strings.Cut(times, "-")
	var err error
	if f.Start, err = time.ParseDuration(start); err != nil || f.Start < 0 {
		return Fault{}, errors.Errorf("fault %q: start %q is not a duration such as 2s", name, start)
	}
	if !ends {
		return f, nil
	}
	if f.End, err = time.ParseDuration(end); err != nil || f.End <= f.Start {
		return Fault{}, errors.Errorf("fault %q: end %q is not a duration after the start", name, end)
	}
	return f, nil
}

func unknownFault(name string) error {
	list := "known: " + strings.Join(FaultNames, ", ")
	if nearest, ok := near.Find(name, FaultNames); ok {
		return errors.Errorf("fault %q does not exist; did you mean %q? %s", name, nearest, list)
	}
	return errors.Errorf("fault %q does not exist; %s", name, list)
}

// FaultNames lists all faults; each has an injector.
var FaultNames = []string{
	"straggler", "server_leave", "replica_loss", "repartition", "snapshot_change", "cold_restart", "health_lies",
	"silent_connections", "centre_out_and_back", "store_down", "store_slow", "store_lost_reply", "store_stale_read",
	"host_restart", "host_pause", "peer_link_loss", "overload",
}
