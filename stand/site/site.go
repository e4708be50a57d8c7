package site

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/deploy"
	"magnoliaworks/core/setup"
	"magnoliaworks/stand"
)

// One-way delays of the network between data centres and between callers and hosts.
const (
	dataCentreDelay = 4 * time.Millisecond
	callerDelay     = time.Millisecond
)

// DataCentres are the data centres of a site.
var DataCentres = []string{"east", "west", "north"}

// storeOwner is the owner of the store's endpoint.
const storeOwner = "store"

// Site is a fake platform: an object store, backend servers and the network between them, hosts and callers.
type Site struct {
	Network      *stand.Network
	Store        *ObjectStore
	ExecutionLog *ExecutionLog
	Tasks        errgroup.Group
	// Config is the configuration that the next Apply stores.
	Config       Config
	servers      map[string]*Server
	storeAddress string
	keys         *keys
	// shardSets holds every shard set that a stored configuration named.
	shardSets   [][]string
	shardSetsMu sync.Mutex
	// Exposure holds the bounds of roll-outs in the settings of hosts; without a share there are none.
	Exposure Exposure
	mu       sync.Mutex
	sequence int
}

// New returns a site on an in-process network with delays, with a running store and without servers.
func New() (*Site, error) {
	return newSite(stand.NewMemory(deploy.Delays{
		BetweenDataCentres: dataCentreDelay,
		ToCallers:          callerDelay,
	}))
}

// NewTCP returns a site on loopback TCP without delays, with a running store and without servers.
func NewTCP() (*Site, error) { return newSite(stand.NewTCP(deploy.Delays{})) }

// newSite starts a store on the network.
func newSite(network *stand.Network) (*Site, error) {
	s := &Site{
		Network:      network,
		Store:        NewObjectStore(),
		ExecutionLog: NewExecutionLog(),
		servers:      make(map[string]*Server),
		keys:         newKeys(),
		Config: Config{
			Limits: Limits{
				IdleTimeoutMS: 15000,
			},
		},
	}
	var err error
	if s.storeAddress, err = network.Address("", storeOwner); err != nil {
		return nil, err
	}
	l, err := network.Endpoint("", storeOwner).Listen(s.storeAddress)
	if err != nil {
		return nil, err
	}
	s.Tasks.Go(func() error { return s.Store.Serve(l) })
	return s, nil
}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return s.storeAddress }

// ConfigureService adds a service to the configuration; Apply or ChangeConfig stores it.
func (s *Site) ConfigureService(name string) {
	s.Config.Services = append(s.Config.Services, Service{
		Name:           name,
		MaxConnections: 40,
	})
}

// AddService configures a service and starts its replicas, spread round robin over the data centres.
func (s *Site) AddService(name string, replicas int, serviceTime time.Duration) error {
	s.ConfigureService(name)
	for i := range replicas {
		if _, err := s.AddServer(name, fmt.Sprintf("%s-%d", name, i), DataCentres[i%len(DataCentres)], serviceTime); err != nil {
			return err
		}
	}
	return nil
}

// AddServer starts a server and registers it as ready.
func (s *Site) AddServer(service, id, dataCentre string, serviceTime time.Duration) (*Server, error) {
	address, err := s.Network.ServerAddress(dataCentre, 0)
	if err != nil {
		return nil, err
	}
	return s.addAt(service, id, dataCentre, address, serviceTime)
}

// NewServer starts a server without registering it.
func (s *Site) NewServer(service, id, dataCentre string, serviceTime time.Duration) (*Server, error) {
	address, err := s.Network.ServerAddress(dataCentre, 0)
	if err != nil {
		return nil, err
	}
	return s.startAt(service, id, dataCentre, address, serviceTime)
}

// Advertise sets the address with which a server registers next, such as that of a proxy.
func (s *Site) Advertise(id, address string) { s.servers[id].advertised = address }

// addAt starts a server at an address and registers it as ready.
func (s *Site) addAt(service, id, dataCentre, address string, serviceTime time.Duration) (*Server, error) {
	server, err := s.startAt(service, id, dataCentre, address, serviceTime)
	if err == nil {
		s.Register(id, "ready", 0)
	}
	return server, err
}

// startAt starts a server at an address without registering it.
func (s *Site) startAt(service, id, dataCentre, address string, serviceTime time.Duration) (*Server, error) {
	server := &Server{
		id:          id,
		service:     service,
		address:     address,
		dataCentre:  dataCentre,
		endpoint:    s.Network.Endpoint(dataCentre, id),
		log:         s.ExecutionLog,
		keys:        s.keys,
		tasks:       &s.Tasks,
		serviceTime: serviceTime,
		version:     "v1",
		born:        1,
		quiets:      make(map[string]quiet),
		random:      rand.New(rand.NewPCG(uint64(len(s.servers)), 7)),
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	server.advertised = address
	s.servers[id] = server
	return server, nil
}

// ReuseAddress stops a server and starts another at its address. The entry of the stopped server stays.
func (s *Site) ReuseAddress(old, service, id string, serviceTime time.Duration) error {
	stopped := s.servers[old]
	stopped.Stop()
	_, err := s.addAt(service, id, stopped.dataCentre, stopped.address, serviceTime)
	return err
}

// Server returns a server by its ID.
func (s *Site) Server(id string) *Server { return s.servers[id] }

// Settings returns the settings of a host in a data centre, with free addresses for all its listeners.
func (s *Site) Settings(id, dataCentre string, peers ...string) (setup.Settings, error) {
	settings := setup.Default()
	settings.ID, settings.DataCentre, settings.Peers = id, dataCentre, peers
	settings.LeaveWait, settings.StopLimit = 2200*time.Millisecond, 5*time.Second
	settings.Platform = setup.Platform{
		ObjectAddress: s.storeAddress,
		RetryShare:    0.2,
		RetrySlack:    50,
		RetryWindow:   10 * time.Second,
		WarmupFactor:  1.5,
		WarmupSlack:   5,
		AssumedHosts:  128,

		ExposureShare: s.Exposure.Share,
		ExposureSlack: s.Exposure.Slack,
	}
	for _, address := range []*string{
		&settings.CallerAddress, &settings.OperatorAddress, &settings.PeerAddress,
		&settings.Platform.CallerAddress, &settings.Platform.ReadyAddress,
	} {
		free, err := s.Network.Address(dataCentre, id)
		if err != nil {
			return setup.Settings{}, err
		}
		*address = free
	}
	return settings, nil
}

// MarkOutage records that a fault begins or ends that keeps hosts from learning the state of the store.
func (s *Site) MarkOutage(begins bool) { s.ExecutionLog.markOutage(begins) }

// NoOutageFor reports whether the last outage ended longer ago than d.
func (s *Site) NoOutageFor(d time.Duration) bool { return time.Since(s.ExecutionLog.outageEnd()) > d }

// Stop stops the servers and the store.
func (s *Site) Stop() error {
	for _, server := range s.servers {
		server.Stop()
	}
	return s.Store.http.Shutdown()
}
