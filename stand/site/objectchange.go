package site

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// change serves a POST of a new object, and a PUT or DELETE of an existing one. A revision in the query is the condition of a DELETE.
func (o *ObjectStore) change(c *fasthttp.RequestCtx, path string) {
	kind, name, _ := strings.Cut(path, "/")
	var sent object
	if !c.IsDelete() && json.Unmarshal(c.PostBody(), &sent) != nil {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if c.IsPost() {
		name = sent.Meta.Name
	}
	stored, exists := o.object(kind, name)
	expected := string(c.QueryArgs().Peek("revision"))
	switch {
	case name == "":
		c.SetStatusCode(fasthttp.StatusBadRequest)
	case c.IsPost() && exists, expected != "" && expected != strconv.FormatUint(stored.Meta.Revision, 10):
		c.SetStatusCode(fasthttp.StatusConflict)
	case !c.IsPost() && !exists:
		c.SetStatusCode(fasthttp.StatusNotFound)
	case c.IsDelete():
		o.Delete(kind, name)
	case string(stored.Spec) != string(sent.Spec):
		o.PutRaw(kind, name, sent.Spec)
	}
}

func (o *ObjectStore) object(kind, name string) (stored object, exists bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stored, exists = o.kinds[kind][name]
	return stored, exists
}

// Names returns the names of the objects of a kind.
func (o *ObjectStore) Names(kind string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.kinds[kind] {
		names = append(names, name)
	}
	return names
}
