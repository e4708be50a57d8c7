package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"magnoliaworks/core/timer"
	"magnoliaworks/stand/site"
)

// entryFaults returns the faults of servers' entries in the store.
func entryFaults() []fault {
	return []fault{
		{name: "entry_written_late", planned: true, run: writeEntryLate},
		{name: "entry_expires", storeWide: true, run: expireEntry},
		{name: "entries_malformed", planned: true, run: putMalformedEntries},
		{name: "server_reboots", planned: true, run: func(_ context.Context, s *soak, r *rand.Rand) error {
			s.site.Reboot(s.randomServer(r))
			return nil
		}},
		{name: "foreign_changes", planned: true, run: changeForeignObjects},
	}
}

func (s *soak) randomServer(r *rand.Rand) string { return s.serverIDs[r.IntN(len(s.serverIDs))] }

// writeEntryLate removes the entry of a server that leaves, and lets the store execute an early write of it up to 3 s later.
func writeEntryLate(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.randomServer(r)
	s.site.Drain(id, true)
	_ = timer.Sleep(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
	s.site.RegisterLate(id)
	_ = timer.Sleep(ctx, 2*time.Second)
	s.site.Store.Delete("servers", id)
	_ = timer.Sleep(ctx, 2*time.Second)
	s.site.Undrain(id)
	return nil
}

// expireEntry removes the entry of a server that lives while the store is away. It is back within 2 s of the store's return.
func expireEntry(ctx context.Context, s *soak, r *rand.Rand) error {
	id := s.randomServer(r)
	s.site.Store.SetState(site.StoreBusy)
	s.site.Store.Delete("servers", id)
	_ = timer.Sleep(ctx, time.Second)
	s.site.Store.SetState(site.StoreUp)
	_ = timer.Sleep(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
	s.site.Register(id, "ready", 0)
	return nil
}

// malformedEntries are entries that another writer may leave.
var malformedEntries = []string{
	`{}`, `7`, `"x"`, `[]`, `{"service": 7}`,
	`{"service": "desk", "address": "127.0.0.1:0", "zone": "east", "state": "resting"}`,
	`{"service": "desk", "zone": "east", "state": "ready", "concurrency": -1}`,
}

// putMalformedEntries stores such entries and removes them after 2 s.
func putMalformedEntries(ctx context.Context, s *soak, _ *rand.Rand) error {
	for i, entry := range malformedEntries {
		s.site.Store.PutRaw("servers", fmt.Sprintf("odd-%d", i), []byte(entry))
	}
	_ = timer.Sleep(ctx, 2*time.Second)
	for i := range malformedEntries {
		s.site.Store.Delete("servers", fmt.Sprintf("odd-%d", i))
	}
	return nil
}

// changeForeignObjects changes objects of a kind that no host watches, for 2 s.
func changeForeignObjects(ctx context.Context, s *soak, r *rand.Rand) error {
	for range 20 {
		s.site.Store.Put("foreign", "object", r.Int())
		_ = timer.Sleep(ctx, 100*time.Millisecond)
	}
	return nil
}
