package peer

import (
	"magnoliaworks/core/gather"
	"magnoliaworks/core/query"
)

// outstandingSub is a sub-request that awaits its result.
type outstandingSub struct {
	token int
	shard string
	inbox chan<- gather.Completion
	// maybeSent is set when the sub-request may have been sent.
	maybeSent bool
}

// resultWithoutReply returns the result of a sub-request whose stream broke with err before its result arrived.
func (s *outstandingSub) resultWithoutReply(err error) query.Result {
	if !s.maybeSent {
		return query.NotExecuted{
			Reason: reasonOf(err),
		}
	}
	return query.Failed{
		Reason: reasonOf(err),
	}
}

func reasonOf(err error) string {
	if err == nil {
		return "stream ended"
	}
	return err.Error()
}
