package topo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
)

// KeyHash is the hash of a client account's key. Keys are held and looked up by it, so that the time of a lookup does not tell
// how much of a key fits.
type KeyHash [sha256.Size]byte

// loggedHashBytes is the number of bytes of a hash by which logs name a key.
const loggedHashBytes = 4

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the start of the hash, by which logs name the key.
func (h KeyHash) String() string { return hex.EncodeToString(h[:loggedHashBytes]) }

// AccountEntry is a client account as the configuration states it, with its keys.
type AccountEntry struct {
	Account Account
	Keys    []string
}

// accounts are the client accounts of one version of the configuration.
type accounts struct {
	byName map[string]Account
	byKey  map[KeyHash]Account
	// limited is the number of accounts with a rate, and rates the sum of their rates.
	limited int
	rates   float64
}

// WithAccounts returns a configuration with exactly these client accounts; requests then need a key even if there are none.
// What can't be right is left out alone: accounts with a name that is empty, no header value or that of an earlier one, keys that
// are empty, no header value or those of two accounts, and rates and bursts below 0. Problems names it.
func (c *Config) WithAccounts(entries []AccountEntry) *Config {
	next := *c
	next.problems = slices.Clone(c.problems)
	next.accounts = &accounts{
		byName: make(map[string]Account, len(entries)),
		byKey:  make(map[KeyHash]Account),
	}
	shared := make(map[KeyHash]bool)
	for i, entry := range entries {
		account := entry.Account
		if _, known := next.accounts.byName[account.Name]; known || !isFieldValue(account.Name) {
			next.addProblem("account %d: the name %q is empty, not a header value or that of an earlier account", i+1, account.Name)
			continue
		}
		if account.Rate < 0 {
			next.addProblem("account %q: the rate %g is below 0", account.Name, account.Rate)
			account.Rate = 0
		}
		if account.Burst < 0 {
			next.addProblem("account %q: the burst %g is below 0", account.Name, account.Burst)
			account.Burst = 0
		}
		next.accounts.byName[account.Name] = account
		if account.Rate > 0 {
			next.accounts.limited++
			next.accounts.rates += account.Rate
		}
		for _, key := range entry.Keys {
			next.addKey(account, key, shared)
		}
	}
	for hash := range shared {
		delete(next.accounts.byKey, hash)
	}
	return &next
}

// addKey adds a key of an account. A key that another account has is added to shared.
func (c *Config) addKey(account Account, key string, shared map[KeyHash]bool) {
	hash := HashKey(key)
	other, known := c.accounts.byKey[hash]
	switch {
	case !isFieldValue(key) || strings.ContainsAny(key, " \t"):
		c.addProblem("account %q: a key is empty or not a token", account.Name)
	case known && other.Name != account.Name:
		c.addProblem("accounts %q and %q: both have the key %s", other.Name, account.Name, hash)
		shared[hash] = true
	default:
		c.accounts.byKey[hash] = account
	}
}

// isFieldValue reports whether text can stand alone as the value of a header field and is not empty.
func isFieldValue(text string) bool {
	const firstVisible, lastASCII = '!', 0x7f
	for i := range len(text) {
		if b := text[i]; b < firstVisible && b != ' ' && b != '\t' || b == lastASCII {
			return false
		}
	}
	return text != "" && strings.Trim(text, " \t") == text
}

// WithProblem returns a configuration that names one more part of the operator's configuration that was left out.
func (c *Config) WithProblem(problem string) *Config {
	next := *c
	next.problems = append(slices.Clone(c.problems), problem)
	return &next
}

func (c *Config) addProblem(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// Problems names the parts of the operator's configuration that were left out because they can't be right; the slice must not be
// modified.
func (c *Config) Problems() []string { return c.problems }

// HasAccounts reports whether the configuration names client accounts, so that requests need a key.
func (c *Config) HasAccounts() bool { return c.accounts != nil }

// AccountCount returns the number of client accounts.
func (c *Config) AccountCount() int {
	if c.accounts == nil {
		return 0
	}
	return len(c.accounts.byName)
}

// AllowancePart returns an account's part of the rates of all accounts, between 0 and 1. Accounts without a rate count with the mean of
// the others', and all alike if none has one.
func (c *Config) AllowancePart(account Account) float64 {
	mean := 1.0
	if c.accounts.limited > 0 {
		mean = c.accounts.rates / float64(c.accounts.limited)
	}
	rate := account.Rate
	if rate <= 0 {
		rate = mean
	}
	return rate / (mean * float64(max(len(c.accounts.byName), 1)))
}

// Account returns the client account of that name; ok is false if there is none.
func (c *Config) Account(name string) (account Account, ok bool) {
	if c.accounts == nil {
		return Account{}, false
	}
	account, ok = c.accounts.byName[name]
	return account, ok
}

// AccountByKey returns the client account that has the key with that hash; ok is false if there is none.
func (c *Config) AccountByKey(key KeyHash) (account Account, ok bool) {
	if c.accounts == nil {
		return Account{}, false
	}
	account, ok = c.accounts.byKey[key]
	return account, ok
}

// Accounts returns the client accounts in no order.
func (c *Config) Accounts() iter.Seq[Account] {
	if c.accounts == nil {
		return maps.Values(map[string]Account(nil))
	}
	return maps.Values(c.accounts.byName)
}
