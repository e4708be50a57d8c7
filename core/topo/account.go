package topo

// Account is a client account that the operator's configuration names. It is immutable.
type Account struct {
	Name string
	// Priority ranks the account's requests under overload in place of their route's; it counts only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the allowance in requests per second over all hosts, and Burst the number of requests that may come at once
	// beyond it. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}
