package config

import "github.com/pkg/errors"

// checkPlace returns an error when no replica stands in the named data centre or server.
// Hosts are not part of the configuration, so any host name passes.
func (s State) checkPlace(p Place) error {
	if p.Type == HostPlace {
		return nil
	}
	for _, c := range s.Collections() {
		for _, service := range c.Services {
			for _, r := range service.Replicas {
				if p.covers(r) {
					return nil
				}
			}
		}
	}
	return errors.Errorf("%s %q is not known", p.Type, p.Name)
}

func (p Place) covers(r Replica) bool {
	switch p.Type {
	case DataCentrePlace:
		return r.DataCentre == p.Name
	case ServerPlace:
		return r.ID == p.Name
	default:
		return false
	}
}

// collectionWithoutService returns a collection with a service none of whose replicas is in service.
func (s State) collectionWithoutService(f Fleet) (name string, found bool) {
	for _, c := range s.Collections() {
		for _, service := range c.Services {
			if !service.anyIn(f) {
				return c.Name, true
			}
		}
	}
	return "", false
}

func (s Service) anyIn(f Fleet) bool {
	for _, r := range s.Replicas {
		if f.InService(r) {
			return true
		}
	}
	return false
}

// InService reports whether neither the replica nor its data centre is out.
func (f Fleet) InService(r Replica) bool {
	for _, p := range f.OutOfService {
		if p.covers(r) {
			return false
		}
	}
	return true
}
