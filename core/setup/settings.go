// Package setup reads and checks the settings file of a host.
package setup

import "time"

// Settings holds what a host knows when it starts. All other configuration comes from the platform's store and from peers.
type Settings struct {
	// ID names the host; it is unique among all hosts.
	ID         string `json:"id" need:"true" min:"1" max:"64"`
	DataCentre string `json:"data_centre" need:"true" min:"1" max:"64"`
	// CallerAddress, OperatorAddress and PeerAddress are the addresses on which the host listens, as IP:port.
	CallerAddress   string `json:"caller_address" need:"true"`
	OperatorAddress string `json:"operator_address" need:"true"`
	PeerAddress     string `json:"peer_address" need:"true"`
	// StoreAddress is the address of the platform's object API, and HostsAddress that of its list of live hosts.
	// Both are required unless Platform is set.
	StoreAddress string `json:"store_address"`
	HostsAddress string `json:"hosts_address"`
	// Peers are the peer addresses of hosts through which this host joins the others. PeersFile names a file with more
	// of them, separated by white space; a relative name is relative to the folder of the settings file.
	Peers     []string `json:"peers" max:"64"`
	PeersFile string   `json:"peers_file"`
	LogLevel  string   `json:"log_level" oneof:"debug|info|warn|error"`
	// LeaveWait is the time between the announcement that the host leaves and the closing of the caller listener.
	LeaveWait time.Duration `json:"leave_wait" min:"0s" max:"60s"`
	// StopLimit bounds the duration of the whole shutdown.
	StopLimit time.Duration `json:"stop_limit" min:"1s" max:"10m"`
	// MaxRequests bounds the requests in progress on this host.
	MaxRequests int `json:"max_requests" min:"1" max:"100000"`
	// Policy is the policy by which replicas are chosen: the text of a route.Policy.
	Policy      string `json:"policy" oneof:"full|naive"`
	OperatorTLS TLS    `json:"operator_tls"`
	PeerTLS     TLS    `json:"peer_tls"`
	// LogFormat is text, written to standard error, or json, written to standard output.
	LogFormat string   `json:"log_format" oneof:"text|json"`
	Platform  Platform `json:"platform"`
}

// TLS names the PEM files of a listener that requires client certificates; all names are empty for plain TCP.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	ClientCA    string `json:"client_ca"`
}

// Default returns the values of settings that the file may omit.
func Default() Settings {
	return Settings{
		LogLevel:    "info",
		LeaveWait:   2 * time.Second,
		StopLimit:   30 * time.Second,
		MaxRequests: 2000,
		Policy:      "full",
		LogFormat:   "text",
	}
}

// On reports whether the listener uses TLS.
func (t TLS) On() bool { return t != TLS{} }

// WithReloadable returns the settings with those values of next that may change while the host runs.
// RetryWindow is not among them, since the budget for retries, hedges and mirrored calls keeps what it counted in its window.
func (s Settings) WithReloadable(next Settings) Settings {
	s.Peers = next.Peers
	s.Platform.RetryShare = next.Platform.RetryShare
	s.Platform.RetrySlack = next.Platform.RetrySlack
	s.Platform.WarmupFactor = next.Platform.WarmupFactor
	s.Platform.WarmupSlack = next.Platform.WarmupSlack
	return s
}
