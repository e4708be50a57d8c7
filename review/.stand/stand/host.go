package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// program and its arguments are the command of the role in deploy/system.toml.
	program      = "target/magnoliaworks"
	settingsFile = "deploy/settings.jsonc"
	// graceSeconds is bounds.grace_s of the site.
	graceSeconds = 6
)

// host is one process of the project.
type host struct {
	rig       *rig
	name      string
	zone      string
	frontend  string
	readiness string
	control   string
	internal  [2]string
	settings  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newHost reserves the addresses of a host.
func (r *rig) newHost(name, zone string) (*host, error) {
	h := &host{
		rig:      r,
		name:     name,
		zone:     zone,
		settings: filepath.Join(r.folder, name+".jsonc"),
	}
	for _, address := range []*string{&h.frontend, &h.readiness, &h.control, &h.internal[0], &h.internal[1]} {
		var err error
		if *address, err = r.freeAddress(); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append(r.hosts, h)
	return h, nil
}

// start starts the process with settings made from the template, as the platform does.
func (h *host) start(seeds []string) error {
	template, err := os.ReadFile(settingsFile)
	if err != nil {
		return err
	}
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	settings, err := render(string(template), map[string]any{
		"node_name":                  h.name,
		"zone":                       h.zone,
		"ip":                         "127.0.0.1",
		"internal_ports.0":           json.Number(port(h.internal[0])),
		"internal_ports.1":           json.Number(port(h.internal[1])),
		"listen_addrs.frontend":      h.frontend,
		"listen_addrs.readiness":     h.readiness,
		"listen_addrs.control_plane": h.control,
		"seeds":                      seeds,
		"platform.address":           h.rig.store.addr,
		"bounds.grace_s":             graceSeconds,
		"bounds.retry_budget_ratio":  0.2,
		"bounds.retry_budget_slack":  56,
		"bounds.budget_window_s":     10,
		"bounds.warmup_factor":       1.5,
		"bounds.warmup_slack":        5,
		"limits.memory_mb":           284,
		"limits.cores":               1,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.rig.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(program, "serve")
	process.Env = append(os.Environ(), "MAGNOLIAWORKS_CONFIG="+h.settings)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	h.rig.record.writef("host      %s started", h.name)
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = process, ended
	h.mu.Unlock()
	h.rig.tasks.Go(func() error {
		_ = process.Wait()
		h.rig.record.writef("host      %s ended", h.name)
		close(ended)
		return nil
	})
	return nil
}

// kill ends the process if it runs.
func (h *host) kill() {
	h.mu.Lock()
	process, ended := h.process, h.ended
	h.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
	default:
		_ = process.Process.Kill()
		<-ended
	}
}

// ready reports whether the host answers the platform's readiness probe with 200.
func (h *host) ready() bool {
	a, err := roundTrip(h.readiness, []byte("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"), time.Second)
	return err == nil && a.status == 200
}

// render fills in a template of the platform: {{name}}, {{name|json}} and the sections {{#name}} .. {{/name}}.
func render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, rest, _ := strings.Cut(rest, "}}")
		if name, section := strings.CutPrefix(tag, "#"); section {
			body, after, found := strings.Cut(rest, "{{/"+name+"}}")
			if !found {
				return "", fmt.Errorf("section %s has no end", name)
			}
			if value, ok := fields[name]; ok {
				out.WriteString(strings.ReplaceAll(body, "{{.}}", text(value)))
			}
			template = after
			continue
		}
		name, asJSON := strings.CutSuffix(tag, "|json")
		value, ok := fields[name]
		if !ok {
			return "", fmt.Errorf("template names the unknown field %s", name)
		}
		if asJSON {
			encoded, err := json.Marshal(value)
			if err != nil {
				return "", err
			}
			out.Write(encoded)
		} else {
			out.WriteString(text(value))
		}
		template = rest
	}
}

func text(value any) string {
	switch v := value.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return fmt.Sprint(v)
	}
}
