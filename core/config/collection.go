// Package config defines the configuration of the fleet, stores changes to it, and holds the versions in force on a host.
package config

import "time"

// Collection is a searchable collection: the services that hold its shards and the kinds of request that it accepts.
type Collection struct {
	Name     string    `json:"name" need:"true" min:"1" max:"64"`
	Services []Service `json:"services" need:"true" min:"1" max:"4096"`
	Kinds    []Kind    `json:"kinds" need:"true" min:"1" max:"64"`
}

// Service is a group of replicas that hold the same shards.
type Service struct {
	Name string `json:"name" need:"true" min:"1" max:"64"`
	// Slots is the number of requests that a replica runs concurrently.
	Slots int `json:"slots" need:"true" min:"1" max:"1024"`
	// MaxConnections is the largest number of connections that a replica accepts.
	MaxConnections int       `json:"connections" need:"true" min:"4" max:"65535"`
	Replicas       []Replica `json:"replicas" need:"true" min:"1" max:"4096"`
}

// Replica is one backend server.
type Replica struct {
	ID         string `json:"id" need:"true" min:"1" max:"128"`
	Address    string `json:"address" need:"true"`
	DataCentre string `json:"data_centre" need:"true" min:"1" max:"64"`
}

// Kind holds the requirements and limits of one kind of request.
type Kind struct {
	Name string `json:"name" need:"true" min:"1" max:"64"`
	// Deadline is the time after which an answer is no longer useful.
	Deadline time.Duration `json:"deadline" need:"true" min:"10ms" max:"60s"`
	// MinCoverage is the least share of the shards that an answer has to cover.
	MinCoverage float64     `json:"min_coverage" need:"true" min:"0" max:"1"`
	Idempotence Idempotence `json:"idempotence" need:"true" oneof:"idempotent|once"`
	// Priority decides which requests are served first under overload; 9 is the most urgent.
	Priority int     `json:"priority" need:"true" min:"0" max:"9"`
	Fanout   Fanout  `json:"fanout" need:"true" oneof:"all_shards|one_shard"`
	Hedging  Hedging `json:"hedging" need:"true" oneof:"on|off"`
	Ledger   Ledger  `json:"ledger" need:"true" oneof:"required|none"`
	// MaxHits is the largest number of hits that a caller may ask for.
	MaxHits int `json:"max_hits" need:"true" min:"1" max:"10000"`
}

// Idempotence states whether a request may run more than once.
type Idempotence string

// Fanout states which shards a request is sent to.
type Fanout string

// Hedging states whether a slow sub-request is also sent to a second replica.
type Hedging string

// Ledger states whether a request is recorded in the store before it runs.
type Ledger string

// Values of the enumerations of Kind.
const (
	Idempotent Idempotence = "idempotent"
	// Once requests must not run more than once.
	Once Idempotence = "once"

	AllShards Fanout = "all_shards"
	OneShard  Fanout = "one_shard"

	HedgingOn  Hedging = "on"
	HedgingOff Hedging = "off"

	LedgerRequired Ledger = "required"
	LedgerNone     Ledger = "none"
)

// Kind returns the kind with the given name; ok is false when the collection has none.
func (c Collection) Kind(name string) (k Kind, ok bool) {
	for _, kind := range c.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

// WithKind returns a collection in which k replaces the kind of the same name.
func (c Collection) WithKind(k Kind) Collection {
	kinds := append([]Kind{}, c.Kinds...)
	for i := range kinds {
		if kinds[i].Name == k.Name {
			kinds[i] = k
		}
	}
	c.Kinds = kinds
	return c
}
