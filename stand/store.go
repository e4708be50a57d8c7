package stand

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/io/hosts"
	"magnoliaworks/io/store"
)

const (
	// maxValueBytes is the size of the largest value.
	maxValueBytes = 1 << 20
	// watchPollInterval is the time between two checks of a waiting watch for changes.
	watchPollInterval = 20 * time.Millisecond
)

// StoreFaults states which faults of the store are active.
type StoreFaults struct {
	// Down makes the store answer 503.
	Down bool
	// ExtraLatency is added to the latency of each call.
	ExtraLatency time.Duration
	// LostReplyPercent is the percentage of writes that take effect but are answered with 504 instead of their result.
	LostReplyPercent int
	// StaleReads makes reads return the version before the newest; an object with one version does not exist.
	StaleReads bool
}

// StoreCalls counts the calls to the store; a watch counts once, however long it waits.
type StoreCalls struct {
	Reads   int
	Writes  int
	Watches int
}

// Store is a fake of the platform's object API and of its host list.
type Store struct {
	latency time.Duration

	mu         sync.Mutex
	objects    map[string]storedObject
	previous   map[string]storedObject
	revision   uint64
	faults     StoreFaults
	calls      StoreCalls
	writeCount int
	hosts      []hosts.Host
	http       *fasthttp.Server
}

// storedObject is one version of an object.
type storedObject struct {
	value   []byte
	version uint64
}

// NewStore returns an empty store that answers after the latency.
func NewStore(latency time.Duration) *Store {
	s := &Store{
		latency:  latency,
		objects:  make(map[string]storedObject),
		previous: make(map[string]storedObject),
		revision: 1,
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    2 * maxValueBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return s
}

// Serve answers on the listener until it is closed.
func (s *Store) Serve(l net.Listener) error { return s.http.Serve(l) }

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetHostList replaces the host list.
func (s *Store) SetHostList(list []hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = list
}

// Seed stores an object directly; it does not count as a call and no fault affects it.
func (s *Store) Seed(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

// Value returns the newest value of a key.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key].value
}

// write stores a new version of an object and returns its number. The caller holds s.mu.
func (s *Store) write(key string, value []byte) uint64 {
	s.revision++
	s.previous[key] = s.objects[key]
	s.objects[key] = storedObject{
		value:   append([]byte(nil), value...),
		version: s.revision,
	}
	return s.revision
}

func (s *Store) handle(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(s.latency + faults.ExtraLatency)
	if faults.Down {
		c.Error("store is down", fasthttp.StatusServiceUnavailable)
		return
	}
	path := string(c.Path())
	switch {
	case path == hosts.ListPath:
		s.hostList(c)
	case path == store.WatchPath:
		s.watch(c)
	case strings.HasPrefix(path, store.ObjectPath) && c.IsGet():
		s.get(c, strings.TrimPrefix(path, store.ObjectPath), faults)
	case strings.HasPrefix(path, store.ObjectPath) && c.IsPut():
		s.put(c, strings.TrimPrefix(path, store.ObjectPath), faults)
	default:
		c.Error("path does not exist", fasthttp.StatusNotFound)
	}
}

func (s *Store) hostList(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	writeJSON(c, s.hosts)
}

func (s *Store) get(c *fasthttp.RequestCtx, key string, faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	o, ok := s.objects[key]
	if previous, known := s.previous[key]; faults.StaleReads && known {
		o, ok = previous, previous.version > 0
	}
	if !ok {
		c.Error("object does not exist", fasthttp.StatusNotFound)
		return
	}
	c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(o.version, 10))
	c.SetBody(o.value)
}

// put stores a value if the version of the object is the expected one, and otherwise answers 409.
func (s *Store) put(c *fasthttp.RequestCtx, key string, faults StoreFaults) {
	expected, err := strconv.ParseUint(string(c.Request.Header.Peek(store.IfVersionHeader)), 10, 64)
	if err != nil || len(c.PostBody()) > maxValueBytes {
		c.Error("value too large or version missing", fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.objects[key].version != expected {
		c.Error("object has another version", fasthttp.StatusConflict)
		return
	}
	version := s.write(key, c.PostBody())
	s.writeCount++
	// 37 and 100 have no common factor, so the lost replies spread evenly over the writes.
	if s.writeCount*37%100 < faults.LostReplyPercent {
		c.Error("reply lost", fasthttp.StatusGatewayTimeout)
		return
	}
	c.Response.Header.Set(store.VersionHeader, strconv.FormatUint(version, 10))
}

// watch answers with the changes after a revision as soon as there are any, or with none at the end of wait_ms.
// A watch after revision 0 is answered at once.
func (s *Store) watch(c *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(c.QueryArgs().Peek("after")), 10, 64)
	wait, _ := strconv.Atoi(string(c.QueryArgs().Peek("wait_ms")))
	var prefixes []string
	for _, p := range c.QueryArgs().PeekMulti("prefix") {
		prefixes = append(prefixes, string(p))
	}
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		changes, down := s.changes(after, prefixes)
		if down {
			c.Error("store is down", fasthttp.StatusServiceUnavailable)
			return
		}
		if len(changes.Objects) > 0 || after == 0 || time.Now().After(deadline) {
			writeJSON(c, changes)
			return
		}
		time.Sleep(watchPollInterval)
	}
}

func (s *Store) changes(after uint64, prefixes []string) (found store.Changes, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found.Revision = s.revision
	for key, o := range s.objects {
		for _, p := range prefixes {
			if o.version > after && strings.HasPrefix(key, p) {
				found.Objects = append(found.Objects, store.Change{
					Key:     key,
					Version: o.version,
					Value:   o.value,
				})
			}
		}
	}
	return found, s.faults.Down
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
