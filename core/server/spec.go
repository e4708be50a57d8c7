package server

// Spec describes a backend server to its home host.
type Spec struct {
	ID         string
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// MaxConnections is the largest number of connections that the server accepts, over all hosts.
	MaxConnections int
	Assignment     Assignment
}

// Assignment is the role of this host for a backend server, which decides whether it may send new work there.
type Assignment int

// The assignments.
const (
	// Home means that this host is the home of the server.
	Home Assignment = iota + 1
	// Standby means that this host accepts work for the server while views of the fleet differ.
	Standby
	// Unassigned means that this host is neither home nor standby of the server.
	Unassigned
	// OutOfService means that operators have taken the server or its data centre out of service.
	OutOfService
)

// Directory looks up backend servers in the current configuration.
type Directory interface {
	// Server returns the description of a server; ok is false when it is not in the configuration.
	Server(id string) (spec Spec, ok bool)
	// HomeServers returns the servers whose home is this host.
	HomeServers() []Spec
}
