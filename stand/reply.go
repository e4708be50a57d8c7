package stand

import (
	"fmt"

	"magnoliaworks/io/dialer/wire"
)

// replyTo returns the reply to a request with the server's current status; a successful one carries hits.
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
		r.Hits = makeHits(request)
	}
	return r
}

// makeHits returns hits whose IDs name the snapshot and shard and whose titles repeat the request's text,
// so that a merged answer shows where each hit comes from.
func makeHits(request *wire.SearchRequest) []*wire.Hit {
	n := min(int(request.GetLimit()), hitsPerReply)
	hits := make([]*wire.Hit, n)
	for i := range hits {
		hits[i] = &wire.Hit{
			Id:    fmt.Sprintf("%d/%s/%d", request.GetSnapshot(), request.GetShard(), i),
			Score: 1 / float64(i+1),
			Title: request.GetText(),
		}
	}
	return hits
}

// status returns what the server reports of itself. The caller holds s.mu.
func (s *Server) status() *wire.Status {
	status := &wire.Status{
		StartId:        s.startID,
		Draining:       !s.drainingSince.IsZero(),
		InProgress:     uint32(len(s.running)),
		Slots:          uint32(s.spec.Slots),
		OldestSnapshot: s.oldest,
		NewestSnapshot: s.newest,
	}
	if s.reportsIdle {
		status.InProgress = 0
	}
	return status
}

// runID identifies one attempt of a request.
func runID(requestID string, attempt uint32) string { return fmt.Sprintf("%s/%d", requestID, attempt) }
