package site

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// objectsPath is the path under which each kind of object has its collection.
	objectsPath = "/v1/objects/"
	// pageSize is the largest number of objects of a page.
	pageSize = 20
	// watchPollInterval is the time between two checks of a waiting watch for changes.
	watchPollInterval = 10 * time.Millisecond
	// historyTime is the time after which changes leave the history.
	historyTime = 20 * time.Second
)

// StoreState is how the store handles calls.
type StoreState int

// The states of the store.
const (
	// StoreUp answers normally.
	StoreUp StoreState = iota
	// StoreBusy answers 503.
	StoreBusy
	// StoreThrottled answers 429.
	StoreThrottled
	// StoreSlow answers after slowTime.
	StoreSlow
	// StoreSilent does not answer.
	StoreSilent
)

// ObjectStore is a fake of the platform's object store.
type ObjectStore struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	history  []event
	revision uint64
	// oldest is the earliest revision after which the history is complete.
	oldest uint64
	state  StoreState
	// era is the number of times that the store has returned from a copy.
	era   uint64
	calls map[string]int
	// checkers holds the hosts that have made watches that don't wait, watchers those that have watched the store, refused the status of those that are refused, and stalled the kinds whose watches
	// return nothing to a host; no kind stands for all.
	checkers map[string]bool
	watchers map[string]bool
	refused  map[string]int
	// muted holds the hosts whose calls get no answer.
	muted   map[string]bool
	stalled map[string][]string
	// holds holds the hosts whose answers are held up; the empty ID stands for all.
	holds map[string]bool
	// configObserver is called with each configuration before any call returns it; nil for none.
	configObserver func(spec []byte)
	// deaf counts the calls of CompactDeaf in progress, and deafAsOf those in which watches that end state the present revision.
	deaf     int
	deafAsOf int
	// watchConns holds the connections on which each host has made watches, whether they wait or not, and silent those that return
	// nothing further.
	watchConns map[string]map[net.Conn]bool
	silent     map[net.Conn]bool
	// cuts counts the calls of CutWatches, and dropping those that are about to drop the history.
	cuts     int
	dropping int
	// stale holds, for each kind, the objects that stale lists return, as they were at staleRevision; nil if such lists
	// are up to date.
	stale         map[string]map[string]object
	staleRevision uint64
	// staleReads describes stale lists otherwise, and versions holds the former versions of objects for them, by kind and name.
	staleReads staleReads
	versions   map[string]map[string][]version
	// onReturn describes returns from a copy. Stale reads of data since returnedAt return nothing from before; zero means any data.
	onReturn   ReturnBehaviour
	returnedAt time.Time
	// losesWatches makes answers to watches that have events get lost.
	losesWatches bool
	// throttlesWrites makes calls that change objects get 429, and losesWrites makes them be done without an answer.
	throttlesWrites bool
	losesWrites     bool
	// statuses holds the statuses that were written, in order, each after the name of its object.
	statuses []string
	http     *fasthttp.Server
}

// meta identifies a version of an object, in the platform's format.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_rev"`
}

// object is a stored object, in the platform's format.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object, in the platform's format.
type event struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore {
	o := &ObjectStore{
		kinds:      make(map[string]map[string]object),
		calls:      make(map[string]int),
		checkers:   make(map[string]bool),
		watchers:   make(map[string]bool),
		refused:    make(map[string]int),
		holds:      make(map[string]bool),
		muted:      make(map[string]bool),
		stalled:    make(map[string][]string),
		versions:   make(map[string]map[string][]version),
		revision:   1,
		watchConns: make(map[string]map[net.Conn]bool),
		silent:     make(map[net.Conn]bool),
	}
	o.http = &fasthttp.Server{
		Handler:               o.handle,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return o
}

// discardLogger drops fasthttp's log lines about connections that tests close.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers on the listener until it is closed.
func (o *ObjectStore) Serve(l net.Listener) error { return o.http.Serve(l) }

// Put stores an object with a spec that it marshals to JSON, as the operator or a server would.
func (o *ObjectStore) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	o.PutRaw(kind, name, value)
}

// PutRaw stores an object with the given spec, which may be malformed.
func (o *ObjectStore) PutRaw(kind, name string, spec []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(kind, object{
		Meta: meta{
			Name: name,
		},
		Spec:   spec,
		Status: o.kinds[kind][name].Status,
	})
}

// put stores an object under the next revision. The caller holds mu.
func (o *ObjectStore) put(kind string, stored object) {
	if o.kinds[kind] == nil {
		o.kinds[kind] = make(map[string]object)
	}
	o.revision++
	stored.Meta.Revision = o.revision
	if stored.Meta.Created = o.kinds[kind][stored.Meta.Name].Meta.Created; stored.Meta.Created == 0 {
		stored.Meta.Created = o.revision
	}
	o.kinds[kind][stored.Meta.Name] = stored
	if kind == configKind && stored.Meta.Name == mainConfig {
		o.observeConfig()
	}
	o.recordVersion(kind, stored, false)
	o.history = append(o.history, event{
		kind:   kind,
		at:     time.Now(),
		Object: stored,
	})
}

// Kind and name of the configuration.
const (
	configKind = "config"
	mainConfig = "main"
)

// ObserveConfig makes the store call observe with each configuration, before any call returns it. It must be called before the store is
// used, and observe must not call the store.
func (o *ObjectStore) ObserveConfig(observe func(spec []byte)) { o.configObserver = observe }

// observeConfig passes the configuration on to the observer. The caller holds mu.
func (o *ObjectStore) observeConfig() {
	if stored, ok := o.kinds[configKind][mainConfig]; ok && o.configObserver != nil {
		o.configObserver(stored.Spec)
	}
}

// Delete removes an object, if it exists.
func (o *ObjectStore) Delete(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remove(kind, name)
}

// remove is Delete for callers that hold mu.
func (o *ObjectStore) remove(kind, name string) {
	stored, ok := o.kinds[kind][name]
	if !ok {
		return
	}
	delete(o.kinds[kind], name)
	o.revision++
	stored.Meta.Revision = o.revision
	o.recordVersion(kind, stored, true)
	o.history = append(o.history, event{
		kind:    kind,
		at:      time.Now(),
		Object:  stored,
		Deleted: true,
	})
}

// SetState changes how the store handles calls.
func (o *ObjectStore) SetState(state StoreState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = state
}

// Compact drops the history, so that watches from earlier revisions get 410 and must list again.
func (o *ObjectStore) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropHistory()
}

// dropHistory is Compact for callers that hold mu.
func (o *ObjectStore) dropHistory() {
	o.history = nil
	o.oldest = o.revision
}

// forgetOld drops the changes that are older than historyTime. The caller holds mu.
func (o *ObjectStore) forgetOld(now time.Time) {
	for len(o.history) > 0 && now.Sub(o.history[0].at) > historyTime {
		o.oldest = o.history[0].Object.Meta.Revision
		o.history = o.history[1:]
	}
}

// listed returns the objects of a kind, and the revision, that a list returns. The caller holds mu.
func (o *ObjectStore) listed(kind string, stale bool) (map[string]object, uint64) {
	switch {
	case stale && o.stale != nil:
		return o.stale[kind], o.staleRevision
	case stale && o.staleReads.age > 0:
		objects, revision := o.objectsAt(kind, time.Now().Add(-o.staleReads.age))
		if o.staleReads.presentAsOf {
			revision = o.revision
		}
		return objects, revision
	}
	return o.kinds[kind], o.revision
}
