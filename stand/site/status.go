package site

import (
	"encoding/json"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// LoseWrites makes the store do what calls want that change objects, and answer none of them, or ends that.
func (o *ObjectStore) LoseWrites(lose bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losesWrites = lose
}

// Status returns the status of an object as JSON, or "".
func (o *ObjectStore) Status(kind, name string) string {
	stored, _ := o.object(kind, name)
	return string(stored.Status)
}

// get serves one object.
func (o *ObjectStore) get(c *fasthttp.RequestCtx, path string) {
	kind, name, _ := strings.Cut(path, "/")
	stored, exists := o.object(kind, name)
	if !exists {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reply(c, stored)
}

// changeStatus serves a PUT of an object's status on the condition of a revision, and answers with the object as it is then.
func (o *ObjectStore) changeStatus(c *fasthttp.RequestCtx, path string) {
	kind, name, _ := strings.Cut(path, "/")
	var sent object
	if json.Unmarshal(c.PostBody(), &sent) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, exists := o.kinds[kind][name]
	switch {
	case !exists:
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	case sent.Meta.Revision != stored.Meta.Revision:
		c.SetStatusCode(fasthttp.StatusConflict)
	case string(sent.Status) != string(stored.Status):
		stored.Status = sent.Status
		o.put(kind, stored)
		o.statuses = append(o.statuses, name+" "+string(sent.Status))
	}
	if o.losesWrites {
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
		return
	}
	reply(c, o.kinds[kind][name])
}
