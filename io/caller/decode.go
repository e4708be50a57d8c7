package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"time"
	"unicode/utf8"

	"magnoliaworks/core/query"
)

// defaultLimit is the limit of hits for a request that sets none.
const defaultLimit = 10

// maxTimeout is the longest timeout (deadline_ms) that a request may set.
const maxTimeout = time.Minute

// requestBody is the JSON form of a request.
type requestBody struct {
	Collection string `json:"collection"`
	Kind       string `json:"kind"`
	Text       string `json:"text"`
	Limit      *int   `json:"limit"`
	Caller     string `json:"caller"`
	RequestKey string `json:"request_key"`
	DeadlineMS *int64 `json:"deadline_ms"`
}

// decode parses the JSON of a request and assigns a new ID to it. The error is a query.Invalid.
func decode(body []byte) (query.Request, error) {
	if !utf8.Valid(body) {
		return query.Request{}, query.Invalid{
			Field:  "body",
			Reason: "body is not valid UTF-8",
		}
	}
	var b requestBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return query.Request{}, query.Invalid{
			Field:  "body",
			Reason: err.Error(),
		}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return query.Request{}, query.Invalid{
			Field:  "body",
			Reason: "body has more than one JSON value",
		}
	}
	return b.toRequest()
}

func (b requestBody) toRequest() (query.Request, error) {
	req := query.Request{
		ID:             query.NewID(),
		Caller:         b.Caller,
		Collection:     b.Collection,
		Kind:           b.Kind,
		Text:           b.Text,
		Limit:          defaultLimit,
		IdempotencyKey: b.RequestKey,
	}
	if b.Limit != nil {
		req.Limit = *b.Limit
	}
	if b.DeadlineMS == nil {
		return req, nil
	}
	if *b.DeadlineMS < 1 || *b.DeadlineMS > maxTimeout.Milliseconds() {
		return query.Request{}, query.Invalid{
			Field:  "deadline_ms",
			Reason: "deadline is out of range; permitted: 1 to 60000",
		}
	}
	req.Timeout = time.Duration(*b.DeadlineMS) * time.Millisecond
	return req, nil
}
