package stand

import (
	"fmt"

	"magnoliaworks/io/dialer/wire"
)

func (s *Server) replyTo(request *wire.SearchRequest, outcome wire.Outcome) *wire.SearchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &wire.SearchReply{
		RequestId: request.GetRequestId(),
		Attempt:   request.GetAttempt(),
		Snapshot:  request.GetSnapshot(),
		Outcome:   outcome,
		Status:    s.status(),
	}
	if outcome == wire.Outcome_OUTCOME_DONE {
		r.Hits = hits(request)
	}
	return r
}

// hits makes up results that show which request, shard and snapshot they belong to.
func hits(request *wire.SearchRequest) []*wire.Hit {
	n := min(int(request.GetLimit()), hitsEach)
	made := make([]*wire.Hit, n)
	for i := range made {
		made[i] = &wire.Hit{
			Id:    fmt.Sprintf("%d/%s/%d", request.GetSnapshot(), request.GetShard(), i),
			Score: 1 / float64(i+1),
			Title: request.GetText(),
		}
	}
	return made
}

func (s *Server) status() *wire.Status {
	status := &wire.Status{
		StartId:        s.start,
		Draining:       !s.draining.IsZero(),
		InProgress:     uint32(len(s.running)),
		Slots:          uint32(s.spec.Slots),
		OldestSnapshot: s.oldest,
		NewestSnapshot: s.newest,
	}
	if s.lies {
		status.InProgress = 0
	}
	return status
}

func runID(requestID string, attempt uint32) string { return fmt.Sprintf("%s/%d", requestID, attempt) }
