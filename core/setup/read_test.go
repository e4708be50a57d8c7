package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const validSettings = `// A host.
{
  "id": "host-1",
  "data_centre": "a",
  "caller_address": "127.0.0.1:7001",
  "operator_address": "127.0.0.1:7002",
  "peer_address": "127.0.0.1:7003",
  "store_address": "127.0.0.1:9000",
  "hosts_address": "127.0.0.1:9000",
}`

// TestReadReportsPosition reads valid settings, and settings with one mistake each. It guards against mistakes that pass,
// and against errors that name the wrong place or not what is permitted.
func TestReadReportsPosition(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     string
	}{
		{name: "no mistake", old: "", new: "", want: ""},
		{name: "unknown key", old: `"id"`, new: `"idd"`, want: `:3:3: key "idd": key is unknown; did you mean "id"?`},
		{name: "wrong type", old: `"host-1"`, new: `5`, want: `:3:9: key "id": value has the wrong type; wanted a string`},
		{name: "missing key", old: `"id": "host-1",`, new: ``, want: `:2:1: key "id": key is missing`},
		{name: "key twice", old: `"id": "host-1",`, new: `"id": "host-1", "id": "host-2",`, want: `:3:19: key "id": key is given twice`},
		{name: "bad unit", old: `"id"`, new: `"leave_wait": "2 parsecs", "id"`, want: `:3:17: key "leave_wait": "2 parsecs" is not a duration`},
		{name: "number for a duration", old: `"id"`, new: `"leave_wait": 2, "id"`, want: `:3:17: key "leave_wait": value has the wrong type`},
		{name: "out of range", old: `"id"`, new: `"leave_wait": "2h", "id"`, want: `:3:17: key "leave_wait": 2h is out of range; permitted: 0s to 60s`},
		{name: "number out of range", old: `"id"`, new: `"max_requests": 0, "id"`, want: `permitted: 1 to 100000`},
		{name: "word out of range", old: `"id"`, new: `"policy": "wild", "id"`, want: `"wild" is not permitted; permitted: full, naive`},
		{name: "duplicate listener", old: `"127.0.0.1:7002"`, new: `"127.0.0.1:7001"`, want: `:6:3: key "operator_address": 127.0.0.1:7001 is already used by caller_address`},
		{name: "not an address", old: `"127.0.0.1:7003"`, new: `"localhost"`, want: `key "peer_address": localhost is not an address of the form IP:port`},
		{name: "missing peer file", old: `"id"`, new: `"peers_file": "absent", "id"`, want: `key "peers_file"`},
		{name: "half of the TLS files", old: `"id"`, new: `"peer_tls": {"key": "k"}, "id"`, want: `key "peer_tls": certificate, key and client_ca are needed together`},
		{name: "syntax", old: `"id":`, new: `"id"`, want: `:3:`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "host.jsonc")
			if err := os.WriteFile(file, []byte(strings.Replace(validSettings, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(file)
			Convey("The error names the file, the position, the key and what is permitted", t, func() {
				if c.want == "" {
					So(err, ShouldBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldStartWith, file)
				So(err.Error(), ShouldContainSubstring, c.want)
			})
		})
	}
}

// FuzzRead reads arbitrary files: settings that pass must have an ID and a positive request limit.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "host.jsonc")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Read(file)
		if err == nil && (s.ID == "" || s.MaxRequests < 1) {
			t.Fatalf("settings %+v passed the check", s)
		}
	})
}

// TestPlatformDefaults reads settings with and without the bounds that the platform may omit.
// A host that waits longer than the platform's grace would be killed before its shutdown ends.
func TestPlatformDefaults(t *testing.T) {
	const addresses = `"caller_address": "127.0.0.1:7004", "ready_address": "127.0.0.1:7005", "object_address": "127.0.0.1:7006"`
	cases := []struct {
		name         string
		platformKeys string
		stop         time.Duration
		wait         time.Duration
		window       time.Duration
		factor       float64
	}{
		{name: "none", stop: 30 * time.Second, wait: 2200 * time.Millisecond, window: 10 * time.Second, factor: 1},
		{name: "long grace", platformKeys: `, "grace": "6s", "retry_window": "5s", "warmup_factor": 1.5`, stop: 5 * time.Second, wait: 2200 * time.Millisecond, window: 5 * time.Second, factor: 1.5},
		{name: "short grace", platformKeys: `, "grace": "3s"`, stop: 2500 * time.Millisecond, wait: 1200 * time.Millisecond, window: 10 * time.Second, factor: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "host.jsonc")
			text := strings.Replace(validSettings, `"id"`, `"leave_wait": "2200ms", "platform": {`+addresses+c.platformKeys+`}, "id"`, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Read(file)
			Convey("The shutdown ends within the grace, and omitted bounds have defaults", t, func() {
				So(err, ShouldBeNil)
				So(s.StopLimit, ShouldEqual, c.stop)
				So(s.LeaveWait, ShouldEqual, c.wait)
				So(s.Platform.RetryWindow, ShouldEqual, c.window)
				So(s.Platform.WarmupFactor, ShouldEqual, c.factor)
			})
		})
	}
}
