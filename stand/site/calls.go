package site

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"magnoliaworks/stand"
)

type listReply struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"has_more"`
	AsOf    uint64   `json:"as_of"`
}

type watchReply struct {
	Events []event `json:"events"`
	AsOf   uint64  `json:"as_of"`
}

func (o *ObjectStore) handle(c *fasthttp.RequestCtx) {
	kind, found := strings.CutPrefix(string(c.Path()), objectsPath)
	if !found {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	switch o.enter(c) {
	case StoreBusy:
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case StoreSilent:
		for o.moodNow() == StoreSilent {
			time.Sleep(watchStep)
		}
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
	case StoreUp:
		if c.QueryArgs().Has("watch") {
			o.watch(c, kind)
			return
		}
		o.list(c, kind)
	}
}

// enter counts a call and returns the mood that it meets.
func (o *ObjectStore) enter(c *fasthttp.RequestCtx) StoreState {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := stand.OwnerOf(c.Conn())
	if o.refused[id] {
		return StoreBusy
	}
	switch {
	case c.QueryArgs().Has("watch"):
		o.callers[id] = true
		o.calls["watch"]++
	case c.QueryArgs().Has("stale_ok"):
		o.calls["stale"]++
	default:
		o.calls["list"]++
	}
	return o.mood
}

func (o *ObjectStore) moodNow() StoreState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mood
}

func (o *ObjectStore) list(c *fasthttp.RequestCtx, kind string) {
	after := string(c.QueryArgs().Peek("after"))
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := names[:min(pageSize, len(names))]
	items := make([]object, 0, len(page))
	for _, name := range page {
		items = append(items, o.kinds[kind][name])
	}
	reply(c, listReply{
		Items:   items,
		HasMore: len(page) < len(names),
		AsOf:    o.revision,
	})
}

func (o *ObjectStore) watch(c *fasthttp.RequestCtx, kind string) {
	after, err := strconv.ParseUint(string(c.QueryArgs().Peek("watch")), 10, 64)
	wait := c.QueryArgs().GetUintOrZero("wait_ms")
	if err != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, gone := o.since(kind, after)
		switch {
		case o.refuses(stand.OwnerOf(c.Conn())):
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		case gone:
			c.SetStatusCode(fasthttp.StatusGone)
			return
		case len(events) > 0 || !time.Now().Before(until):
			reply(c, watchReply{
				Events: events,
				AsOf:   revision,
			})
			return
		}
		time.Sleep(watchStep)
	}
}

func (o *ObjectStore) since(kind string, after uint64) (events []event, revision uint64, gone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if after < o.oldest {
		return nil, 0, true
	}
	for _, e := range o.history {
		if e.kind == kind && e.Object.Meta.Revision > after {
			events = append(events, e)
		}
	}
	return events, o.revision, false
}

func reply(c *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}
