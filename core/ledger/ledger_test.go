package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/object"
	"magnoliaworks/core/trace"
)

// faulty is a store in memory that loses calls and replies and returns stale reads, by a seed.
type faulty struct {
	mu       sync.Mutex
	random   *rand.Rand
	percent  int
	down     bool
	objects  map[string]object.Object
	previous map[string]object.Object
	writes   int
}

func newFaulty(seed uint64, percent int) *faulty {
	return &faulty{
		random:   rand.New(rand.NewPCG(seed, 3)),
		percent:  percent,
		objects:  make(map[string]object.Object),
		previous: make(map[string]object.Object),
	}
}

func (f *faulty) strikes() bool { return f.random.IntN(100) < f.percent }

// Get implements object.Store.
func (f *faulty) Get(_ context.Context, key string) (object.Object, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.strikes() {
		return object.Object{}, errors.New("timeout")
	}
	o := f.objects[key]
	if f.strikes() {
		o = f.previous[key]
	}
	if o.Version == 0 {
		return object.Object{}, object.ErrAbsent
	}
	return o, nil
}

// Put implements object.Store.
func (f *faulty) Put(_ context.Context, key string, value []byte, have uint64) (uint64, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.strikes() {
		return 0, errors.New("timeout")
	}
	f.writes++
	if f.objects[key].Version != have {
		return 0, object.ErrConflict
	}
	f.previous[key] = f.objects[key]
	f.objects[key] = object.Object{
		Key:     key,
		Version: have + 1,
		Value:   append([]byte(nil), value...),
	}
	if f.strikes() {
		return 0, errors.New("timeout")
	}
	return have + 1, nil
}

// TestOneWriterSends lets several hosts record the same requests at once through a faulty store.
func TestOneWriterSends(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := raceForKeys(newFaulty(seed, 20), 3, 5)
				Convey("No request is sent by two attempts", t, func() {
					for _, n := range sent {
						So(n, ShouldBeLessThanOrEqualTo, 1)
					}
				})
			})
		})
	}
}

// raceForKeys runs the books of some hosts against one store and returns how often each key was sent.
func raceForKeys(store object.Store, hosts, keys int) map[string]int {
	ctx, stop := context.WithCancel(context.Background())
	tasks := new(errgroup.Group)
	sends := new(errgroup.Group)
	var mu sync.Mutex
	sent := make(map[string]int)
	for h := range hosts {
		book := New(store, trace.NewJournal(hclog.NewNullLogger()))
		tasks.Go(func() error { return book.Run(ctx) })
		for k := range keys {
			sends.Go(func() error {
				e := Entry{
					Caller:  "c",
					Key:     fmt.Sprint(k),
					Attempt: fmt.Sprintf("%d@%d", k, h),
				}
				limited, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				if _, fresh := book.Begin(limited, e).(Acquired); !fresh {
					return nil
				}
				mu.Lock()
				sent[e.Key]++
				mu.Unlock()
				return book.Finish(ctx, e.WithOutcome(Done, 1, nil, ""))
			})
		}
	}
	_ = sends.Wait()
	stop()
	_ = tasks.Wait()
	return sent
}

func TestBegin(t *testing.T) {
	first := Entry{Caller: "c", Key: "k", ContentHash: 1, Attempt: "a1"}
	cases := []struct {
		name   string
		settle State
		entry  Entry
		want   BeginResult
	}{
		{name: "done before", settle: Done, entry: Entry{Caller: "c", Key: "k", ContentHash: 1, Attempt: "a2"}, want: Duplicate{}},
		{name: "unknown before", settle: Unknown, entry: Entry{Caller: "c", Key: "k", ContentHash: 1, Attempt: "a2"}, want: Duplicate{}},
		{name: "in progress", settle: "", entry: Entry{Caller: "c", Key: "k", ContentHash: 1, Attempt: "a2"}, want: Duplicate{}},
		{name: "not run before", settle: NotRun, entry: Entry{Caller: "c", Key: "k", ContentHash: 1, Attempt: "a2"}, want: Acquired{}},
		{name: "other content", settle: Done, entry: Entry{Caller: "c", Key: "k", ContentHash: 2, Attempt: "a2"}, want: KeyReused{}},
		{name: "other caller", settle: Done, entry: Entry{Caller: "d", Key: "k", ContentHash: 2, Attempt: "a2"}, want: Acquired{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				book := New(newFaulty(1, 0), trace.NewJournal(hclog.NewNullLogger()))
				tasks := new(errgroup.Group)
				tasks.Go(func() error { return book.Run(ctx) })
				book.Begin(ctx, first)
				if c.settle != "" {
					_ = book.Finish(ctx, first.WithOutcome(c.settle, 1, nil, ""))
				}
				got := book.Begin(ctx, c.entry)
				stop()
				_ = tasks.Wait()
				Convey("The record decides whether the attempt may send", t, func() {
					So(got, ShouldHaveSameTypeAs, c.want)
				})
			})
		})
	}
}

// TestStoreDown refuses at once while the store is away, and records again when it is back.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaulty(1, 0)
		store.down = true
		ctx, stop := context.WithCancel(context.Background())
		book := New(store, trace.NewJournal(hclog.NewNullLogger()))
		tasks := new(errgroup.Group)
		tasks.Go(func() error { return book.Run(ctx) })
		limited, cancel := context.WithTimeout(ctx, time.Second)
		first := book.Begin(limited, Entry{Key: "k", Attempt: "a1"})
		cancel()
		asked := time.Now()
		second := book.Begin(ctx, Entry{Key: "k", Attempt: "a2"})
		waited := time.Since(asked)
		store.mu.Lock()
		store.down = false
		store.mu.Unlock()
		time.Sleep(time.Second)
		third := book.Begin(ctx, Entry{Key: "k", Attempt: "a3"})
		stop()
		_ = tasks.Wait()
		Convey("Requests are refused as not run, the second at once, and run when the store is back", t, func() {
			So(first, ShouldHaveSameTypeAs, Refused{})
			So(second, ShouldHaveSameTypeAs, Refused{})
			So(waited, ShouldEqual, 0)
			So(third, ShouldHaveSameTypeAs, Acquired{})
		})
	})
}
