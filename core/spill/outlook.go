// Package spill decides whether a call leaves the data centre of its host, and which share of such calls does, without I/O.
package spill

import "time"

const (
	// spareUse is the use of the remote servers up to which all calls that gain by it may leave, and fullUse that from which
	// none may. Between the two the share falls evenly, so that hosts which know nothing of each other share what room is left.
	spareUse = 0.8
	fullUse  = 1.6
	// unknownShare is the share that leaves while the use of the remote servers is unknown: calls that leave bring the news, and
	// those that stay keep the other data centre from getting the whole load of this one.
	unknownShare = 0.5
)

// Terms state what leaving the data centre has to save.
type Terms struct {
	// MinSaving is the least time, and MinSavingShare the least share of the local time, that a call must save.
	MinSaving      time.Duration
	MinSavingShare float64
	// MegabyteTime is the time of a caller's wait that 10^6 bytes between data centres are worth.
	MegabyteTime time.Duration
}

// Outlook is what a host expects of a call in its own data centre and in another one.
type Outlook struct {
	// Local and Remote are the expected times to the reply of the best server on either side.
	Local  time.Duration
	Remote time.Duration
	// Bytes is the number of bytes of the reply.
	Bytes float64
	// Use is the use of the servers of the other data centre.
	Use Use
}

// Use is the number of running and waiting requests of servers, as a share of their slots.
type Use struct {
	// Known is set if the share was stated recently; Age is the time since then.
	Known bool
	Share float64
	Age   time.Duration
}

// Saves returns the time that leaving saves, less the price of the bytes.
func (o Outlook) Saves(t Terms) time.Duration {
	return o.Local - o.Remote - time.Duration(o.Bytes/1e6*float64(t.MegabyteTime))
}

// Pays reports whether leaving saves what the terms ask for.
func (o Outlook) Pays(t Terms) bool {
	saves := o.Saves(t)
	return saves >= t.MinSaving && saves >= time.Duration(t.MinSavingShare*float64(o.Local))
}

// Share returns the share of calls with this outlook that leave, between 0 and 1.
//
// It answers a data centre whose own servers are short while those of another one have room: what they have is used, and no
// more, although all hosts decide at the same time.
func (o Outlook) Share(t Terms) float64 {
	switch {
	case !o.Pays(t):
		return 0
	case !o.Use.Known:
		return unknownShare
	default:
		return min(max((fullUse-o.Use.Share)/(fullUse-spareUse), 0), 1)
	}
}
