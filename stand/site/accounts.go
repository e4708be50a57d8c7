package site

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Account is a client account in the platform's JSON format.
type Account struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
}

// keyGrace is the time after a change of an account's keys from which all hosts must go by it: 3 s for the configuration and 1 s for
// requests that were sent before.
const keyGrace = routeGrace

// keys knows which account had which key when. It is safe for concurrent use.
type keys struct {
	mu sync.Mutex
	// named is set once a stored configuration has named accounts, and public holds the hosts of routes that need no key.
	named  bool
	public map[string]bool
	owners map[string]keyOwner
	// senders holds what callers sent, by request.
	senders map[string]sender
}

// keyOwner is the account that has, or had, a key. The times are those of the last change; until is zero while it has the key.
type keyOwner struct {
	account      string
	since, until time.Time
}

// sender is how a request named its account.
type sender struct {
	key    string
	public bool
}

func newKeys() *keys {
	return &keys{
		public:  make(map[string]bool),
		owners:  make(map[string]keyOwner),
		senders: make(map[string]sender),
	}
}

// store records the keys of a configuration that is stored.
func (k *keys) store(c Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.named = k.named || len(c.Accounts) > 0
	for _, r := range c.Routes {
		k.public[r.Host] = r.Public
	}
	for key, owner := range k.owners {
		held := slices.ContainsFunc(c.Accounts, func(a Account) bool { return slices.Contains(a.APIKeys, key) })
		if !held && owner.until.IsZero() {
			owner.until = time.Now()
			k.owners[key] = owner
		}
	}
	for _, a := range c.Accounts {
		for _, key := range a.APIKeys {
			if owner, known := k.owners[key]; !known || !owner.until.IsZero() {
				k.owners[key] = keyOwner{account: a.Name, since: time.Now()}
			}
		}
	}
}

// send records a request of a caller.
func (k *keys) send(request Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.named {
		k.senders[request.ID] = sender{key: request.Key, public: k.public[request.Host]}
	}
}

// wrongRun returns what is wrong with a run of a request that came to a server with this account and authorization: unasked, route
// (no account ever had the key) or configuration (none has it any more); empty if it is right.
func (k *keys) wrongRun(log *ExecutionLog, id, account, authorization string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, sent := k.senders[id]
	owner, known := k.owners[s.key]
	switch {
	case !k.named || !sent:
		return ""
	case authorization != "", s.public && account != "", !s.public && known && account != owner.account:
		return "unasked"
	case s.public:
		return ""
	case !known:
		return "route"
	case log.overdue(owner.until, keyGrace):
		return "configuration"
	}
	return ""
}

// check returns an error if a request was refused as unauthorized although its key was in force on all hosts.
func (k *keys) check(log *ExecutionLog, request Request, answer Answer) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	owner, known := k.owners[request.Key]
	held := known && owner.until.IsZero() && log.overdue(owner.since, keyGrace)
	if answer.Status == fasthttp.StatusUnauthorized && (held || k.public[request.Host] || !k.named) {
		return errors.Errorf("request %s of account %q was refused as unauthorized", request.ID, owner.account)
	}
	return nil
}
