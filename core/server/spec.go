package server

// Spec describes a backend server to its home.
type Spec struct {
	ID             string
	Address        string
	DataCentre     string
	Slots          int
	MaxConnections int
	Assignment     Assignment
}

// Assignment tells whether this host may give new work to a backend server.
type Assignment int

// The assignments.
const (
	// Home means that this host is the usual home of the server.
	Home Assignment = iota + 1
	// Standby means that this host takes work for the server while views of the fleet differ.
	Standby
	// Unassigned means that another host is home.
	Unassigned
	// OutOfService means that operators have taken the server or its data centre out of service.
	OutOfService
)

// Directory knows the backend servers in the present configuration.
type Directory interface {
	// Server returns the description of a server; ok is false when the configuration lacks it.
	Server(id string) (spec Spec, ok bool)
	// HomeServers returns the servers that this host is the usual home of.
	HomeServers() []Spec
}
