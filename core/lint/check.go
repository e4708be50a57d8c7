package lint

import (
	"strings"
	"time"
)

// Bounds are those of the hosts, beyond which limits of the configuration have no effect.
type Bounds struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Check returns what is wrong or doubtful in a configuration. Replicas holds the number of replicas of each service; it is nil if
// they aren't known.
func Check(c Config, bounds Bounds, replicas map[string]int) []Finding {
	k := &checker{
		config:   c,
		replicas: replicas,
		services: make(map[string]int, len(c.Services)),
	}
	k.checkServices()
	k.checkRoutes()
	k.checkUse()
	k.checkAccounts()
	k.checkLimits(bounds)
	return k.found
}

type checker struct {
	config   Config
	replicas map[string]int
	// services holds the index of each service.
	services map[string]int
	found    findings
}

func (k *checker) checkServices() {
	for i, s := range k.config.Services {
		first, twice := k.services[s.Name]
		switch {
		case s.Name == "":
			k.found.add(Error, at(ServiceEntry, i, Name), "the service has no name")
		case twice:
			k.found.add(Error, at(ServiceEntry, i, Name), "service %q is already entry %d", s.Name, first)
		default:
			k.services[s.Name] = i
		}
		if s.MaxConnections < 0 {
			k.found.add(Error, at(ServiceEntry, i, MaxConnections), "a negative number of connections")
		}
		if s.WarmupRate < 0 {
			k.found.add(Error, at(ServiceEntry, i, WarmupRate), "a negative rate")
		}
		if s.WarmupRate > 0 && s.WarmupRate < 1 {
			k.found.add(Warning, at(ServiceEntry, i, WarmupRate), "a cold replica of %q gets less than one request a second from all hosts together", s.Name)
		}
		if s.WarmupTime > 0 && s.WarmupRate == 0 {
			k.found.add(Warning, at(ServiceEntry, i, WarmupTime), "replicas of %q are cold for %s, but no rate is stated that they bear, so none binds the hosts", s.Name, s.WarmupTime)
		}
	}
}

// checkUse finds services that get nothing, and warm-up rates that the permitted connections can't carry.
func (k *checker) checkUse() {
	used := make(map[string]time.Duration)
	for _, r := range k.config.Routes {
		for _, name := range r.services() {
			if slowest, ok := used[name]; !ok || r.Objective > slowest {
				used[name] = r.Objective
			}
		}
	}
	for i, s := range k.config.Services {
		objective, ok := used[s.Name]
		if !ok && s.Name != "" {
			k.found.add(Warning, at(ServiceEntry, i, Name), "no route leads to service %q, so it gets nothing", s.Name)
		}
		if objective <= 0 || s.MaxConnections <= 0 {
			continue
		}
		if carried := float64(s.MaxConnections) / objective.Seconds(); s.WarmupRate > carried {
			k.found.add(Warning, at(ServiceEntry, i, WarmupRate),
				"%d connections carry %.0f requests a second within the objective of %s, so that the warm-up rate of %g never binds",
				s.MaxConnections, carried, objective, s.WarmupRate)
		}
	}
}

func (k *checker) checkAccounts() {
	names, holders := make(map[string]int), make(map[string]int)
	for i, a := range k.config.Accounts {
		first, twice := names[a.Name]
		switch {
		case a.Name == "":
			k.found.add(Error, at(AccountEntry, i, Name), "the account has no name")
		case twice:
			k.found.add(Error, at(AccountEntry, i, Name), "account %q is already entry %d", a.Name, first)
		default:
			names[a.Name] = i
		}
		k.checkKeys(i, a, holders)
		switch {
		case a.Rate < 0:
			k.found.add(Error, at(AccountEntry, i, Rate), "a negative allowance")
		case a.Burst < 0:
			k.found.add(Error, at(AccountEntry, i, Burst), "a negative burst")
		case a.Rate > 0 && a.Rate < 1 && a.Burst < 1:
			k.found.add(Error, at(AccountEntry, i, Rate), "account %q may send %g requests a second and none at once, which is below one request", a.Name, a.Rate)
		case a.Rate == 0 && a.Burst > 0:
			k.found.add(Warning, at(AccountEntry, i, Burst), "account %q has no rate and so no limit; its burst has no effect", a.Name)
		}
	}
	if len(k.config.Accounts) > 0 {
		return
	}
	for i, r := range k.config.Routes {
		if r.Public {
			k.found.add(Warning, at(RouteEntry, i, Public), "route %q needs no key, but no route does, since there are no accounts", r.Name)
		}
	}
}

// checkKeys checks the keys of an account. Findings hold no key. Holders holds the account of each key that was seen.
func (k *checker) checkKeys(i int, a Account, holders map[string]int) {
	if len(a.Keys) == 0 {
		k.found.add(Warning, at(AccountEntry, i, Keys), "account %q has no key, so nobody can use it", a.Name)
	}
	for j, key := range a.Keys {
		place := at(AccountEntry, i, Keys).element(j)
		holder, held := holders[key]
		switch {
		case key == "" || strings.ContainsAny(key, " \t\r\n"):
			k.found.add(Error, place, "a key of account %q is empty or holds white space, so no request can carry it", a.Name)
		case held && holder != i:
			k.found.add(Error, place, "the key belongs to account %q as well", k.config.Accounts[holder].Name)
		case held:
			k.found.add(Warning, place, "account %q has the key twice", a.Name)
		default:
			holders[key] = i
		}
	}
}

func (k *checker) checkLimits(bounds Bounds) {
	l := k.config.Limits
	place := func(f Field) Place { return at(LimitsEntry, NoIndex, f) }
	for _, n := range []struct {
		field Field
		value int64
	}{
		{field: MaxHeaderBytes, value: int64(l.MaxHeaderBytes)},
		{field: MaxBodyBytes, value: int64(l.MaxBodyBytes)},
		{field: HeaderTimeout, value: int64(l.HeaderTimeout)},
		{field: IdleTimeout, value: int64(l.IdleTimeout)},
	} {
		if n.value < 0 {
			k.found.add(Error, place(n.field), "a negative limit")
		}
	}
	if l.MaxBodyBytes > 0 && l.MaxHeaderBytes > l.MaxBodyBytes {
		k.found.add(Warning, place(MaxHeaderBytes), "headers may have %d bytes and bodies only %d", l.MaxHeaderBytes, l.MaxBodyBytes)
	}
	if l.MaxHeaderBytes > bounds.MaxHeaderBytes {
		k.found.add(Warning, place(MaxHeaderBytes), "hosts accept headers of %d bytes at most", bounds.MaxHeaderBytes)
	}
	if l.MaxBodyBytes > bounds.MaxBodyBytes {
		k.found.add(Warning, place(MaxBodyBytes), "hosts accept bodies of %d bytes at most", bounds.MaxBodyBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.found.add(Warning, place(HeaderTimeout), "a header may take %s, longer than a connection may be idle, %s", l.HeaderTimeout, l.IdleTimeout)
	}
}
