package spill

import (
	"math"
	"sync"
	"time"
)

const (
	// newsTime is the time for which the mean of a data centre counts.
	newsTime = 3 * time.Second
	// newsHalfLife is the time after which a statement counts half in the mean.
	newsHalfLife = 500 * time.Millisecond
)

// News is what a host has heard lately of the use of the servers of other data centres. It is safe for concurrent use.
type News struct {
	mu      sync.Mutex
	centres map[string]*mean
}

// mean is a mean of statements, weighted by their age.
type mean struct {
	sum, weight float64
	at          time.Time
}

// NewNews returns news without any statement.
func NewNews() *News {
	return &News{
		centres: make(map[string]*mean),
	}
}

// Observe records the use that a server of a data centre has stated.
func (n *News) Observe(dataCentre string, use float64, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.centres[dataCentre]
	if !ok {
		m = &mean{}
		n.centres[dataCentre] = m
	}
	decay := math.Exp2(-float64(now.Sub(m.at)) / float64(newsHalfLife))
	m.sum, m.weight, m.at = decay*m.sum+use, decay*m.weight+1, now
}

// UseOf returns the mean use of the servers of a data centre; it is unknown if nothing was heard of them for newsTime. What a single
// server has stated says little of it a few calls later: its queue counts in the expected time.
func (n *News) UseOf(dataCentre string, now time.Time) Use {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.centres[dataCentre]
	if !ok || now.Sub(m.at) > newsTime {
		return Use{}
	}
	return Use{
		Known: true,
		Share: m.sum / m.weight,
		Age:   now.Sub(m.at),
	}
}
