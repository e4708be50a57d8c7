package setup

import "time"

const (
	// defaultRetryWindow and defaultWarmupFactor apply where the platform states no bounds: a budget needs a window,
	// and a factor of 1 leaves the stated rate of a cold server as it is.
	defaultRetryWindow  = 10 * time.Second
	defaultWarmupFactor = 1
	// defaultAssumedHosts is large enough that isolated hosts add little to what a fleet of a few hundred hosts permits itself.
	defaultAssumedHosts = 128
	// defaultRemoteSaving is above what the latencies of a calm service vary by. defaultRemoteSavingShare leaves a call where it is
	// unless leaving halves its time.
	defaultRemoteSaving       = 15 * time.Millisecond
	defaultRemoteSavingShare  = 0.5
	defaultRemoteMegabyteTime = time.Second
	// stopShare is the share of the grace within which the host shuts down by itself. leaveShare is the share that bounds
	// LeaveWait, the wait before the host refuses work.
	stopShare  = 5.0 / 6
	leaveShare = 0.4
)

// Platform holds the settings of a host that serves on the users' platform; it is the zero value elsewhere.
type Platform struct {
	// CallerAddress listens for the platform's callers and ReadyAddress for the load balancer's readiness probes;
	// ObjectAddress is the address of the object store.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	ObjectAddress string `json:"object_address"`
	// Grace is the time after which the platform kills a process that was asked to shut down; 0 means that it is not stated.
	Grace time.Duration `json:"grace" min:"0s" max:"10m"`
	// RetryShare and RetrySlack bound the retries, hedges and mirrored calls of all hosts together to one service within
	// RetryWindow: a share of the messages for it, plus a fixed number.
	RetryShare  float64       `json:"retry_share" min:"0" max:"10"`
	RetrySlack  float64       `json:"retry_slack" min:"0" max:"1000000"`
	RetryWindow time.Duration `json:"retry_window" min:"1s" max:"10m"`
	// WarmupFactor multiplies the rate up to which a cold server may get calls, in calls per second; WarmupSlack is added
	// to the product.
	WarmupFactor float64 `json:"warmup_factor" min:"0" max:"100"`
	WarmupSlack  float64 `json:"warmup_slack" min:"0" max:"1000000"`
	// AssumedHosts is the number of hosts among which a host divides the bounds of the fleet, and the connections of each
	// server, while it has peers and has reached none since its start.
	AssumedHosts int `json:"assumed_hosts" min:"1" max:"10000"`
	// AllowanceWindow is the span within which no client account may have more requests executed than its rate and burst permit,
	// widened by AllowanceOverage, a share of them, and AllowanceSlack, in requests. A window of 0 means that allowances bind no
	// host.
	AllowanceWindow  time.Duration `json:"allowance_window" min:"0s" max:"10m"`
	AllowanceOverage float64       `json:"allowance_overage" min:"0" max:"10"`
	AllowanceSlack   float64       `json:"allowance_slack" min:"0" max:"1000000"`
	// ExposureShare and ExposureSlack bound the requests that the new version of a service gets during its roll-out, over all
	// hosts: a share of the requests for the service, plus a fixed number. RollbackTime is the time within which a bad version
	// gets nothing any more: a host without the deciding one's word for 0.3 of it, or for 1.5 s if that is less, sends nothing to
	// the new version. 0 sets no such time. A share of 0 means that the deployment has no roll-outs.
	ExposureShare float64       `json:"exposure_share" min:"0" max:"1"`
	ExposureSlack float64       `json:"exposure_slack" min:"0" max:"1000000"`
	RollbackTime  time.Duration `json:"rollback_time" min:"0s" max:"10m"`
	// RemoteSaving is the least time, and RemoteSavingShare the least share of the time expected in the host's own data centre, that
	// a call must save to leave the data centre. RemoteMegabyteTime is the time of a caller's wait that 10^6 bytes between data
	// centres are worth. They count for servers that state their slowdown.
	RemoteSaving       time.Duration `json:"remote_saving" min:"0s" max:"1m"`
	RemoteSavingShare  float64       `json:"remote_saving_share" min:"0" max:"1"`
	RemoteMegabyteTime time.Duration `json:"remote_megabyte_time" min:"0s" max:"10m"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes, and Processors the number of processors.
	// 0 means that it is not stated.
	MemoryMB   int `json:"memory_mb" min:"0" max:"1048576"`
	Processors int `json:"processors" min:"0" max:"1024"`
	// ProcessorShare is the share of one processor's time that the process gets, LinkMbps the bandwidth of the host's link in
	// 10^6 bits per second, and MaxDescriptors the number of file descriptors that the process may open. 0 means that it is not
	// stated.
	ProcessorShare float64 `json:"processor_share" min:"0" max:"1024"`
	LinkMbps       float64 `json:"link_mbps" min:"0" max:"10000000"`
	MaxDescriptors int     `json:"max_descriptors" min:"0" max:"100000000"`
}

// On reports whether the host serves on the users' platform.
func (p Platform) On() bool { return p != Platform{} }

// withPlatformDefaults returns the settings with defaults for what the platform omits, and with StopLimit and LeaveWait
// shortened to their shares of the platform's grace.
func (s Settings) withPlatformDefaults() Settings {
	if !s.Platform.On() {
		return s
	}
	if s.Platform.RetryWindow == 0 {
		s.Platform.RetryWindow = defaultRetryWindow
	}
	if s.Platform.WarmupFactor == 0 {
		s.Platform.WarmupFactor = defaultWarmupFactor
	}
	if s.Platform.AssumedHosts == 0 {
		s.Platform.AssumedHosts = defaultAssumedHosts
	}
	if s.Platform.RemoteSaving == 0 {
		s.Platform.RemoteSaving = defaultRemoteSaving
	}
	if s.Platform.RemoteSavingShare == 0 {
		s.Platform.RemoteSavingShare = defaultRemoteSavingShare
	}
	if s.Platform.RemoteMegabyteTime == 0 {
		s.Platform.RemoteMegabyteTime = defaultRemoteMegabyteTime
	}
	if grace := float64(s.Platform.Grace); grace > 0 {
		s.StopLimit = min(s.StopLimit, time.Duration(stopShare*grace))
		s.LeaveWait = min(s.LeaveWait, time.Duration(leaveShare*grace))
	}
	return s
}
