package caller

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/core/query"
)

const jsonContentType = "application/json"

// AnswerBody is the JSON form of an answer; TookMS is in milliseconds.
type AnswerBody struct {
	RequestID string       `json:"request_id"`
	Snapshot  uint64       `json:"snapshot"`
	Coverage  CoverageBody `json:"coverage"`
	Hits      []HitBody    `json:"hits"`
	TookMS    float64      `json:"took_ms"`
}

// CoverageBody is the JSON form of a coverage: numbers of shards, and the names of those that are missing.
type CoverageBody struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Missing  []string `json:"missing,omitempty"`
}

// HitBody is the JSON form of a hit.
type HitBody struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Title string  `json:"title"`
	Shard string  `json:"shard"`
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	RequestID string        `json:"request_id,omitempty"`
	Refusal   string        `json:"refusal"`
	Reason    string        `json:"reason"`
	Field     string        `json:"field,omitempty"`
	Snapshot  uint64        `json:"snapshot,omitempty"`
	Coverage  *CoverageBody `json:"coverage,omitempty"`
}

func writeAnswer(c *fasthttp.RequestCtx, a query.Answer) {
	body := AnswerBody{
		RequestID: a.ID,
		Snapshot:  a.Snapshot,
		Coverage:  newCoverageBody(a.Coverage),
		Hits:      make([]HitBody, len(a.Hits)),
		TookMS:    float64(a.Took.Microseconds()) / 1000,
	}
	for i, h := range a.Hits {
		body.Hits[i] = HitBody(h)
	}
	writeJSON(c, fasthttp.StatusOK, body)
}

func newCoverageBody(c query.Coverage) CoverageBody {
	return CoverageBody{
		Answered: c.Answered,
		Total:    c.Total,
		Missing:  c.Missing,
	}
}

// writeError writes a refusal with its HTTP status. Any other error is reported as an unknown outcome.
func writeError(c *fasthttp.RequestCtx, id string, err error) {
	switch r := err.(type) {
	case query.Invalid:
		writeRefusal(c, invalidStatus(r), refusalBody{
			RequestID: id,
			Refusal:   "invalid",
			Reason:    r.Reason,
			Field:     r.Field,
		})
	case query.NotRun:
		setRetryAfter(c, r.RetryAfter)
		writeRefusal(c, fasthttp.StatusServiceUnavailable, refusalBody{
			RequestID: id,
			Refusal:   "not_run",
			Reason:    r.Reason,
		})
	case query.Partial:
		coverage := newCoverageBody(r.Coverage)
		setRetryAfter(c, partialRetryAfter)
		writeRefusal(c, fasthttp.StatusGatewayTimeout, refusalBody{
			RequestID: id,
			Refusal:   "partial",
			Reason:    r.Error(),
			Snapshot:  r.Snapshot,
			Coverage:  &coverage,
		})
	case query.OutcomeUnknown:
		writeRefusal(c, fasthttp.StatusBadGateway, refusalBody{
			RequestID: id,
			Refusal:   "outcome_unknown",
			Reason:    r.Reason,
		})
	default:
		writeRefusal(c, fasthttp.StatusInternalServerError, refusalBody{
			RequestID: id,
			Refusal:   "outcome_unknown",
			Reason:    err.Error(),
		})
	}
}

// partialRetryAfter is the Retry-After of a search that covered too few shards.
const partialRetryAfter = time.Second

func invalidStatus(r query.Invalid) int {
	if r.Field == "collection" || r.Field == "kind" {
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusBadRequest
}

func setRetryAfter(c *fasthttp.RequestCtx, d time.Duration) {
	seconds := max(int(d.Round(time.Second)/time.Second), 1)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

func writeRefusal(c *fasthttp.RequestCtx, status int, body refusalBody) { writeJSON(c, status, body) }

func writeJSON(c *fasthttp.RequestCtx, status int, body any) {
	c.SetStatusCode(status)
	c.SetContentType(jsonContentType)
	encoded, err := json.Marshal(body)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(append(encoded, '\n'))
}
