package peer

import (
	"magnoliaworks/core/gather"
	"magnoliaworks/core/query"
)

// waiter is a sub-request whose result is missing.
type waiter struct {
	token int
	shard string
	inbox chan<- gather.Completion
	// left is set when the sub-request may have left this host.
	left bool
}

func (w *waiter) lost(err error) query.Result {
	if !w.left {
		return query.NotExecuted{
			Reason: errText(err),
		}
	}
	return query.Failed{
		Reason: errText(err),
	}
}

func errText(err error) string {
	if err == nil {
		return "stream ended"
	}
	return err.Error()
}
