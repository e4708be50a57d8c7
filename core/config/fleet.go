package config

import "slices"

// Fleet is the configuration that applies to all collections.
type Fleet struct {
	// OutOfService lists the places that operators have taken out of service.
	OutOfService []Place `json:"out"`
	// Budgets limit the load of extra sub-requests.
	Budgets Budgets `json:"budgets"`
}

// Place is a data centre, a host or a backend server.
type Place struct {
	Type PlaceType `json:"type"`
	Name string    `json:"name"`
}

// PlaceType states whether a place is a data centre, a host or a backend server.
type PlaceType string

// Values of PlaceType.
const (
	DataCentrePlace PlaceType = "data_centre"
	HostPlace       PlaceType = "host"
	ServerPlace     PlaceType = "server"
)

// Budgets limit extra sub-requests (hedges, retries, and those sent to another data centre) to shares of the ordinary ones.
type Budgets struct {
	Hedge float64 `json:"hedge"`
	Retry float64 `json:"retry"`
	Cross float64 `json:"cross"`
}

// DefaultFleet returns the configuration of a fleet that no operator has changed.
func DefaultFleet() Fleet {
	return Fleet{
		Budgets: Budgets{
			Hedge: 0.03,
			Retry: 0.05,
			Cross: 0.25,
		},
	}
}

// IsOutOfService reports whether operators have taken the place out of service.
func (f Fleet) IsOutOfService(p Place) bool { return slices.Contains(f.OutOfService, p) }

// WithOutOfService returns a fleet in which the place is out of service.
func (f Fleet) WithOutOfService(p Place) Fleet {
	if f.IsOutOfService(p) {
		return f
	}
	f.OutOfService = append(slices.Clone(f.OutOfService), p)
	return f
}

// WithInService returns a fleet in which the place is in service.
func (f Fleet) WithInService(p Place) Fleet {
	f.OutOfService = slices.DeleteFunc(slices.Clone(f.OutOfService), func(q Place) bool { return q == p })
	return f
}

// WithBudgets returns a fleet with the budgets b.
func (f Fleet) WithBudgets(b Budgets) Fleet {
	f.Budgets = b
	return f
}
