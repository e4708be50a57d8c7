package watch

import (
	"context"
	"time"
)

// regainTime is the time for which the store must answer a host that doesn't watch it, after it didn't, before the host makes a call that
// isn't a ping. The hosts that watch the store for it notice the return with their next ping, and feed it within feedRetryPeriod.
const regainTime = pingPeriod + 100*time.Millisecond + feedRetryPeriod

// contact is what a host that doesn't watch the store knows of its path to it since another host has last fed it. The zero value knows
// nothing.
type contact struct {
	// lost is set once the store hasn't answered.
	lost bool
	// usableFrom is the time from which the host may call the store; zero while the store hasn't answered the last call.
	usableFrom time.Time
	// pingFrom is the time before which no further ping is made.
	pingFrom time.Time
}

// usable reports whether the host may call the store.
func (c contact) usable(now time.Time) bool {
	return !c.usableFrom.IsZero() && !now.Before(c.usableFrom)
}

// pingDue reports whether the host has to ping the store to learn whether it answers.
func (c contact) pingDue(now time.Time) bool { return c.usableFrom.IsZero() && !now.Before(c.pingFrom) }

// withPingFrom returns the contact with a time before which no further ping is made.
func (c contact) withPingFrom(at time.Time) contact {
	c.pingFrom = at
	return c
}

// withoutAnswer returns the contact without the last answer, so that the next call is a ping.
func (c contact) withoutAnswer() contact {
	c.usableFrom = time.Time{}
	return c
}

// withResult returns the contact after a ping of the store has ended with an error or nil.
func (c contact) withResult(now time.Time, err error) contact {
	switch {
	case err != nil:
		c.lost, c.usableFrom = true, time.Time{}
	case c.usableFrom.IsZero() && c.lost:
		c.usableFrom = now.Add(regainTime)
	case c.usableFrom.IsZero():
		c.usableFrom = now
	}
	return c
}

// mayCallStore reports whether this host, which doesn't watch the store, may make calls to it that cost more than a ping. It pings the store
// first, and again at intervals while that brings no answer: a whole fleet that looks for the changes of a store that is away would make
// more calls in seconds than in the rest of a day.
func (w *Watcher) mayCallStore(ctx context.Context) bool {
	now := time.Now()
	w.mu.Lock()
	due := w.contact.pingDue(now)
	if due {
		w.contact = w.contact.withPingFrom(now.Add(jitter(pingPeriod)))
	}
	usable := w.contact.usable(now)
	w.mu.Unlock()
	if !due {
		return usable
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := w.source.Ping(callCtx)
	if ctx.Err() != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now = time.Now()
	w.contact = w.contact.withResult(now, err)
	return w.contact.usable(now)
}

// forgetAnswer makes this host ping the store before its next call, after one has failed or has shown that something is missing.
func (w *Watcher) forgetAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.contact = w.contact.withoutAnswer()
}
