package gather

import (
	"context"
	"fmt"
	"sync"
	"time"
	"unicode/utf8"

	"magnoliaworks/core/config"
	"magnoliaworks/core/limit"
	"magnoliaworks/core/query"
)

const (
	// maxTextBytes is the largest size of a request's text.
	maxTextBytes = 4096
	// maxNameBytes is the largest size of a caller's name and of an idempotency key.
	maxNameBytes = 256
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 60 * time.Second
	// hedgeQuantile is the quantile of the response times of a kind's sub-requests after which a hedge is sent.
	hedgeQuantile = 0.97
	// initialHedgeDelay is the hedge delay of a kind before its first reply.
	initialHedgeDelay = 50 * time.Millisecond
	// retryAfter is the wait advised to callers whose request was not run, because of load or for lack of a host or server.
	retryAfter = time.Second
)

// Gatherer runs requests by scatter-gather over the shards of a snapshot. It is safe for concurrent use.
type Gatherer struct {
	options Options

	mu sync.Mutex
	// hedgeDelayEstimators holds the estimator of the hedge delay of each kind.
	hedgeDelayEstimators map[kindKey]*limit.Quantile
}

// kindKey identifies a kind across collections, like execution.kindName.
type kindKey struct {
	collection string
	kind       string
}

// New returns a Gatherer with the given options.
func New(options Options) *Gatherer {
	return &Gatherer{
		options:              options,
		hedgeDelayEstimators: make(map[kindKey]*limit.Quantile),
	}
}

// noRoutes is the reason why a host runs no requests before its routing table is built.
const noRoutes = "the routing table has not been built yet"

// Ready reports whether requests can be routed; if not, reason says why.
func (g *Gatherer) Ready() (reason string, ok bool) {
	if g.options.Routes.Load().Config.Empty() {
		return noRoutes, false
	}
	return "", true
}

// Run validates and runs a request. The error is a query.Refusal.
func (g *Gatherer) Run(ctx context.Context, req query.Request) (query.Answer, error) {
	started := time.Now()
	kind, err := g.validate(req)
	if err != nil {
		return query.Answer{}, err
	}
	if !g.options.InFlight.TryAcquire() {
		return query.Answer{}, query.NotRun{
			Reason:     "too many requests are in progress on the host",
			RetryAfter: retryAfter,
		}
	}
	defer g.options.InFlight.Release()
	ctx, cancel := context.WithDeadline(ctx, started.Add(timeoutOf(req, kind)))
	defer cancel()
	answer, err := g.runByKind(ctx, req, kind, started)
	answer.ID = req.ID
	answer.Took = time.Since(started)
	g.options.Meter.CountRequest(req.Collection, req.Kind, query.Outcome(err), answer.Took, answer.Coverage.Share())
	return answer, err
}

// runByKind runs a request at most once if its kind requires the ledger, and as a search otherwise.
func (g *Gatherer) runByKind(ctx context.Context, req query.Request, kind config.Kind, started time.Time) (query.Answer, error) {
	if kind.Ledger == config.LedgerRequired {
		return g.runNonIdempotent(ctx, req, kind)
	}
	return g.search(ctx, req, kind, started)
}

// validate returns the kind of a request, query.NotRun before the routing table is built, or query.Invalid for a request that
// no retry can make valid.
func (g *Gatherer) validate(req query.Request) (config.Kind, error) {
	if reason, ok := g.Ready(); !ok {
		return config.Kind{}, query.NotRun{
			Reason:     reason,
			RetryAfter: retryAfter,
		}
	}
	table := g.options.Routes.Load()
	collection, ok := table.Config.Collection(req.Collection)
	if !ok {
		return config.Kind{}, invalid("collection", "collection %q does not exist", req.Collection)
	}
	kind, ok := collection.Kind(req.Kind)
	if !ok {
		return config.Kind{}, invalid("kind", "kind %q does not exist in collection %q", req.Kind, req.Collection)
	}
	switch {
	case req.Limit < 1 || req.Limit > kind.MaxHits:
		return config.Kind{}, invalid("limit", "%d is out of range; permitted: 1 to %d", req.Limit, kind.MaxHits)
	case req.Timeout < 0 || req.Timeout > maxTimeout:
		return config.Kind{}, invalid("deadline", "%s is out of range; permitted: 1ms to %s", req.Timeout, maxTimeout)
	case len(req.Text) > maxTextBytes:
		return config.Kind{}, invalid("text", "%d bytes are too many; permitted: %d", len(req.Text), maxTextBytes)
	case !utf8.ValidString(req.Text) || !utf8.ValidString(req.IdempotencyKey) || !utf8.ValidString(req.Caller):
		return config.Kind{}, invalid("text", "the request is not valid UTF-8")
	case len(req.IdempotencyKey) > maxNameBytes || len(req.Caller) > maxNameBytes:
		return config.Kind{}, invalid("key", "caller and key may have at most %d bytes each", maxNameBytes)
	case kind.Ledger == config.LedgerRequired && (req.IdempotencyKey == "" || req.Caller == ""):
		return config.Kind{}, invalid("key", "kind %q needs a caller and a request key", req.Kind)
	}
	return kind, nil
}

// hedgeDelayEstimator returns the estimator of the time after which a sub-request of a kind is hedged.
func (g *Gatherer) hedgeDelayEstimator(collection, kind string) *limit.Quantile {
	key := kindKey{
		collection: collection,
		kind:       kind,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	estimator, ok := g.hedgeDelayEstimators[key]
	if !ok {
		estimator = limit.NewQuantile(hedgeQuantile, initialHedgeDelay)
		g.hedgeDelayEstimators[key] = estimator
	}
	return estimator
}

// timeoutOf returns the timeout of a request: the Deadline of its kind, or the caller's Timeout if that is shorter.
func timeoutOf(req query.Request, kind config.Kind) time.Duration {
	if req.Timeout == 0 {
		return kind.Deadline
	}
	return min(req.Timeout, kind.Deadline)
}

// invalid returns the refusal of a request for one of its fields.
func invalid(field, format string, values ...any) query.Invalid {
	return query.Invalid{
		Field:  field,
		Reason: fmt.Sprintf(format, values...),
	}
}
