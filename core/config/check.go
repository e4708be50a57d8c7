package config

import (
	"net"

	"github.com/pkg/errors"
)

// Check validates what the struct tags cannot: that names are unique, that addresses have a port, and that the fields of each
// kind agree with each other.
func (c Collection) Check() error {
	if err := c.checkServices(); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, k := range c.Kinds {
		if seen[k.Name] {
			return errors.Errorf("kind %q occurs twice in collection %q", k.Name, c.Name)
		}
		seen[k.Name] = true
		if err := k.check(); err != nil {
			return errors.Wrapf(err, "collection %q", c.Name)
		}
	}
	return nil
}

func (c Collection) checkServices() error {
	services := make(map[string]bool)
	replicas := make(map[string]bool)
	for _, s := range c.Services {
		if services[s.Name] {
			return errors.Errorf("service %q occurs twice in collection %q", s.Name, c.Name)
		}
		services[s.Name] = true
		for _, r := range s.Replicas {
			if replicas[r.ID] {
				return errors.Errorf("replica %q occurs twice in collection %q", r.ID, c.Name)
			}
			replicas[r.ID] = true
			if _, _, err := net.SplitHostPort(r.Address); err != nil {
				return errors.Errorf("replica %q: address %q is not of the form IP:port", r.ID, r.Address)
			}
		}
	}
	return nil
}

// check validates that a kind that must not run twice has a ledger, no hedging and a single shard.
func (k Kind) check() error {
	if k.Idempotence != Once {
		return nil
	}
	if k.Ledger != LedgerRequired {
		return errors.Errorf("kind %q runs once but does not require the ledger", k.Name)
	}
	if k.Hedging == HedgingOn {
		return errors.Errorf("kind %q runs once but has hedging on", k.Name)
	}
	if k.Fanout != OneShard {
		return errors.Errorf("kind %q runs once but goes to all shards", k.Name)
	}
	return nil
}
