package route

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaworks/core/limit"
	"magnoliaworks/core/query"
	"magnoliaworks/core/spill"
)

const (
	// sizeWeight is the weight of one reply in the smoothed size of a kind's replies.
	sizeWeight = 0.1
	// maxLeavingLogged bounds the logged calls that leave the data centre, a second.
	maxLeavingLogged = 1
)

// Events that count calls that would gain by leaving the data centre.
const (
	eventLeft   = "left_data_centre"
	eventNoRoom = "stayed_no_room"
)

// leaving holds by what a host decides which calls leave its data centre.
type leaving struct {
	terms      spill.Terms
	news       *spill.News
	countEvent func(name string)
	logRate    limit.Rate

	mu sync.Mutex
	// sizes holds the smoothed number of bytes of the replies of each kind that came from other data centres; at maxKinds all are
	// dropped.
	sizes map[string]float64
}

func newLeaving(terms spill.Terms, countEvent func(name string)) *leaving {
	return &leaving{
		terms:      terms,
		news:       spill.NewNews(),
		countEvent: countEvent,
		sizes:      make(map[string]float64),
	}
}

// leaves reports whether a call goes to the remote server, which are the best of either side with their expected times.
func (p *Picker) leaves(local, remote Server, kind string, localTime, remoteTime time.Duration, now time.Time) bool {
	l := p.leaving
	outlook := spill.Outlook{
		Local:  localTime,
		Remote: remoteTime,
		Bytes:  l.size(kind),
	}
	if !outlook.Pays(l.terms) {
		return false
	}
	outlook.Use = l.news.UseOf(remote.DataCentre, now)
	share := outlook.Share(l.terms)
	if rand.Float64() >= share {
		l.countEvent(eventNoRoom)
		return false
	}
	l.countEvent(eventLeft)
	if l.logRate.Allow(now, maxLeavingLogged) {
		p.journal.Record("route", local.Service, "left the data centre", fmt.Sprintf(
			"%s in %s expected after %s, %s here after %s; use there %.2f (known: %t), %s old; share %.2f",
			remote.ID, remote.DataCentre, remoteTime, local.ID, localTime, outlook.Use.Share, outlook.Use.Known, outlook.Use.Age, share))
	}
	return true
}

// observeRemote records what a server of another data centre states of its load, also as it refuses a call since it is full, and the size
// of its reply, which is nil for a refusal.
func (p *Picker) observeRemote(stats *serverStats, kind string, load query.Load, reply *query.Reply, now time.Time) {
	if p.leaving == nil || load.Slots == 0 {
		return
	}
	place := stats.place()
	if place == "" || place == p.dataCentre {
		return
	}
	p.leaving.news.Observe(place, useOf(load), now)
	if reply != nil {
		p.leaving.observeSize(kind, len(reply.Body))
	}
}

// useOf returns the running and waiting requests of a load as a share of its slots.
func useOf(load query.Load) float64 {
	return float64(load.Running+load.Waiting) / float64(load.Slots)
}

func (l *leaving) size(kind string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sizes[kind]
}

func (l *leaving) observeSize(kind string, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if smoothed, ok := l.sizes[kind]; ok {
		l.sizes[kind] = smoothed + sizeWeight*(float64(size)-smoothed)
		return
	}
	if len(l.sizes) >= maxKinds {
		clear(l.sizes)
	}
	l.sizes[kind] = float64(size)
}
