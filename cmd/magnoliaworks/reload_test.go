package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"magnoliaworks/core/setup"
)

// TestReloadAppliesValidChangesOnly writes a settings file twice: a reload applies it only if it changed or SIGHUP asks
// for it, and only if it is valid.
func TestReloadAppliesValidChangesOnly(t *testing.T) {
	const first = `{"id": "h", "data_centre": "a", "caller_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2",
		"peer_address": "127.0.0.1:3", "store_address": "127.0.0.1:4", "hosts_address": "127.0.0.1:4", "peers": ["127.0.0.1:5"]}`
	cases := []struct {
		name    string
		content string
		signal  bool
		adopted int
	}{
		{name: "unchanged", content: first, adopted: 0},
		{name: "unchanged, SIGHUP", content: first, signal: true, adopted: 1},
		{name: "changed", content: strings.Replace(first, ":5", ":6", 1), adopted: 1},
		{name: "invalid", content: strings.Replace(first, "peers", "perrs", 1), signal: true, adopted: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "host.jsonc")
			adopted := 0
			r := &reloader{
				file:  file,
				log:   hclog.NewNullLogger(),
				apply: func(setup.Settings) { adopted++ },
			}
			for _, content := range []string{first, c.content} {
				if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
				r.reload(c.signal && content == c.content && adopted == 0 && r.lastContent != nil)
			}
			Convey("Settings are applied as expected", t, func() {
				So(adopted, ShouldEqual, c.adopted)
			})
		})
	}
}

// TestHangupDoesNotEndAHost checks that a host handles SIGHUP, which by default ends a process, and goes on serving.
func TestHangupDoesNotEndAHost(t *testing.T) {
	f := newFleet(t, 1)
	Convey("The host is ready after SIGHUP and ends with code 0 at SIGTERM", t, func() {
		So(f.hosts[0].Process.Signal(syscall.SIGHUP), ShouldBeNil)
		status, text := f.request(0, searchBody)
		So(text, ShouldContainSubstring, `"coverage"`)
		So(status, ShouldEqual, 200)
		f.waitReady(0)
		So(f.hosts[0].Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(f.hosts[0].Wait(), ShouldBeNil)
	})
}
