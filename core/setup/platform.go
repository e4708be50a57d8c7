package setup

import "time"

const (
	// retryWindowDefault and warmupFactorDefault hold where the platform states no bounds: budgets need a window,
	// and a cold server bears the rate that it states.
	retryWindowDefault  = 10 * time.Second
	warmupFactorDefault = 1
	// stopPart is the part of the grace in which a host ends by itself; leavePart bounds the wait before it refuses work.
	stopPart  = 5.0 / 6
	leavePart = 0.4
)

// Platform is what a host needs to serve on the users' platform; it is absent elsewhere.
type Platform struct {
	// CallerAddress takes the platform's callers, ReadyAddress the balancer's question; ObjectAddress is the object store.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	ObjectAddress string `json:"object_address"`
	// Grace is the time after which the platform kills a process that was told to end; 0 means that it is not stated.
	Grace time.Duration `json:"grace" min:"0s" max:"10m"`
	// RetryShare, RetrySlack and RetryWindow bound the repeated calls of the whole fleet to one service.
	RetryShare  float64       `json:"retry_share" min:"0" max:"10"`
	RetrySlack  float64       `json:"retry_slack" min:"0" max:"1000000"`
	RetryWindow time.Duration `json:"retry_window" min:"1s" max:"10m"`
	// WarmupFactor and WarmupSlack widen the rate that a cold server bears.
	WarmupFactor float64 `json:"warmup_factor" min:"0" max:"100"`
	WarmupSlack  float64 `json:"warmup_slack" min:"0" max:"1000000"`
	// MemoryMB is what the process may use, in megabytes, and Processors the number of its processors.
	MemoryMB   int `json:"memory_mb" min:"0" max:"1048576"`
	Processors int `json:"processors" min:"0" max:"1024"`
}

// On reports whether the host serves on the users' platform.
func (p Platform) On() bool { return p != Platform{} }

// withPlatform returns settings in which the platform's grace bounds the shutdown, and with what it left out.
func (s Settings) withPlatform() Settings {
	if !s.Platform.On() {
		return s
	}
	if s.Platform.RetryWindow == 0 {
		s.Platform.RetryWindow = retryWindowDefault
	}
	if s.Platform.WarmupFactor == 0 {
		s.Platform.WarmupFactor = warmupFactorDefault
	}
	if grace := float64(s.Platform.Grace); grace > 0 {
		s.StopLimit = min(s.StopLimit, time.Duration(stopPart*grace))
		s.LeaveWait = min(s.LeaveWait, time.Duration(leavePart*grace))
	}
	return s
}
