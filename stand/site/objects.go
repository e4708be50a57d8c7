package site

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// objectsPath is the path under which the kinds of object lie.
	objectsPath = "/v1/objects/"
	// pageSize is the number of objects of a page.
	pageSize = 20
	// watchStep is the time between two looks of a waiting watch.
	watchStep = 10 * time.Millisecond
)

// StoreState tells how the store treats calls.
type StoreState int

// The moods.
const (
	StoreUp StoreState = iota
	// StoreBusy answers 503, Silent not at all.
	StoreBusy
	StoreSilent
)

// ObjectStore is a stand-in of the platform's object store.
type ObjectStore struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	history  []event
	revision uint64
	// oldest is the revision before which the history is gone.
	oldest uint64
	mood   StoreState
	calls  map[string]int
	// callers holds the owners that have watched; refused those that get 503.
	callers map[string]bool
	refused map[string]bool
	http    *fasthttp.Server
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

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore {
	o := &ObjectStore{
		kinds:    make(map[string]map[string]object),
		calls:    make(map[string]int),
		callers:  make(map[string]bool),
		refused:  make(map[string]bool),
		revision: 1,
	}
	o.http = &fasthttp.Server{
		Handler:               o.handle,
		Logger:                silent{},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return o
}

// silent drops the HTTP library's remarks on connections that tests end.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Serve answers on the listener until it is closed.
func (o *ObjectStore) Serve(l net.Listener) error { return o.http.Serve(l) }

// Put stores an object as the operator or a server would.
func (o *ObjectStore) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	o.PutRaw(kind, name, value)
}

// PutRaw stores an object with the given content.
func (o *ObjectStore) PutRaw(kind, name string, spec []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kinds[kind] == nil {
		o.kinds[kind] = make(map[string]object)
	}
	o.revision++
	stored := object{
		Meta: meta{
			Name:     name,
			Revision: o.revision,
		},
		Spec: spec,
	}
	o.kinds[kind][name] = stored
	o.history = append(o.history, event{
		kind:   kind,
		Object: stored,
	})
}

// Delete removes an object.
func (o *ObjectStore) Delete(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, ok := o.kinds[kind][name]
	if !ok {
		return
	}
	delete(o.kinds[kind], name)
	o.revision++
	stored.Meta.Revision = o.revision
	o.history = append(o.history, event{
		kind:    kind,
		Object:  stored,
		Deleted: true,
	})
}

// SetState changes how the store treats calls.
func (o *ObjectStore) SetState(m StoreState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mood = m
}

// Compact drops the history, so that watches from before must list.
func (o *ObjectStore) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = nil
	o.oldest = o.revision
}

// Calls returns the number of calls by type.
func (o *ObjectStore) Calls() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counted := make(map[string]int, len(o.calls))
	for name, n := range o.calls {
		counted[name] = n
	}
	return counted
}

// Watchers returns the hosts that have watched the store.
func (o *ObjectStore) Watchers() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := make(map[string]bool, len(o.callers))
	for id := range o.callers {
		found[id] = true
	}
	return found
}

// Refuse makes the store answer 503 to a host and ends its waiting watches with that.
func (o *ObjectStore) Refuse(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[id] = true
}

func (o *ObjectStore) refuses(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refused[id]
}
