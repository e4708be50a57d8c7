package stand

import (
	"net"
	"time"

	"magnoliaworks/core/config"
	"magnoliaworks/core/index"
	"magnoliaworks/core/plan"
	"magnoliaworks/io/hosts"
)

const (
	// storeLatency is the time of one call of the store.
	storeLatency = 3 * time.Millisecond
	// firstSnapshot is the version of the first snapshot of each collection.
	firstSnapshot = 1
)

// Platform is the stand-in of everything outside the hosts, for one deployment.
type Platform struct {
	Plan         plan.Plan
	Network      *Network
	Store        *Store
	ExecutionLog *ExecutionLog
	// StoreAddress is the address of both the object API and the list of hosts.
	StoreAddress string
	servers      map[string]*Server
	// order lists the servers' identifiers in the order of the plan.
	order    []string
	listener net.Listener
}

// NewPlatform starts the store and the backend servers of a deployment, warm and holding the first snapshot.
func NewPlatform(p plan.Plan, network *Network, seed uint64) (*Platform, error) {
	f := &Platform{
		Plan:         p,
		Network:      network,
		Store:        NewStore(storeLatency),
		ExecutionLog: NewExecutionLog(),
		servers:      make(map[string]*Server),
	}
	address, err := network.Address("", storeOwner)
	if err != nil {
		return nil, err
	}
	f.StoreAddress = address
	if f.listener, err = network.Endpoint("", storeOwner).Listen(address); err != nil {
		return nil, err
	}
	network.tasks.Go(func() error { return f.Store.Serve(f.listener) })
	for _, c := range p.Collections {
		if err := f.addCollection(c, seed); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addCollection starts the replicas of a collection and stores its configuration and index.
func (f *Platform) addCollection(c plan.Collection, seed uint64) error {
	shape := f.Plan.Configuration(c, func(string) string { return "" })
	addresses := make(map[string]string)
	for _, service := range shape.Services {
		for _, r := range service.Replicas {
			address, err := f.Network.ServerAddress(r.DataCentre, c.ConnectTime)
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
				Seed:        seed + uint64(len(f.order)),
			}, f.Network.Endpoint(r.DataCentre, r.ID), f.ExecutionLog, firstSnapshot)
			if err := s.Start(); err != nil {
				return err
			}
			f.servers[r.ID] = s
			f.order = append(f.order, r.ID)
		}
	}
	whole := f.Plan.Configuration(c, func(id string) string { return addresses[id] })
	f.Store.Seed(config.Key(config.CollectionScope(c.Name)), config.NewCollectionObject(whole).Encode())
	f.Store.Seed(config.Key(config.IndexScope(c.Name)), firstIndex(c).Encode())
	return nil
}

func firstIndex(c plan.Collection) index.Index {
	s := index.Snapshot{
		Version: firstSnapshot,
	}
	for i := range c.Services {
		name := plan.ServiceName(c.Name, i)
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

// Servers returns the backend servers in the order of the plan.
func (f *Platform) Servers() []*Server {
	all := make([]*Server, len(f.order))
	for i, id := range f.order {
		all[i] = f.servers[id]
	}
	return all
}

// Server returns one backend server.
func (f *Platform) Server(id string) *Server { return f.servers[id] }

// ID returns the server's identifier.
func (s *Server) ID() string { return s.spec.ID }

// DataCentre returns the server's data centre.
func (s *Server) DataCentre() string { return s.spec.DataCentre }

// SetHosts replaces the platform's list of hosts.
func (f *Platform) SetHosts(list []hosts.Host) { f.Store.SetHostList(list) }

// Publish adds a snapshot to a collection's index; split makes two shards of each shard of the newest one.
// The replicas take it over one after the other; they keep the one before for a while.
func (f *Platform) Publish(collection string, split bool) (uint64, error) {
	key := config.Key(config.IndexScope(collection))
	ix, err := index.Decode(f.Store.Value(key))
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
	f.Store.Seed(key, ix.With(next, keepSnapshots).Encode())
	return next.Version, nil
}

// keepSnapshots is the number of snapshots that an index lists.
const keepSnapshots = 3

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

// Stop ends all stand-ins.
func (f *Platform) Stop() {
	for _, s := range f.Servers() {
		s.Stop()
	}
	_ = f.listener.Close()
	_ = f.Store.http.Shutdown()
}
