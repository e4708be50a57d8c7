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
	// maxText bounds the text of a request in bytes.
	maxText = 4096
	// maxName bounds callers' names and keys in bytes.
	maxName = 256
	// maxDeadline is the longest wait that a caller may ask for.
	maxDeadline = 60 * time.Second
	// hedgeShare is the quantile of sub-request times after which a hedge is sent.
	hedgeShare = 0.97
	// hedgeFirst is the hedge delay of a kind that has not been observed.
	hedgeFirst = 50 * time.Millisecond
	// overloadRetry is the advised wait of callers that were refused for load.
	overloadRetry = time.Second
)

// Gatherer runs requests. It is safe for concurrent use.
type Gatherer struct {
	parts Options

	mu     sync.Mutex
	delays map[kindKey]*limit.Quantile
}

type kindKey struct {
	collection string
	kind       string
}

// New returns a gatherer that works with the parts.
func New(parts Options) *Gatherer {
	return &Gatherer{
		parts:  parts,
		delays: make(map[kindKey]*limit.Quantile),
	}
}

// Run runs a request and returns its answer or a query.Refusal.
func (g *Gatherer) Run(ctx context.Context, req query.Request) (query.Answer, error) {
	started := time.Now()
	kind, err := g.check(req)
	if err != nil {
		return query.Answer{}, err
	}
	if !g.parts.InFlight.TryAcquire() {
		return query.Answer{}, query.NotRun{
			Reason:     "host full",
			RetryAfter: overloadRetry,
		}
	}
	defer g.parts.InFlight.Release()
	ctx, cancel := context.WithDeadline(ctx, started.Add(limitOf(req, kind)))
	defer cancel()
	answer, err := g.runKind(ctx, req, kind, started)
	answer.ID = req.ID
	answer.Took = time.Since(started)
	g.parts.Meter.CountRequest(req.Collection, req.Kind, query.Outcome(err), answer.Took, answer.Coverage.Share())
	return answer, err
}

func (g *Gatherer) runKind(ctx context.Context, req query.Request, kind config.Kind, started time.Time) (query.Answer, error) {
	if kind.Ledger == config.LedgerRequired {
		return g.order(ctx, req, kind)
	}
	return g.search(ctx, req, kind, started)
}

// check refuses requests that no retry can make valid.
func (g *Gatherer) check(req query.Request) (config.Kind, error) {
	table := g.parts.Routes.Load()
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
	case req.Timeout < 0 || req.Timeout > maxDeadline:
		return config.Kind{}, invalid("deadline", "%s is out of range; permitted: 1ms to %s", req.Timeout, maxDeadline)
	case len(req.Text) > maxText:
		return config.Kind{}, invalid("text", "%d bytes are too many; permitted: %d", len(req.Text), maxText)
	case !utf8.ValidString(req.Text) || !utf8.ValidString(req.IdempotencyKey) || !utf8.ValidString(req.Caller):
		return config.Kind{}, invalid("text", "the request is not valid UTF-8")
	case len(req.IdempotencyKey) > maxName || len(req.Caller) > maxName:
		return config.Kind{}, invalid("key", "caller and key may have %d bytes each", maxName)
	case kind.Ledger == config.LedgerRequired && (req.IdempotencyKey == "" || req.Caller == ""):
		return config.Kind{}, invalid("key", "kind %q needs a caller and a request key", req.Kind)
	}
	return kind, nil
}

// hedgeDelay returns the estimate of a kind's time after which a sub-request counts as slow.
func (g *Gatherer) hedgeDelay(collection, kind string) *limit.Quantile {
	key := kindKey{
		collection: collection,
		kind:       kind,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delay, ok := g.delays[key]
	if !ok {
		delay = limit.NewQuantile(hedgeShare, hedgeFirst)
		g.delays[key] = delay
	}
	return delay
}

func limitOf(req query.Request, kind config.Kind) time.Duration {
	if req.Timeout == 0 {
		return kind.Deadline
	}
	return min(req.Timeout, kind.Deadline)
}

func invalid(field, format string, values ...any) query.Invalid {
	return query.Invalid{
		Field:  field,
		Reason: fmt.Sprintf(format, values...),
	}
}
