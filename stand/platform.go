package stand

import (
	"net"
	"time"

	"magnoliaworks/core/config"
	"magnoliaworks/core/deploy"
	"magnoliaworks/core/index"
	"magnoliaworks/io/hosts"
)

const (
	// storeLatency is the time that each call to the store takes.
	storeLatency = 3 * time.Millisecond
	// firstSnapshot is the version of the first snapshot of each collection.
	firstSnapshot = 1
)

// Platform is a fake of everything outside the hosts of one deployment: network, store and backend servers.
type Platform struct {
	Deployment   deploy.Spec
	Network      *Network
	Store        *Store
	ExecutionLog *ExecutionLog
	// StoreAddress is the address that serves both the object API and the host list.
	StoreAddress string
	servers      map[string]*Server
	// order lists the servers' identifiers in the order of the deployment.
	order    []string
	listener net.Listener
}

// NewPlatform starts the store and the backend servers of a deployment; the servers are warm and hold the first snapshot.
func NewPlatform(p deploy.Spec, network *Network, seed uint64) (*Platform, error) {
	platform := &Platform{
		Deployment:   p,
		Network:      network,
		Store:        NewStore(storeLatency),
		ExecutionLog: NewExecutionLog(),
		servers:      make(map[string]*Server),
	}
	address, err := network.Address("", storeOwner)
	if err != nil {
		return nil, err
	}
	platform.StoreAddress = address
	if platform.listener, err = network.Endpoint("", storeOwner).Listen(address); err != nil {
		return nil, err
	}
	network.tasks.Go(func() error { return platform.Store.Serve(platform.listener) })
	for _, c := range p.Collections {
		if err := platform.addCollection(c, seed); err != nil {
			return nil, err
		}
	}
	return platform, nil
}

// addCollection starts the replicas of a collection and stores its configuration and its index.
func (p *Platform) addCollection(c deploy.Collection, seed uint64) error {
	withoutAddresses := p.Deployment.CollectionConfig(c, func(string) string { return "" })
	addresses := make(map[string]string)
	for _, service := range withoutAddresses.Services {
		for _, r := range service.Replicas {
			address, err := p.Network.ServerAddress(r.DataCentre, c.ConnectTime)
			if err != nil {
				return err
			}
			addresses[r.ID] = address
			s := NewServer(ServerSpec{
				ID:          r.ID,
				Address:     address,
				DataCentre:  r.DataCentre,
				Slots:       c.Slots,
				Connections: c.Connections,
				ServiceTime: c.ServiceTime,
				Seed:        seed + uint64(len(p.order)),
			}, p.Network.Endpoint(r.DataCentre, r.ID), p.ExecutionLog, firstSnapshot)
			if err := s.Start(); err != nil {
				return err
			}
			p.servers[r.ID] = s
			p.order = append(p.order, r.ID)
		}
	}
	withAddresses := p.Deployment.CollectionConfig(c, func(id string) string { return addresses[id] })
	p.Store.Seed(config.Key(config.CollectionScope(c.Name)), config.NewCollectionObject(withAddresses).Encode())
	p.Store.Seed(config.Key(config.IndexScope(c.Name)), firstIndex(c).Encode())
	return nil
}

// firstIndex returns an index with one snapshot that has one shard per service.
func firstIndex(c deploy.Collection) index.Index {
	s := index.Snapshot{
		Version: firstSnapshot,
	}
	for i := range c.Services {
		name := deploy.ServiceName(c.Name, i)
		s.Shards = append(s.Shards, index.Shard{
			ID:      name,
			Service: name,
		})
	}
	return index.Index{
		Collection: c.Name,
		Snapshots:  []index.Snapshot{s},
	}
}

// Servers returns the backend servers in the order of the deploy.
func (p *Platform) Servers() []*Server {
	all := make([]*Server, len(p.order))
	for i, id := range p.order {
		all[i] = p.servers[id]
	}
	return all
}

// Server returns one backend server.
func (p *Platform) Server(id string) *Server { return p.servers[id] }

// ID returns the server's identifier.
func (s *Server) ID() string { return s.spec.ID }

// DataCentre returns the server's data centre.
func (s *Server) DataCentre() string { return s.spec.DataCentre }

// SetHosts replaces the host list of the store.
func (p *Platform) SetHosts(list []hosts.Host) { p.Store.SetHostList(list) }

// Publish adds a snapshot to a collection's index and returns its version; split divides each shard of the newest snapshot into two.
// The replicas do not load it by themselves: the load tool moves them one after the other with Server.SetSnapshots,
// and lets them keep the previous snapshot for a while.
func (p *Platform) Publish(collection string, split bool) (uint64, error) {
	key := config.Key(config.IndexScope(collection))
	ix, err := index.Decode(p.Store.Value(key))
	if err != nil {
		return 0, err
	}
	newest, _ := ix.Newest()
	next := index.Snapshot{
		Version: newest.Version + 1,
		Shards:  newest.Shards,
	}
	if split {
		next.Shards = splitShards(newest.Shards)
	}
	p.Store.Seed(key, ix.With(next, keepSnapshots).Encode())
	return next.Version, nil
}

// keepSnapshots is the number of snapshots that an index keeps.
const keepSnapshots = 3

// splitShards divides each shard into two of the same service.
func splitShards(shards []index.Shard) []index.Shard {
	var split []index.Shard
	for _, s := range shards {
		for _, half := range []string{"-a", "-b"} {
			split = append(split, index.Shard{
				ID:      s.ID + half,
				Service: s.Service,
			})
		}
	}
	return split
}

// Stop stops the backend servers and the store.
func (p *Platform) Stop() {
	for _, s := range p.Servers() {
		s.Stop()
	}
	_ = p.listener.Close()
	_ = p.Store.http.Shutdown()
}
