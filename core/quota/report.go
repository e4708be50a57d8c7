package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// GroupCount is the number of groups into which accounts are dealt; each has a divider of its own.
const GroupCount = 8

// groupOf returns the group of an account.
func groupOf(account string) int { return int(xxhash.Sum64String(account) % GroupCount) }

// Report is what a host states to the divider of a group, or the tokens that it asks for.
type Report struct {
	Group int
	Host  string
	// Start identifies the process of the host, by the Unix time in milliseconds of its start.
	Start uint64
	// Sequence orders the reports of a process about the group.
	Sequence uint64
	// Fresh is set until the process has had a reply to a report about the group.
	Fresh bool
	// Moved is set if the host may have reported to another divider since this one last replied to it.
	Moved bool
	// Promised is the time for which the host's earlier reports still bind it.
	Promised time.Duration
	// Validity is the time for which the leases in the reply will be valid, from the sending of the report on.
	Validity time.Duration
	// Uses are the accounts of the group of which the host holds slots, or that it had requests of.
	Uses []Use
	// TokensOnly is set if the host asks for tokens alone. Its leases are left as they are. Lend is set too if they are to come from
	// the slots that the receiving host holds itself.
	TokensOnly bool
	Lend       bool
}

// Use is what a host states of one account.
type Use struct {
	Account string
	// Held is the number of slots that the host holds, and Spent that of tokens that it has used within the last window or still
	// may use.
	Held  int
	Spent int
	// Latest is the number of requests that came in a window when last counted, and Demand that smoothed.
	Latest float64
	Demand float64
	// Wanted is the number of tokens that the host asks for.
	Wanted int
}

// wanted returns the number of tokens of an account that the report asks for.
func (r Report) wanted(account string) int {
	for _, use := range r.Uses {
		if use.Account == account {
			return use.Wanted
		}
	}
	return 0
}

// Reply is a divider's reply to a report.
type Reply struct {
	Leases []Lease
	// Again is the time after which the host is to report again, if that is sooner than usual; otherwise 0.
	Again time.Duration
}

// Lease is what a host may use of one account.
type Lease struct {
	Account string
	// Slots is the number of slots that the host holds from now on, of Of slots of the account in all.
	Slots int
	Of    int
	// Tokens is the number of requests that the host may admit beyond its slots. If none is likely for long, RetryAfter says how long.
	Tokens     int
	RetryAfter time.Duration
}

// ErrUnsupported is the error of a host that doesn't divide allowances, as those of older versions.
var ErrUnsupported = errors.New("the host does not divide allowances")
