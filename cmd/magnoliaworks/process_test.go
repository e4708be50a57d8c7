package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// programVariable makes the test binary run the command line, so that tests can start it as a process.
const programVariable = "MAGNOLIAWORKS_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// program returns a command that runs the command line as a separate process. If the test fails, the end of its log is shown.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), programVariable+"=1")
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	c.Stderr = log
	t.Cleanup(func() {
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log of %v:\n%s", args, data[max(0, len(data)-shownLogBytes):])
		}
	})
	return c
}

// shownLogBytes is the number of bytes of a process's log that are shown if its test fails.
const shownLogBytes = 8 << 10

// fleet is a set of processes: the stand-ins and some hosts.
type fleet struct {
	t        *testing.T
	settings []settingsFile
	hosts    []*exec.Cmd
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	directory := t.TempDir()
	stand := program(t, "stand", "--directory", directory, "--hosts", fmt.Sprint(hosts))
	if err := stand.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = stand.Process.Signal(syscall.SIGTERM)
		_ = stand.Wait()
	})
	f := &fleet{
		t: t,
	}
	for i := range hosts {
		name := filepath.Join(directory, fmt.Sprintf("host-%d.jsonc", i+1))
		f.settings = append(f.settings, readSettingsFile(t, name))
		f.start(name)
	}
	for i := range hosts {
		f.waitReady(i)
	}
	return f
}

func (f *fleet) start(settings string) {
	host := program(f.t, "serve", "--settings", settings)
	if err := host.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.hosts = append(f.hosts, host)
	f.t.Cleanup(func() {
		_ = host.Process.Kill()
		_ = host.Wait()
	})
}

func readSettingsFile(t *testing.T, name string) settingsFile {
	t.Helper()
	var h settingsFile
	eventually(t, func() bool {
		data, err := os.ReadFile(name)
		return err == nil && json.Unmarshal(data, &h) == nil
	})
	return h
}

func (f *fleet) waitReady(i int) {
	eventually(f.t, func() bool {
		status, _ := get("http://" + f.settings[i].CallerAddress + "/ready")
		return status == http.StatusOK
	})
}

func get(url string) (int, string) {
	r, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}

func (f *fleet) request(i int, body string) (int, string) {
	r, err := http.Post("http://"+f.settings[i].CallerAddress+"/v1/request", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

func (f *fleet) runCommand(i int, command string) (string, error) {
	c := program(f.t, "do", "--host", f.settings[i].OperatorAddress, "--operator", "test", command)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	return out.String(), err
}

const eventuallyTimeout = 30 * time.Second

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(eventuallyTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not met within " + eventuallyTimeout.String())
}

const (
	searchBody = `{"collection":"chart-desk","kind":"contour_sheet","text":"cerro"}`
	orderBody  = `{"collection":"print-queue","kind":"print_order","text":"sheet 12","caller":"desk","request_key":"k-1"}`
)

// TestProcesses runs hosts as separate processes: requests, an evacuation, a paused host, a killed host and SIGTERM.
func TestProcesses(t *testing.T) {
	f := newFleet(t, 3)
	Convey("Every host answers a search with full coverage", t, func() {
		for i := range f.settings {
			status, text := f.request(i, searchBody)
			So(text, ShouldContainSubstring, `"coverage":{"answered":10,"total":10}`)
			So(status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("Orders with the same key run once, whichever host receives them", t, func() {
		first, text := f.request(0, orderBody)
		So(text, ShouldContainSubstring, `"snapshot":1`)
		So(first, ShouldEqual, http.StatusOK)
		again, _ := f.request(1, orderBody)
		So(again, ShouldEqual, http.StatusOK)
		other, text := f.request(2, strings.Replace(orderBody, "sheet 12", "sheet 13", 1))
		So(other, ShouldEqual, http.StatusBadRequest)
		So(text, ShouldContainSubstring, "belongs to another request")
	})
	Convey("A data centre taken out through one host is out on all hosts, and the audit trail holds the reason", t, func() {
		out, err := f.runCommand(0, `take out data_centre playa-ancha because "flood"`)
		So(err, ShouldBeNil)
		So(out, ShouldStartWith, "accepted")
		eventually(t, func() bool {
			status, text := get("http://" + f.settings[1].CallerAddress + "/ready")
			return status == http.StatusServiceUnavailable && strings.Contains(text, "taken out")
		})
		out, err = f.runCommand(2, "show audit")
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "flood")
		out, err = f.runCommand(1, "bring in data_centre playa-ancha")
		So(err, ShouldBeNil)
		So(out, ShouldStartWith, "accepted")
		f.waitReady(1)
	})
	Convey("The error of an invalid command names the column, and the command fails", t, func() {
		out, err := f.runCommand(0, "tak out host x")
		So(err, ShouldNotBeNil)
		So(out, ShouldContainSubstring, `column 1: unexpected token "tak"; did you mean "take"?`)
	})
	Convey("A host paused for 2 s stays a member and answers again", t, func() {
		So(f.hosts[1].Process.Signal(syscall.SIGSTOP), ShouldBeNil)
		time.Sleep(2 * time.Second)
		So(f.hosts[1].Process.Signal(syscall.SIGCONT), ShouldBeNil)
		f.waitReady(1)
		out, err := f.runCommand(0, "show hosts")
		So(err, ShouldBeNil)
		So(out, ShouldNotContainSubstring, "unreachable")
	})
	Convey("After a host is killed the others answer", t, func() {
		So(f.hosts[2].Process.Kill(), ShouldBeNil)
		eventually(t, func() bool {
			out, _ := f.runCommand(0, "show hosts")
			return strings.Contains(out, "unreachable")
		})
		eventually(t, func() bool {
			status, _ := f.request(0, searchBody)
			return status == http.StatusOK
		})
	})
	Convey("SIGTERM ends a host with exit code 0", t, func() {
		So(f.hosts[0].Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(f.hosts[0].Wait(), ShouldBeNil)
	})
}

// TestExitCodes runs commands that end before any port opens.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{name: "version", args: []string{"--version"}, code: exitOK, want: "magnoliaworks 0."},
		{name: "help of a command", args: []string{"load", "--help"}, code: exitOK, want: "--faults"},
		{name: "no command", args: nil, code: exitUsage, want: "command"},
		{name: "unknown command", args: []string{"sreve"}, code: exitUsage, want: "serve"},
		{name: "missing settings", args: []string{"serve", "--settings", "absent.jsonc"}, code: exitUsage, want: "absent.jsonc"},
		{name: "unknown fault", args: []string{"load", "--faults", "stragler"}, code: exitUsage, want: `did you mean "straggler"? known: straggler, server_leave`},
		{name: "unknown deployment", args: []string{"load", "--deployment", "x"}, code: exitUsage, want: "known: valparaiso, arangam"},
		{name: "embedded deployment", args: []string{"check", "../../core/deploy/arangam.jsonc"}, code: exitOK, want: "deployment, no errors"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := program(t, c.args...)
			var out bytes.Buffer
			p.Stdout, p.Stderr = &out, &out
			_ = p.Run()
			Convey("The exit code and the output are as documented", t, func() {
				So(p.ProcessState.ExitCode(), ShouldEqual, c.code)
				So(out.String(), ShouldContainSubstring, c.want)
			})
		})
	}
}
