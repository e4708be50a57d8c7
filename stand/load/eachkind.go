package load

import (
	"fmt"
	"time"

	"magnoliaworks/core/deploy"
)

// RequestEachKind sends one request of every kind to the callers' ports of the fleet.
// It returns a line for each request, and the violated guarantees; a request without an answer counts as lost.
func RequestEachKind(f *Fleet) ([]string, Violations) {
	r := &runner{
		config: Config{
			Deployment: f.platform.Deployment,
		},
		platform: f.platform,
		fleet:    f,
		tally:    newTally(f.platform),
	}
	r.client = newClient(r)
	r.client.refresh(f.members())
	defer r.client.close()
	var lines []string
	missing := 0
	for _, c := range f.platform.Deployment.Collections {
		for i := range c.Kinds {
			line, ok := r.requestKind(c, i, len(lines))
			lines = append(lines, line)
			if !ok {
				missing++
			}
		}
	}
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	violations := r.tally.violations()
	violations.Lost += missing
	return lines, violations
}

func (r *runner) requestKind(c deploy.Collection, kind, number int) (line string, ok bool) {
	a := arrival{
		number:     number,
		due:        time.Now(),
		measured:   true,
		collection: c.Name,
		kind:       c.Kinds[kind],
	}
	text, key := r.client.textAndKey(a)
	reply := r.client.send(a, text, key)
	r.tally.recordResponse(a, text, key, reply)
	if reply.err != nil || reply.status != statusOK {
		return fmt.Sprintf("  %s %s: HTTP status %d %s %v", c.Name, a.kind.Name, reply.status, reply.refusal, reply.err), false
	}
	return fmt.Sprintf("  %s %s: snapshot %d, coverage %d of %d, %d hits, %.1f ms", c.Name, a.kind.Name,
		reply.answer.Snapshot, reply.answer.Coverage.Answered, reply.answer.Coverage.Total,
		len(reply.answer.Hits), reply.answer.TookMS), true
}
