// Package fair decides who is served when not all requests can be: by priority, then fairly among client accounts. It does no I/O;
// times are passed in.
package fair

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time after which a past request counts half among those that compete, and usualHalfLife among those that tell
	// what is usual. A flood lasts for some seconds.
	halfLife      = 2 * time.Second
	usualHalfLife = 2 * time.Minute
	// forgotten is the weight below which what is usual of an account is forgotten, some minutes after its last request.
	forgotten = 0.01
	// priorRequests is the number of past requests that the accounts' allowances stand for, so that a host that has just started goes
	// by these.
	priorRequests = 20
	// leastPart is the least chance of a request relative to all: no account and no priority may be served a quarter as often as
	// all, and half leaves room for chance.
	leastPart = 0.5
	// judgedAlone is the number of requests expected of an account from which it is judged by itself, and judgedFlood the number of
	// recent requests from which any is. Those of others are too few to tell a flood from chance and are judged together.
	judgedAlone = 4
	judgedFlood = 8
)

// Claim is a request that asks to be served.
type Claim struct {
	Account string
	// Part is the account's part of the allowances of all accounts, between 0 and 1.
	Part float64
	// Priority ranks the request; 0 is the most urgent.
	Priority int
}

// Shares divides what can be served of one kind of request among those who ask. It is safe for concurrent use.
//
// It answers overload in which an account asks for far more than usual. Refusing all alike lets its flood take from all others; equal
// parts for all would starve a large account that asks for no more than usual. So each account's part is what it usually asks for at
// this host, at first by its allowance; what one doesn't use goes to the others, and a deviation within chance isn't held against it.
// Allowances alone can't tell, since the callers of an account may be at few hosts.
//
// Callers that return after a refusal have the chance of new ones. To prefer them would serve no more callers, and fewer at once.
type Shares struct {
	mu       sync.Mutex
	accounts map[claimant]*asked
	at       time.Time
}

// claimant is an account with the priority of its requests.
type claimant struct {
	account  string
	priority int
}

// asked is what an account has asked for recently.
type asked struct {
	// requests counts the recent requests.
	requests float64
	// usual counts the requests of the last minutes.
	usual float64
	part  float64
}

// New returns the shares of requests of which none has come yet.
func New() *Shares {
	return &Shares{
		accounts: make(map[claimant]*asked),
	}
}

// Chance records a request and returns the chance with which it is to be served, if the overall part of the requests can be.
func (s *Shares) Chance(c Claim, overall float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.record(c)
	if overall >= 1 {
		return 1
	}
	chance := s.classChance(c.Priority, overall)
	if chance >= 1 {
		return 1
	}
	groups, own := s.groups(claimant{account: c.Account, priority: c.Priority})
	return max(own.chance(groups, chance), leastPart*overall)
}

// record counts a request. The caller holds mu.
func (s *Shares) record(c Claim) {
	key := claimant{account: c.Account, priority: c.Priority}
	a, ok := s.accounts[key]
	if !ok {
		a = &asked{}
		s.accounts[key] = a
	}
	a.requests++
	a.usual++
	a.part = c.Part
}

// decay reduces the weight of past requests. The caller holds mu.
func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	usualFactor := math.Exp2(-float64(elapsed) / float64(usualHalfLife))
	s.at = now
	for key, a := range s.accounts {
		a.requests *= factor
		if a.usual *= usualFactor; a.usual < forgotten {
			delete(s.accounts, key)
		}
	}
}

// classChance returns the chance of the requests of a priority: more urgent ones come first, except that less urgent ones keep the
// least part. The caller holds mu.
func (s *Shares) classChance(priority int, overall float64) float64 {
	var above, own, below float64
	for key, a := range s.accounts {
		switch {
		case key.priority < priority:
			above += a.requests
		case key.priority == priority:
			own += a.requests
		default:
			below += a.requests
		}
	}
	served, least := overall*(above+own+below), leastPart*overall
	left := served - min(above, served-least*(own+below))
	return min(max((left-least*below)/own, least), 1)
}

// group is an account that is judged by itself, or all others of its priority.
type group struct {
	// requests counts the recent requests.
	requests float64
	// weight is the number of requests by which the group is served.
	weight float64
}

// chance returns the chance of the group's requests if a part of those of all groups can be served.
func (g group) chance(groups []group, part float64) float64 {
	served := 0.0
	for _, other := range groups {
		served += part * other.requests
	}
	return min(fill(groups, served)*g.weight/g.requests, 1)
}

// basis returns what the account's part is measured by.
func (a *asked) basis() float64 { return a.usual + priorRequests*a.part }

// totals returns the recent requests of a priority, and the sum of what their accounts' parts are measured by. The caller holds mu.
func (s *Shares) totals(priority int) (requests, basis float64) {
	for key, a := range s.accounts {
		if key.priority == priority {
			requests += a.requests
			basis += a.basis()
		}
	}
	return requests, basis
}

// groups returns the groups of the claimant's priority, with the weights by which they are served, and that of the claimant. The
// first holds the accounts that are judged together. The caller holds mu.
func (s *Shares) groups(of claimant) (groups []group, own group) {
	requests, basis := s.totals(of.priority)
	groups = make([]group, 1, 8)
	ownIndex := 0
	for key, a := range s.accounts {
		if key.priority != of.priority {
			continue
		}
		expected := requests * a.basis() / basis
		if expected < judgedAlone && a.requests < judgedFlood {
			groups[0].requests += a.requests
			groups[0].weight += expected
			continue
		}
		if key == of {
			ownIndex = len(groups)
		}
		groups = append(groups, group{
			requests: a.requests,
			weight:   expected,
		})
	}
	for i := range groups {
		groups[i].weight = withinChance(groups[i].requests, groups[i].weight)
	}
	return groups, groups[ownIndex]
}

// withinChance returns the number of requests that a group has asked for, as far as that deviates by chance alone from the number
// expected: by the standard deviation of a Poisson process whose events count half as much after each half-life.
func withinChance(requests, expected float64) float64 {
	deviation := math.Sqrt(expected / 2)
	return min(max(requests, expected-deviation), expected+deviation)
}

// fill returns the level at which the groups are served the given number of requests in total, if each gets the level times its
// weight, but no more than it asks for.
func fill(groups []group, served float64) float64 {
	const steps = 30
	low, high := 0.0, 1.0
	for range steps {
		if total(groups, high) >= served {
			break
		}
		low, high = high, 2*high
	}
	for range steps {
		middle := (low + high) / 2
		if total(groups, middle) < served {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// total returns the number of requests that are served at a level.
func total(groups []group, level float64) float64 {
	sum := 0.0
	for _, g := range groups {
		sum += min(level*g.weight, g.requests)
	}
	return sum
}
