package site

import (
	"encoding/json"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/stand"
)

// listReply is one page of objects, in the platform's format.
type listReply struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"has_more"`
	AsOf    uint64   `json:"as_of"`
}

// watchReply holds the changes after a revision, in the platform's format.
type watchReply struct {
	Events []event `json:"events"`
	AsOf   uint64  `json:"as_of"`
}

// handle serves lists and watches of one kind of object. While the store is silent, calls wait and
// then lose their connection without an answer.
func (o *ObjectStore) handle(c *fasthttp.RequestCtx) {
	kind, found := strings.CutPrefix(string(c.Path()), objectsPath)
	if !found {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if o.isSilent(c.Conn()) {
		stayDeaf(c)
		return
	}
	id := stand.OwnerOf(c.Conn())
	defer func() {
		for o.holdsAnswers(id) {
			time.Sleep(watchPollInterval)
		}
	}()
	defer o.stateEra(c)
	if status, refused := o.refusal(id); refused {
		c.SetStatusCode(status)
		return
	}
	switch o.countCall(c) {
	case StoreBusy:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case StoreSilent:
		if o.isMuted(id) {
			stayDeaf(c)
			return
		}
		for o.currentState() == StoreSilent {
			time.Sleep(watchPollInterval)
		}
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
	case StoreThrottled:
		c.SetStatusCode(fasthttp.StatusTooManyRequests)
	case StoreSlow:
		time.Sleep(slowTime)
		o.answer(c, kind)
	case StoreUp:
		o.answer(c, kind)
	}
}

// stayDeaf keeps the connection open and sends nothing on it any more.
func stayDeaf(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
}

// slowTime is the time by which a slow store answers later; the platform states 4 ms for an answer and 60 times that at worst.
const slowTime = 240 * time.Millisecond

// answer serves a list, a watch or a change of one object.
func (o *ObjectStore) answer(c *fasthttp.RequestCtx, kind string) {
	switch {
	case !c.IsGet() && strings.HasSuffix(kind, "/status"):
		o.changeStatus(c, strings.TrimSuffix(kind, "/status"))
	case !c.IsGet():
		o.change(c, kind)
	case strings.Contains(kind, "/"):
		o.get(c, kind)
	case c.QueryArgs().Has("watch"):
		o.watch(c, kind)
	default:
		o.list(c, kind)
	}
}

// countCall counts a call and returns the state in which the store handles it.
func (o *ObjectStore) countCall(c *fasthttp.RequestCtx) StoreState {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := stand.OwnerOf(c.Conn())
	if c.QueryArgs().Has("watch") {
		o.recordWatchConn(id, c.Conn())
	}
	switch {
	case !c.IsGet():
		o.calls["write"]++
	case c.QueryArgs().Has("watch") && c.QueryArgs().GetUintOrZero("wait_ms") <= 1:
		o.checkers[id] = true
		o.calls["check"]++
	case c.QueryArgs().Has("watch"):
		o.watchers[id] = true
		o.calls["watch"]++
	case c.QueryArgs().Has("stale_ok"):
		o.calls["stale"]++
	default:
		o.calls["list"]++
	}
	if o.muted[id] {
		return StoreSilent
	}
	if o.throttlesWrites && !c.IsGet() {
		return StoreThrottled
	}
	return o.state
}

func (o *ObjectStore) currentState() StoreState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// list answers with a page of the objects whose names follow the parameter after.
func (o *ObjectStore) list(c *fasthttp.RequestCtx, kind string) {
	after := string(c.QueryArgs().Peek("after"))
	o.mu.Lock()
	defer o.mu.Unlock()
	objects, revision := o.listed(kind, c.QueryArgs().Has("stale_ok"))
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(pageSize, len(names))]
	items := make([]object, 0, len(page))
	for _, name := range page {
		items = append(items, objects[name])
	}
	reply(c, listReply{
		Items:   items,
		HasMore: len(page) < len(names),
		AsOf:    revision,
	})
}

// watch answers with the events after a revision as soon as there are any, or with none at the end of wait_ms.
// It answers 410 when the history no longer reaches back to the revision or the store does not have it, and the status of a refusal when the host is refused meanwhile. A watch
// that begins between a cut of the watches and the drop of the history returns nothing until its wait ends.
func (o *ObjectStore) watch(c *fasthttp.RequestCtx, kind string) {
	after, err := strconv.ParseUint(string(c.QueryArgs().Peek("watch")), 10, 64)
	wait := c.QueryArgs().GetUintOrZero("wait_ms")
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	cuts, deaf := o.cutCount()
	era := o.currentEra()
	for {
		if o.currentEra() > era && o.holdsWatches() {
			stayDeaf(c)
			return
		}
		if now, _ := o.cutCount(); now > cuts || o.currentEra() > era {
			c.HijackSetNoResponse(true)
			c.Hijack(func(net.Conn) {})
			return
		}
		if o.isSilent(c.Conn()) {
			stayDeaf(c)
			return
		}
		events, revision, compacted := o.eventsAfter(kind, after)
		status, refused := o.refusal(stand.OwnerOf(c.Conn()))
		switch {
		case refused:
			c.SetStatusCode(status)
			return
		case o.isDeaf() && time.Now().Before(deadline):
		case o.isDeaf():
			asOf := after
			if o.deafStatesPresent() {
				asOf = max(after, revision)
			}
			reply(c, watchReply{
				AsOf: asOf,
			})
			return
		case deaf && time.Now().Before(deadline):
		case compacted:
			c.SetStatusCode(fasthttp.StatusGone)
			return
		case o.stalls(stand.OwnerOf(c.Conn()), kind) && time.Now().Before(deadline):
		case len(events) > 0 && (o.losesWatchAnswers() || o.isMuted(stand.OwnerOf(c.Conn()))):
			stayDeaf(c)
			return
		case len(events) > 0 || !time.Now().Before(deadline):
			reply(c, watchReply{
				Events: events,
				AsOf:   revision,
			})
			return
		}
		time.Sleep(watchPollInterval)
	}
}

// eventsAfter returns the events of a kind after a revision, or that the history no longer holds them.
func (o *ObjectStore) eventsAfter(kind string, after uint64) (events []event, revision uint64, compacted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forgetOld(time.Now())
	if after < o.oldest || after > o.revision {
		return nil, 0, true
	}
	for _, e := range o.history {
		if e.kind == kind && e.Object.Meta.Revision > after {
			events = append(events, e)
		}
	}
	return events, o.revision, false
}

// reply writes a body as JSON.
func reply(c *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}
