package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/setup"
)

// host is one process of the program. The soak signals only processes that it started.
type host struct {
	program  string
	settings setup.Settings
	file     string
	log      *os.File
	// storePath is on the host's way to the store, peerPaths on its ways to the peer addresses of the other hosts, proxied.
	storePath *proxy
	peerPaths *proxy
	proxied   []string
	// touch records the troubles of the process and of its way to the store.
	touch touch

	// faultMu serializes the faults that end or pause the process.
	faultMu sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	// down is set from SIGKILL, and leaving from SIGTERM, until the next start.
	down    bool
	leaving bool
}

// settingsFile holds the settings that a soak writes to a host's file.
type settingsFile struct {
	ID              string           `json:"id"`
	DataCentre      string           `json:"data_centre"`
	CallerAddress   string           `json:"caller_address"`
	OperatorAddress string           `json:"operator_address"`
	PeerAddress     string           `json:"peer_address"`
	Peers           []string         `json:"peers"`
	LogFormat       string           `json:"log_format"`
	LeaveWait       string           `json:"leave_wait"`
	StopLimit       string           `json:"stop_limit"`
	Platform        platformSettings `json:"platform"`
}

// platformSettings holds the settings of the users' platform.
type platformSettings struct {
	CallerAddress string  `json:"caller_address"`
	ReadyAddress  string  `json:"ready_address"`
	ObjectAddress string  `json:"object_address"`
	RetryShare    float64 `json:"retry_share"`
	RetrySlack    float64 `json:"retry_slack"`
	RetryWindow   string  `json:"retry_window"`
	WarmupFactor  float64 `json:"warmup_factor"`
	WarmupSlack   float64 `json:"warmup_slack"`
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
}

// newHost starts the proxies of a host, writes its settings file and creates its log file; start starts the process. The host
// reaches the store at storeAddress.
func newHost(program, directory, storeAddress string, s setup.Settings) (*host, error) {
	h := &host{
		program:  program,
		settings: s,
		file:     filepath.Join(directory, s.ID+".jsonc"),
	}
	var err error
	if h.storePath, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	if h.peerPaths, err = newProxy(""); err != nil {
		return nil, err
	}
	h.settings.Platform.ObjectAddress = h.storePath.address()
	if err := h.writeSettings(s.Peers); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(directory, s.ID+".log"))
	return h, errors.Wrap(err, "create log")
}

// writeSettings writes the settings file with the given peers.
func (h *host) writeSettings(peers []string) error {
	s, p := h.settings, h.settings.Platform
	data, err := json.MarshalIndent(settingsFile{
		ID:              s.ID,
		DataCentre:      s.DataCentre,
		CallerAddress:   s.CallerAddress,
		OperatorAddress: s.OperatorAddress,
		PeerAddress:     s.PeerAddress,
		Peers:           peers,
		LogFormat:       "json",
		LeaveWait:       "1s",
		StopLimit:       "4s",
		Platform: platformSettings{
			CallerAddress: p.CallerAddress,
			ReadyAddress:  p.ReadyAddress,
			ObjectAddress: p.ObjectAddress,
			RetryShare:    p.RetryShare,
			RetrySlack:    p.RetrySlack,
			RetryWindow:   p.RetryWindow.String(),
			WarmupFactor:  p.WarmupFactor,
			WarmupSlack:   p.WarmupSlack,
			ExposureShare: p.ExposureShare,
			ExposureSlack: p.ExposureSlack,
		},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(h.file, data, 0o600), "write settings")
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.touch.disturb()()
	arguments := []string{"soak-host", "--settings", h.file, "--peer-proxy", h.peerPaths.address()}
	for _, address := range h.proxied {
		arguments = append(arguments, "--proxied", address)
	}
	h.process = exec.Command(h.program, arguments...)
	h.process.Env = append(os.Environ(), programVariable+"=1")
	h.process.Stdout, h.process.Stderr = h.log, h.log
	h.down, h.leaving = false, false
	return errors.Wrapf(h.process.Start(), "start host %s", h.settings.ID)
}

// programVariable is the environment variable that makes a test binary run the command line.
const programVariable = "MAGNOLIAWORKS_AS_PROGRAM"

// signal sends a signal to the process; a failure is written to the host's log.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = h.leaving || s == syscall.SIGTERM
	h.down = h.down || s == syscall.SIGKILL
	if err := h.process.Process.Signal(s); err != nil {
		_, _ = fmt.Fprintf(h.log, "signal %s: %v\n", s, err)
	}
}

// restart ends the process with a signal, waits for its end and starts it again.
func (h *host) restart(s os.Signal) error {
	h.faultMu.Lock()
	defer h.faultMu.Unlock()
	h.waitListening()
	defer h.touch.disturb()()
	h.signal(s)
	if err := h.waitExit(); err != nil && s == syscall.SIGTERM {
		return errors.Wrapf(err, "host %s did not exit cleanly after SIGTERM", h.settings.ID)
	}
	return h.start()
}

// waitExit waits until the process has ended and returns its exit error. It kills a process that takes longer than
// exitTimeout.
func (h *host) waitExit() error {
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ended <- h.process.Wait()
		return nil
	})
	limit := time.NewTimer(exitTimeout)
	defer limit.Stop()
	select {
	case err := <-ended:
		return err
	case <-limit.C:
		h.signal(syscall.SIGKILL)
		return <-ended
	}
}

// waitListening waits until the process listens: from then on it is certain to handle signals.
func (h *host) waitListening() {
	for until := time.Now().Add(exitTimeout); time.Now().Before(until); time.Sleep(listenPollInterval) {
		c, err := net.Dial("tcp", h.settings.Platform.ReadyAddress)
		if err == nil {
			_ = c.Close()
			return
		}
	}
}

// listenPollInterval is the time between two checks whether a process listens.
const listenPollInterval = 20 * time.Millisecond

// exitTimeout is the time within which a process must have ended; it exceeds the stop_limit of the settings.
const exitTimeout = 6 * time.Second

// leavingGracefully reports whether the process got SIGTERM and has not been killed since.
func (h *host) leavingGracefully() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving && !h.down
}
