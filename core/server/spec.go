package server

// Spec describes a backend server to its home.
type Spec struct {
	ID          string
	Address     string
	DataCentre  string
	Slots       int
	Connections int
	Permit      Permit
}

// Permit tells whether this host may give new work to a backend server.
type Permit int

// The permits.
const (
	// Home means that this host is the usual home of the server.
	Home Permit = iota + 1
	// Deputy means that this host takes work for the server while views of the fleet differ.
	Deputy
	// Away means that another host is home.
	Away
	// Out means that operators have taken the server or its data centre out of service.
	Out
)

// Directory knows the backend servers in the present configuration.
type Directory interface {
	// Server returns the description of a server; ok is false when the configuration lacks it.
	Server(id string) (spec Spec, ok bool)
	// Homed returns the servers that this host is the usual home of.
	Homed() []Spec
}
