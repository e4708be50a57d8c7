// Package deploy describes whole deployments: data centres, services and kinds of request.
// The deployments of the first two users are embedded as commented examples.
package deploy

import (
	"embed"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/jsonc"
)

//go:embed *.jsonc
var files embed.FS

// Names lists the embedded deployments.
var Names = []string{"valparaiso", "arangam"}

// Spec describes one deployment.
type Spec struct {
	Name        string       `json:"name" need:"true" min:"1" max:"64"`
	DataCentres []string     `json:"data_centres" need:"true" min:"1" max:"64"`
	Delays      Delays       `json:"delays" need:"true"`
	Collections []Collection `json:"collections" need:"true" min:"1" max:"256"`
}

// Delays are the one-way delays of the network that the test stand simulates.
type Delays struct {
	BetweenDataCentres time.Duration `json:"between_data_centres" need:"true" min:"0ms" max:"1s"`
	ToCallers          time.Duration `json:"to_callers" need:"true" min:"0ms" max:"1s"`
}

// Collection describes a collection whose services all have the same number of replicas, slots and connections.
type Collection struct {
	Name string `json:"name" need:"true" min:"1" max:"64"`
	// Services is the number of services; each holds one shard.
	Services int `json:"services" need:"true" min:"1" max:"4096"`
	// Replicas is the number of replicas of each service, assigned to the data centres in turn.
	Replicas int `json:"replicas" need:"true" min:"1" max:"4096"`
	// Slots is the number of requests that a replica processes at once, Connections the number of connections that it
	// accepts, and ConnectTime the time to establish one.
	Slots       int           `json:"slots" need:"true" min:"1" max:"1024"`
	Connections int           `json:"connections" need:"true" min:"4" max:"65535"`
	ConnectTime time.Duration `json:"connect_time" need:"true" min:"0ms" max:"1s"`
	// ServiceTime is the median time that a replica spends on one sub-request; the simulated servers use it.
	ServiceTime time.Duration `json:"service_time" need:"true" min:"1ms" max:"10s"`
	// Weight is the collection's share of the requests in an experiment.
	Weight float64       `json:"weight" need:"true" min:"0" max:"1"`
	Kinds  []config.Kind `json:"kinds" need:"true" min:"1" max:"64"`
}

// Embedded returns the embedded deployment of that name, or an error that lists the known names.
func Embedded(name string) (Spec, error) {
	file := name + ".jsonc"
	data, err := files.ReadFile(file)
	if err != nil {
		return Spec{}, errors.Errorf("deployment %q does not exist; known: %s", name, strings.Join(Names, ", "))
	}
	return Decode(file, data)
}

// Decode parses a deployment and validates the configuration of each collection; errors name the file.
// The addresses of replicas are not part of a deployment, so the validation uses a placeholder.
func Decode(file string, data []byte) (Spec, error) {
	var s Spec
	if err := jsonc.Decode(file, data, &s); err != nil {
		return Spec{}, err
	}
	for _, c := range s.Collections {
		collection := s.CollectionConfig(c, func(string) string { return "127.0.0.1:1" })
		if err := collection.Check(); err != nil {
			return Spec{}, errors.Wrap(err, file)
		}
	}
	return s, nil
}

// CollectionConfig returns the configuration of a collection whose replicas have the given addresses.
func (s Spec) CollectionConfig(c Collection, address func(id string) string) config.Collection {
	collection := config.Collection{
		Name:  c.Name,
		Kinds: c.Kinds,
	}
	for i := range c.Services {
		service := config.Service{
			Name:           ServiceName(c.Name, i),
			Slots:          c.Slots,
			MaxConnections: c.Connections,
		}
		for r := range c.Replicas {
			id := ReplicaID(service.Name, r)
			service.Replicas = append(service.Replicas, config.Replica{
				ID:         id,
				Address:    address(id),
				DataCentre: s.DataCentres[(i+r)%len(s.DataCentres)],
			})
		}
		collection.Services = append(collection.Services, service)
	}
	return collection
}

// ServiceName returns the name of the i-th service of a collection.
func ServiceName(collection string, i int) string { return fmt.Sprintf("%s-%02d", collection, i) }

// ReplicaID returns the identifier of the r-th replica of a service.
func ReplicaID(service string, r int) string { return fmt.Sprintf("%s/%d", service, r) }
