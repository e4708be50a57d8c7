// Package route tells which backend servers may answer for a shard, which host is home of each, and which to choose.
package route

import "magnoliaworks/core/member"

// Server is a backend server with the hosts that may give it work.
type Server struct {
	ID             string
	Address        string
	DataCentre     string
	Collection     string
	Service        string
	Slots          int
	MaxConnections int
	// OutOfService is set when operators have taken the server or its data centre out of service.
	OutOfService bool
	// Homes are the home host and its deputy; both are missing when no host is live.
	Homes []member.Member
}

// Home returns the host that gives work to the server; ok is false when no host is live.
func (s Server) Home() (m member.Member, ok bool) {
	if len(s.Homes) == 0 {
		return member.Member{}, false
	}
	return s.Homes[0], true
}
