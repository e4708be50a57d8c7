// Package plan describes whole deployments: data centres, services and kinds of request.
// Both deployments of the first users are embedded as commented examples.
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

// Spec is one deployment.
type Spec struct {
	Name        string       `json:"name" need:"true" min:"1" max:"64"`
	DataCentres []string     `json:"data_centres" need:"true" min:"1" max:"64"`
	Delays      Delays       `json:"delays" need:"true"`
	Collections []Collection `json:"collections" need:"true" min:"1" max:"256"`
}

// Delays are one-way delays of the network.
type Delays struct {
	BetweenDataCentres time.Duration `json:"between_data_centres" need:"true" min:"0ms" max:"1s"`
	ToCallers          time.Duration `json:"to_callers" need:"true" min:"0ms" max:"1s"`
}

// Collection is a collection whose services all have the same shape.
type Collection struct {
	Name string `json:"name" need:"true" min:"1" max:"64"`
	// Services is the number of services; each holds one shard.
	Services int `json:"services" need:"true" min:"1" max:"4096"`
	// Replicas is the number of replicas of each service, spread over the data centres in turn.
	Replicas    int           `json:"replicas" need:"true" min:"1" max:"4096"`
	Slots       int           `json:"slots" need:"true" min:"1" max:"1024"`
	Connections int           `json:"connections" need:"true" min:"4" max:"65535"`
	ConnectTime time.Duration `json:"connect_time" need:"true" min:"0ms" max:"1s"`
	// ServiceTime is the median time of one sub-request at a replica; stand-ins use it.
	ServiceTime time.Duration `json:"service_time" need:"true" min:"1ms" max:"10s"`
	// Weight is the share of this collection in the load of an experiment.
	Weight float64       `json:"weight" need:"true" min:"0" max:"1"`
	Kinds  []config.Kind `json:"kinds" need:"true" min:"1" max:"64"`
}

// Embedded returns the embedded deployment of that name.
func Embedded(name string) (Spec, error) {
	file := name + ".jsonc"
	data, err := files.ReadFile(file)
	if err != nil {
		return Spec{}, errors.Errorf("deployment %q does not exist; known: %s", name, strings.Join(Names, ", "))
	}
	return Decode(file, data)
}

// Decode reads and checks a deployment; file stands in errors.
func Decode(file string, data []byte) (Spec, error) {
	var p Spec
	if err := jsonc.Decode(file, data, &p); err != nil {
		return Spec{}, err
	}
	for _, c := range p.Collections {
		whole := p.CollectionConfig(c, func(string) string { return "127.0.0.1:1" })
		if err := whole.Check(); err != nil {
			return Spec{}, errors.Wrap(err, file)
		}
	}
	return p, nil
}

// CollectionConfig returns the configuration of a collection whose replicas have the given addresses.
func (p Spec) CollectionConfig(c Collection, address func(id string) string) config.Collection {
	whole := config.Collection{
		Name:  c.Name,
		Kinds: c.Kinds,
	}
	for i := range c.Services {
		service := config.Service{
			Name:        ServiceName(c.Name, i),
			Slots:       c.Slots,
			Connections: c.Connections,
		}
		for r := range c.Replicas {
			id := ReplicaID(service.Name, r)
			service.Replicas = append(service.Replicas, config.Replica{
				ID:         id,
				Address:    address(id),
				DataCentre: p.DataCentres[(i+r)%len(p.DataCentres)],
			})
		}
		whole.Services = append(whole.Services, service)
	}
	return whole
}

// ServiceName returns the name of the i-th service of a collection.
func ServiceName(collection string, i int) string { return fmt.Sprintf("%s-%02d", collection, i) }

// ReplicaID returns the identifier of the r-th replica of a service.
func ReplicaID(service string, r int) string { return fmt.Sprintf("%s/%d", service, r) }
