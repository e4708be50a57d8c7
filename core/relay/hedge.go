package relay

import (
	"time"

	"magnoliaworks/core/route"
)

// hedgeDelay returns the time after which a call to a server is repeated. It leaves the repeat most of the objective,
// unless the kind usually takes that long.
func (f *flight) hedgeDelay(server route.Server) time.Duration {
	usual := f.r.parts.Picker.MedianLatency(f.route.Name)
	delay := hedgeFactor * usual
	if f.route.LatencyObjective > 0 {
		delay = min(delay, max(f.route.LatencyObjective/hedgePart, usual+usual/hedgePart))
	}
	delay = max(delay, hedgeMinimum)
	if server.DataCentre != f.r.parts.DataCentre {
		delay += farTime
	}
	return delay
}

// hedge repeats the calls that have taken too long, within the budget of their service.
func (f *flight) hedge(now time.Time) {
	if !f.route.Idempotent {
		return
	}
	for i := range f.shards {
		s := &f.shards[i]
		if s.closed || s.pending != 1 || s.hedgeAt.After(now) || s.sends >= maxSends || s.ran+s.pending >= f.route.MaxAttempts {
			continue
		}
		t := f.r.table.Load()
		server, ok := f.r.parts.Picker.Pick(f.candidates(t, s, now))
		if !ok || !f.r.take(t, server.ID, now) || !f.r.extra(s.service) {
			s.hedgeAt = now.Add(hedgeMinimum)
			continue
		}
		f.sendTo(i, server, hedge, now)
	}
}

// mirror also sends the message to a server that has been passed over, to learn whether it is fast again.
func (f *flight) mirror(i int, now time.Time) {
	s := &f.shards[i]
	if !f.route.Idempotent || f.route.MaxAttempts < 2 {
		return
	}
	t := f.r.table.Load()
	server, ok := f.r.parts.Picker.PickMirror(f.candidates(t, s, now), s.tried[0])
	if ok && f.r.take(t, server.ID, now) && f.r.extra(s.service) {
		f.sendTo(i, server, mirror, now)
	}
}
