package dialer

import (
	"magnoliaworks/core/query"
	"magnoliaworks/core/server"
	"magnoliaworks/io/dialer/wire"
)

// outcomeOf returns Failed for outcomes that this version does not know.
func outcomeOf(o wire.Outcome) server.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_DONE:
		return server.Done
	case wire.Outcome_OUTCOME_CUT_SHORT:
		return server.CutShort
	case wire.Outcome_OUTCOME_SNAPSHOT_ABSENT:
		return server.SnapshotAbsent
	case wire.Outcome_OUTCOME_SHED:
		return server.Shed
	case wire.Outcome_OUTCOME_DRAINING:
		return server.Draining
	case wire.Outcome_OUTCOME_CANCELLED:
		return server.Cancelled
	default:
		return server.Failed
	}
}

func hitsOf(hits []*wire.Hit, shard string) []query.Hit {
	converted := make([]query.Hit, len(hits))
	for i, h := range hits {
		converted[i] = query.Hit{
			ID:    h.GetId(),
			Score: h.GetScore(),
			Title: h.GetTitle(),
			Shard: shard,
		}
	}
	return converted
}

func statusOf(s *wire.Status) server.Status {
	return server.Status{
		StartID:        s.GetStartId(),
		Draining:       s.GetDraining(),
		InProgress:     int(s.GetInProgress()),
		Slots:          int(s.GetSlots()),
		OldestSnapshot: s.GetOldestSnapshot(),
		NewestSnapshot: s.GetNewestSnapshot(),
	}
}
