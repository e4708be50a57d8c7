// Package route maps services to their replicas and backend servers to their home hosts, and chooses the replica for a call.
// A call is one sub-request or message to one backend server.
package route

import "magnoliaworks/core/member"

// Server is a backend server with the hosts that may send it work.
type Server struct {
	ID         string
	Address    string
	DataCentre string
	Collection string
	// Service is the service of which the server is a replica.
	Service string
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// MaxConnections is the largest number of connections that the server accepts, over all hosts.
	MaxConnections int
	// Replicas is the number of replicas of the service, and Preferred is set for the one in another data centre that this host calls
	// first. Both are set for messages only.
	Replicas  int
	Preferred bool
	// Incarnation identifies the start of the server's process, for messages; a server may start again under its ID.
	Incarnation int64
	// OutOfService is set when operators have taken the server or its data centre out of service.
	OutOfService bool
	// Homes are the home host, which keeps the server's queue and connections, and its standby, in this order;
	// it is empty when no host is available. For messages it is this host, since each host sends them itself.
	Homes []member.Member
}

// Home returns the home host of the server; ok is false when no host is available.
func (s Server) Home() (m member.Member, ok bool) {
	if len(s.Homes) == 0 {
		return member.Member{}, false
	}
	return s.Homes[0], true
}
