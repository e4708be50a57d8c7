package config

import "github.com/pkg/errors"

// checkPlace returns an error when the configuration has no such data centre or backend server.
// Hosts are not part of the configuration, so any host name is valid.
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

// covers reports whether the replica is in the place; hosts have no replicas.
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

// unservedCollection returns the name of the first collection that has a service without a replica in service.
func (s State) unservedCollection(f Fleet) (name string, found bool) {
	for _, c := range s.Collections() {
		for _, service := range c.Services {
			if !service.anyInService(f) {
				return c.Name, true
			}
		}
	}
	return "", false
}

// anyInService reports whether at least one replica of the service is in service.
func (s Service) anyInService(f Fleet) bool {
	for _, r := range s.Replicas {
		if f.InService(r) {
			return true
		}
	}
	return false
}

// InService reports whether neither the replica nor its data centre is out of service.
func (f Fleet) InService(r Replica) bool {
	for _, p := range f.OutOfService {
		if p.covers(r) {
			return false
		}
	}
	return true
}
