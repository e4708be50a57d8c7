package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: lists and watches over HTTP. It keeps all history.
type store struct {
	rig    *rig
	addr   string
	server *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []event
	changed  chan struct{}
	// loseWaiting is the time until which the store loses its answers to watches. Their connections return nothing further.
	loseWaiting time.Time
	silenced    []net.Conn
	lost, sent  int
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore(r *rig) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rig:      r,
		addr:     l.Addr().String(),
		revision: 1,
		objects:  make(map[string]object),
		changed:  make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: 10 * time.Second,
	}
	r.tasks.Go(func() error {
		_ = s.server.Serve(l)
		return nil
	})
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.silenced {
		_ = c.Close()
	}
}

// put stores an object. The return is the store's confirmation.
func (s *store) put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{
		Meta: meta{
			Name:     name,
			Revision: s.revision,
		},
		Spec: value,
	}
	s.objects[kind+"/"+name] = o
	s.publish(event{
		kind:   kind,
		Object: o,
	})
}

// publish adds an event to the history and wakes the watches. The caller holds mu.
func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseWatchAnswers makes the store lose its answers to watches for a time.
func (s *store) loseWatchAnswers(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWaiting = time.Now().Add(d)
}

// serve handles GET /v1/objects/KIND.
func (s *store) serve(w http.ResponseWriter, request *http.Request) {
	kind, found := strings.CutPrefix(request.URL.Path, "/v1/objects/")
	if request.Method != http.MethodGet || !found || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := request.URL.Query()
	time.Sleep(4 * time.Millisecond)
	if query.Has("watch") {
		s.serveWatch(w, request, kind)
		return
	}
	s.mu.Lock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Meta.Name > query.Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	asOf := s.revision
	s.sent++
	s.mu.Unlock()
	reply(w, map[string]any{
		"items":    items,
		"has_more": false,
		"as_of":    asOf,
	})
}

// serveWatch answers a watch as soon as there is an event, and otherwise after its wait.
func (s *store) serveWatch(w http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		lose := len(events) > 0 && time.Now().Before(s.loseWaiting)
		if lose {
			s.lost++
		} else if len(events) > 0 {
			s.sent++
		}
		s.mu.Unlock()
		if lose {
			s.silence(w, kind, request.RemoteAddr)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{
				"events": events,
				"as_of":  asOf,
			})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout.C:
			reply(w, map[string]any{
				"events": events,
				"as_of":  asOf,
			})
			return
		}
	}
}

// silence loses an answer: its connection stays open and returns nothing further.
func (s *store) silence(w http.ResponseWriter, kind, from string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	s.rig.record.writef("store     loses the answer to a watch of %s from %s", kind, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = append(s.silenced, c)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
