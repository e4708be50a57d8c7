package logs

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sample = `   7.9141 host-a {"@level":"info","@message":"down","@module":"lane","@timestamp":"2026-07-04T05:27:20.000000Z","cause":"dial refused","subject":"s-2"}
   7.9142 host-a {"@level":"info","@message":"first","@module":"request","@timestamp":"2026-07-04T05:27:22.913780Z","after_ms":0.2,"detail":"east","expected_ms":10,"request":"r-1","server":"s-1","shard":"a"}
not a line
   7.9142 host-a {"@level":"info","@message":"hedge","@module":"request","@timestamp":"2026-07-04T05:27:22.913781Z","after_ms":31.2,"detail":"west","expected_ms":0,"request":"r-1","server":"s-2","shard":"a"}
{"@level":"info","@message":"ended","@module":"request","@timestamp":"2026-07-04T05:27:22.913782Z","cause":"partial","outcome":"partial","request":"r-1","took_ms":68.1,"version":6}
{"@level":"info","@message":"ended","@module":"request","@timestamp":"2026-07-04T05:27:21Z","outcome":"answered","request":"r-2","took_ms":1}
`

// TestExplainTellsOneRequest reads lines of two formats with a bad one between them.
func TestExplainTellsOneRequest(t *testing.T) {
	var logs Merged
	err := logs.Read(strings.NewReader(sample), "host-a")
	Convey("The request is told with its steps, its cause and what went before", t, func() {
		So(err, ShouldBeNil)
		So(logs.Malformed, ShouldEqual, 1)
		r, ok := logs.Explain("r-1")
		So(ok, ShouldBeTrue)
		So(r.Host, ShouldEqual, "host-a")
		So(r.Outcome, ShouldEqual, "partial")
		So(len(r.Steps), ShouldEqual, 3)
		So(len(r.Context), ShouldEqual, 1)
		var out bytes.Buffer
		So(r.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "request r-1 on host host-a: partial after 68.1 ms, configuration 6")
		So(out.String(), ShouldContainSubstring, "hedge")
		So(out.String(), ShouldContainSubstring, "s-2: down: dial refused")
		_, ok = logs.Explain("r-3")
		So(ok, ShouldBeFalse)
	})
}

// TestSelectByServerAndHost filters lines.
func TestSelectByServerAndHost(t *testing.T) {
	cases := []struct {
		name, request, server, host string
		want                        int
	}{
		{name: "all", want: 5},
		{name: "server", server: "s-2", want: 2},
		{name: "host and request", host: "host-a", request: "r-2", want: 1},
		{name: "unknown host", host: "host-b", want: 0},
	}
	var logs Merged
	err := logs.Read(strings.NewReader(sample), "host-a")
	for _, c := range cases {
		Convey("Lines are selected: "+c.name, t, func() {
			So(err, ShouldBeNil)
			So(len(logs.Select(c.request, c.server, c.host)), ShouldEqual, c.want)
		})
	}
}

// FuzzParse feeds lines of any content to the parser, which refuses what it can't read.
func FuzzParse(f *testing.F) {
	for _, line := range strings.Split(sample, "\n") {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		parsed, err := ParseLine(line, "h")
		if err == nil && parsed.At.IsZero() && !bytes.Contains(line, []byte("0001")) {
			t.Errorf("line without a time was taken: %q", line)
		}
	})
}
