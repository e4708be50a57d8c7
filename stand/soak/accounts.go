package soak

import (
	"context"
	"math/rand/v2"

	"magnoliaworks/stand/site"
)

// callerKeys are the keys with which callers come in a run with accounts: two that stay, one that is given and taken, one that no
// account has, and none.
var callerKeys = []string{"stays-1", "stays-2", takenKey, "unknown", ""}

// takenKey is the key that is given and taken.
const takenKey = "taken"

// namesAccounts reports whether the configuration of this run names client accounts, as in half of the runs.
func (s *soak) namesAccounts() bool { return rand.New(rand.NewPCG(s.config.Seed, 97)).IntN(2) == 0 }

// accounts returns the client accounts, with or without takenKey.
func accounts(withTaken bool) []site.Account {
	small := site.Account{
		Name:    "small",
		APIKeys: []string{"stays-2"},
	}
	if withTaken {
		small.APIKeys = append(small.APIKeys, takenKey)
	}
	return []site.Account{
		{
			Name:    "large",
			APIKeys: []string{"stays-1"},
		},
		small,
	}
}

// changeKeys stores a configuration that gives or takes a key, in a run with accounts.
func changeKeys(_ context.Context, s *soak, r *rand.Rand) error {
	if s.namesAccounts() {
		next := accounts(r.IntN(2) == 0)
		s.site.ChangeConfig(func(c *site.Config) { c.Accounts = next })
	}
	return nil
}

// setKey draws the key of a request, and states another account in some requests, in a run with accounts.
func (s *soak) setKey(a *site.Request, random *rand.Rand) {
	if !s.namesAccounts() {
		return
	}
	a.Key = callerKeys[random.IntN(len(callerKeys))]
	if random.IntN(4) == 0 {
		a.Fields += "x-tenant: forged\r\n"
	}
}
