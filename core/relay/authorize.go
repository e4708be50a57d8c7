package relay

import (
	"fmt"
	"time"

	"magnoliaworks/core/query"
	"magnoliaworks/core/topo"
	"magnoliaworks/core/trace"
)

// Events that count refusals of messages without the key of a client account.
const (
	eventKeyMissing = "key_missing"
	eventKeyUnknown = "key_unknown"
)

// authorize returns the client account of a message by the one version of the configuration with which the message is handled,
// and takes the caller's credentials off the message. Without accounts in the configuration they are forwarded like other fields.
// The account is the zero value then, and on public routes. The error is a query.Unauthorized. Nothing has been sent at this point.
func (r *Relay) authorize(config *topo.Config, matched *topo.Route, m *query.Message) (topo.Account, error) {
	credentials := m.Credentials
	m.Credentials = query.Credentials{}
	switch {
	case !config.HasAccounts():
		if credentials.Head != nil {
			m.Head = credentials.Head
		}
		return topo.Account{}, nil
	case matched.Public:
		return topo.Account{}, nil
	case credentials.Key == "":
		r.options.Meter.CountEvent(eventKeyMissing)
		return topo.Account{}, query.Unauthorized{
			Reason: credentials.Problem,
		}
	}
	hash := topo.HashKey(credentials.Key)
	account, ok := config.AccountByKey(hash)
	if !ok {
		r.options.Meter.CountEvent(eventKeyUnknown)
		return topo.Account{}, query.Unauthorized{
			Reason: fmt.Sprintf("no account has the key %s", hash),
		}
	}
	m.Account = account.Name
	return account, nil
}

// recordUnauthorized counts and logs a message without the key of a client account, with what it was judged by.
func (r *Relay) recordUnauthorized(m *query.Message, t *table, matched *topo.Route, err error) {
	config := t.state.Config()
	r.recordRefusal(m, &r.unauthorizedRate, trace.Request{
		Kind:    matched.Name,
		Version: config.Version,
		Steps: []trace.Step{{
			After: time.Since(m.Arrived),
			What:  "not authorized",
			Detail: fmt.Sprintf("%d accounts in version %d, in force here for %s",
				config.AccountCount(), config.Version, time.Since(t.configSince).Round(time.Millisecond)),
		}},
	}, err)
}
