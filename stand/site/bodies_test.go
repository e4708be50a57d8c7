package site

import (
	"bytes"
	"mime/multipart"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// uploadForm returns a form as browsers write it, a file before the text fields that describe it, and its content type.
func uploadForm(t *testing.T) (body, contentType string) {
	t.Helper()
	var out bytes.Buffer
	form := multipart.NewWriter(&out)
	file, err := form.CreateFormFile("survey", "cerro.csv")
	must(t, err)
	_, err = file.Write([]byte("point,height\r\nA,104.2\r\nB,98.7\r\n"))
	must(t, err)
	for _, field := range [][2]string{{"sheet", "F-12"}, {"unit", "metres"}, {"surveyor", "7"}, {"unit", "feet"}} {
		must(t, form.WriteField(field[0], field[1]))
	}
	must(t, form.Close())
	return out.String(), form.FormDataContentType()
}

// TestBodiesReachServersUnchanged uploads bodies of various types. A host that parses a body and writes it anew, such as a
// form, changes its bytes, and with them what a signature or checksum covers.
func TestBodiesReachServersUnchanged(t *testing.T) {
	form, formType := uploadForm(t)
	allBytes := make([]byte, 256)
	for i := range allBytes {
		allBytes[i] = byte(i)
	}
	cases := []struct {
		name    string
		fields  string
		body    string
		chunked bool
	}{
		{name: "form", fields: "Content-Type: " + formType + "\r\n", body: form},
		{name: "form in chunks", fields: "Content-Type: " + formType + "\r\n", body: form, chunked: true},
		{name: "form with preamble and epilogue", fields: "Content-Type: " + formType + "\r\n", body: "preamble\r\n" + form + "epilogue"},
		{name: "form after 100 Continue", fields: "Content-Type: " + formType + "\r\nExpect: 100-continue\r\n", body: form},
		{name: "compressed form", fields: "Content-Type: " + formType + "\r\nContent-Encoding: gzip\r\n", body: string(allBytes)},
		{name: "form that is not valid", fields: "Content-Type: " + formType + "\r\n", body: "no form"},
		{name: "form without boundary", fields: "Content-Type: multipart/form-data\r\n", body: form},
		{name: "mixed parts", fields: "Content-Type: " + strings.Replace(formType, "form-data", "mixed", 1) + "\r\n", body: form},
		{name: "query pairs", fields: "Content-Type: application/x-www-form-urlencoded\r\n", body: "b=2&a=1&b=%20+&&c"},
		{name: "JSON", fields: "Content-Type: application/json\r\n", body: `{"b":1, "a":[ ]}`},
		{name: "binary without type", body: string(allBytes)},
		{name: "binary in chunks", body: string(allBytes), chunked: true},
		{name: "empty", fields: "Content-Type: " + formType + "\r\n"},
		{name: "empty in chunks", fields: "Content-Type: " + formType + "\r\n", chunked: true},
	}
	const southHost = 3
	routes := []struct {
		name string
		via  int
		host string
	}{
		{name: "single server", via: 0, host: oneHost},
		{name: "at most once", via: 1, host: onceHost},
		{name: "shards", via: 0, host: searchHost},
		{name: "shards of other data centres", via: southHost, host: searchHost},
	}
	type result struct {
		name      string
		status    int
		executed  int
		incorrect error
	}
	var results []result
	inRig(t, func(r *rig) {
		r.limitConnections()
		r.add("host-x", "south")
		time.Sleep(2 * settleTime)
		for _, route := range routes {
			for _, c := range cases {
				request := r.newRequest(route.host)
				request.Method, request.Fields, request.Body, request.Chunked = "POST", c.fields, c.body, c.chunked
				caller := r.call(route.via)
				answer, err := caller.Do(request)
				must(t, err)
				caller.Close()
				results = append(results, result{
					name:      route.name + ", " + c.name,
					status:    answer.Status,
					executed:  r.site.ExecutionLog.Runs(request.ID),
					incorrect: r.site.Check(request, answer, topKOf(route.host)),
				})
			}
		}
	})
	for _, e := range results {
		Convey("Servers execute the caller's bytes: "+e.name, t, func() {
			So(e.incorrect, ShouldBeNil)
			So(e.status, ShouldEqual, 200)
			So(e.executed, ShouldBeGreaterThan, 0)
		})
	}
}
