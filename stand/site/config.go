package site

// Config is the operator's configuration in the platform's JSON format.
type Config struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Accounts []Account `json:"tenants,omitempty"`
}

// Route selects the service, traffic split or shard set of a caller's request, in the platform's JSON format.
type Route struct {
	Name        string            `json:"name"`
	Host        string            `json:"host"`
	Prefix      string            `json:"path_prefix"`
	Type        string            `json:"route_type"`
	TimeoutMS   int               `json:"timeout_ms"`
	ObjectiveMS int               `json:"target_latency_ms"`
	MaxAttempts int               `json:"attempts"`
	Service     string            `json:"service,omitempty"`
	Shards      []string          `json:"fanout_services,omitempty"`
	Split       []WeightedService `json:"traffic_split,omitempty"`
	TopK        int               `json:"top_k,omitempty"`
	MinCoverage float64           `json:"min_coverage,omitempty"`
	Public      bool              `json:"public"`
}

// WeightedService is a service of a traffic split and its weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a service's configuration in the platform's JSON format.
type Service struct {
	Name           string  `json:"name"`
	MaxConnections int     `json:"max_connections"`
	WarmupPerS     float64 `json:"warmup_per_s"`
}

// Entry is a server's registration in the platform's JSON format. WarmupLeftMS is 0 for a warm server.
type Entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Concurrency  int    `json:"concurrency"`
	State        string `json:"state"`
	WarmupLeftMS int64  `json:"warmup_left_ms"`
	Sequence     int    `json:"sequence"`
	Born         int64  `json:"born"`
}

// Limits bound what callers may do.
type Limits struct {
	IdleTimeoutMS int `json:"idle_timeout_ms"`
}
