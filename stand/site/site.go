package site

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/plan"
	"magnoliaworks/core/setup"
	"magnoliaworks/stand"
)

// Delays of the network, one way.
const (
	crossDelay  = 4 * time.Millisecond
	callerDelay = time.Millisecond
)

// DataCentres are the data centres of a site.
var DataCentres = []string{"east", "west", "north"}

// Site is a store, backend servers and the addresses of hosts.
type Site struct {
	Network      *stand.Network
	Store        *ObjectStore
	ExecutionLog *ExecutionLog
	Tasks        errgroup.Group
	// Config is the configuration that Apply stores.
	Config  Config
	servers map[string]*Server
	store   string
	// sets holds every shard set that a stored configuration named.
	sets   [][]string
	setsMu sync.Mutex
	mu     sync.Mutex
	reborn int
}

// New returns a site in memory with a running store and without servers.
func New() (*Site, error) {
	return on(stand.NewMemory(plan.Delays{
		BetweenDataCentres: crossDelay,
		ToCallers:          callerDelay,
	}))
}

// NewTCP returns a site on loopback without delays.
func NewTCP() (*Site, error) { return on(stand.NewTCP(plan.Delays{})) }

func on(network *stand.Network) (*Site, error) {
	s := &Site{
		Network:      network,
		Store:        NewObjectStore(),
		ExecutionLog: NewExecutionLog(),
		servers:      make(map[string]*Server),
		Config: Config{
			Limits: Limits{
				IdleTimeoutMS: 15000,
			},
		},
	}
	var err error
	if s.store, err = network.Address("", "store"); err != nil {
		return nil, err
	}
	l, err := network.Endpoint("", "store").Listen(s.store)
	if err != nil {
		return nil, err
	}
	s.Tasks.Go(func() error { return s.Store.Serve(l) })
	return s, nil
}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return s.store }

// ConfigureService adds a service to the configuration; Apply or Change stores it.
func (s *Site) ConfigureService(name string) {
	s.Config.Services = append(s.Config.Services, Service{
		Name:           name,
		MaxConnections: 40,
	})
}

// AddService configures a service and starts replicas of it, one data centre after the other.
func (s *Site) AddService(name string, replicas int, work time.Duration) error {
	s.ConfigureService(name)
	for i := range replicas {
		if _, err := s.AddServer(name, fmt.Sprintf("%s-%d", name, i), DataCentres[i%len(DataCentres)], work); err != nil {
			return err
		}
	}
	return nil
}

// AddServer starts a server and registers it.
func (s *Site) AddServer(service, id, centre string, work time.Duration) (*Server, error) {
	address, err := s.Network.ServerAddress(centre, 0)
	if err != nil {
		return nil, err
	}
	return s.addAt(service, id, centre, address, work)
}

// NewServer starts a server without registering it.
func (s *Site) NewServer(service, id, centre string, work time.Duration) (*Server, error) {
	address, err := s.Network.ServerAddress(centre, 0)
	if err != nil {
		return nil, err
	}
	return s.startAt(service, id, centre, address, work)
}

// Advertise makes a server register at another address, such as that of a proxy.
func (s *Site) Advertise(id, address string) { s.servers[id].advertised = address }

func (s *Site) addAt(service, id, centre, address string, work time.Duration) (*Server, error) {
	server, err := s.startAt(service, id, centre, address, work)
	if err == nil {
		s.Register(id, "ready", 0)
	}
	return server, err
}

func (s *Site) startAt(service, id, centre, address string, work time.Duration) (*Server, error) {
	server := &Server{
		id:      id,
		service: service,
		address: address,
		centre:  centre,
		side:    s.Network.Endpoint(centre, id),
		record:  s.ExecutionLog,
		tasks:   &s.Tasks,
		work:    work,
		random:  rand.New(rand.NewPCG(uint64(len(s.servers)), 7)),
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	server.advertised = address
	s.servers[id] = server
	return server, nil
}

// ReuseAddress starts another server at the address of one that has ended, whose entry stays for now.
func (s *Site) ReuseAddress(old, service, id string, work time.Duration) error {
	gone := s.servers[old]
	gone.Stop()
	_, err := s.addAt(service, id, gone.centre, gone.address, work)
	return err
}

// Register writes a server's entry.
func (s *Site) Register(id, state string, coldLeft time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[id]
	s.reborn++
	s.Store.Put("servers", id, Entry{
		Service:      server.service,
		Address:      server.advertised,
		Zone:         server.centre,
		Version:      "v1",
		Concurrency:  4,
		State:        state,
		WarmupLeftMS: coldLeft.Milliseconds(),
		Sequence:     s.reborn,
		Born:         1,
	})
}

// Drain makes a server leave: it registers as draining, or its entry goes when silent is set.
func (s *Site) Drain(id string, silent bool) {
	s.servers[id].Set(func(s *Server) { s.leaving = time.Now() })
	if silent {
		s.Store.Delete("servers", id)
		return
	}
	s.Register(id, "draining", 0)
}

// Undrain makes a server that was leaving take work again.
func (s *Site) Undrain(id string) {
	s.servers[id].Set(func(s *Server) { s.leaving = time.Time{} })
	s.Register(id, "ready", 0)
}

// EndEvacuation takes a data centre back.
func (s *Site) EndEvacuation(centre string) {
	for _, server := range s.servers {
		if server.centre == centre {
			server.Set(func(s *Server) { s.evacuated = time.Time{} })
		}
	}
	s.Store.Delete("evacuations", centre)
}

// ChangeConfig changes the configuration and stores it as a new version.
func (s *Site) ChangeConfig(change func(c *Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.Config)
	s.Apply()
}

// Evacuate takes a data centre out.
func (s *Site) Evacuate(centre string) {
	for _, server := range s.servers {
		if server.centre == centre {
			server.Set(func(s *Server) { s.evacuated = time.Now() })
		}
	}
	s.Store.Put("evacuations", centre, struct{}{})
}

// Server returns a server by its ID.
func (s *Site) Server(id string) *Server { return s.servers[id] }

// Apply stores the configuration as a new version.
func (s *Site) Apply() {
	s.Config.Version += 3
	s.setsMu.Lock()
	defer s.setsMu.Unlock()
	for _, r := range s.Config.Routes {
		if len(r.Shards) > 0 {
			s.sets = append(s.sets, r.Shards)
		}
	}
	s.Store.Put("config", "main", s.Config)
}

// Settings returns the settings of a host in a data centre.
func (s *Site) Settings(id, centre string, peers ...string) (setup.Settings, error) {
	settings := setup.Default()
	settings.ID, settings.DataCentre, settings.Peers = id, centre, peers
	settings.LeaveWait, settings.StopLimit = 2200*time.Millisecond, 5*time.Second
	settings.Platform = setup.Platform{
		ObjectAddress: s.store,
		RetryShare:    0.2,
		RetrySlack:    50,
		RetryWindow:   10 * time.Second,
		WarmupFactor:  1.5,
		WarmupSlack:   5,
	}
	for _, address := range []*string{
		&settings.CallerAddress, &settings.OperatorAddress, &settings.PeerAddress,
		&settings.Platform.CallerAddress, &settings.Platform.ReadyAddress,
	} {
		free, err := s.Network.Address(centre, id)
		if err != nil {
			return setup.Settings{}, err
		}
		*address = free
	}
	return settings, nil
}

// MarkOutage notes that trouble begins or ends that keeps hosts from what the store knows.
func (s *Site) MarkOutage(begins bool) { s.ExecutionLog.disturb(begins) }

// NoOutageFor reports whether there has been no such trouble for some time.
func (s *Site) NoOutageFor(d time.Duration) bool { return time.Since(s.ExecutionLog.calmSince()) > d }

// Stop ends the servers and the store.
func (s *Site) Stop() error {
	for _, server := range s.servers {
		server.Stop()
	}
	return s.Store.http.Shutdown()
}
