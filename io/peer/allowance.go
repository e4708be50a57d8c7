package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/member"
	"magnoliaworks/core/quota"
	"magnoliaworks/io/peer/frame"
)

// Divider divides the allowances of client accounts among hosts.
type Divider interface {
	// Divide handles a report of a host. ok is false if the divider has no configuration or a later report of the host.
	Divide(r quota.Report) (reply quota.Reply, ok bool)
}

// Divide implements quota.Peers. The error wraps quota.ErrUnsupported if the other host has no Divider.
func (c *Client) Divide(ctx context.Context, to member.Member, r quota.Report) (quota.Reply, error) {
	request := &frame.AllowanceRequest{
		Group:      uint32(r.Group),
		Host:       r.Host,
		Start:      r.Start,
		Sequence:   r.Sequence,
		Fresh:      r.Fresh,
		Moved:      r.Moved,
		PromisedMs: uint32(r.Promised.Milliseconds()),
		ValidityMs: uint32(r.Validity.Milliseconds()),
		TokensOnly: r.TokensOnly,
		Lend:       r.Lend,
		Uses:       make([]*frame.AccountUse, len(r.Uses)),
	}
	for i, use := range r.Uses {
		request.Uses[i] = &frame.AccountUse{
			Account: use.Account,
			Held:    uint32(use.Held),
			Latest:  float32(use.Latest),
			Demand:  float32(use.Demand),
			Wanted:  uint32(use.Wanted),
			Spent:   uint32(use.Spent),
		}
	}
	answer, err := c.persistentClient(to.Address).Allowance(ctx, newRequest(request))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return quota.Reply{}, errors.Wrapf(quota.ErrUnsupported, "host %s", to.ID)
	}
	if err != nil {
		return quota.Reply{}, errors.Wrapf(err, "report allowances to host %s", to.ID)
	}
	reply := quota.Reply{
		Again: time.Duration(answer.Msg.GetAgainMs()) * time.Millisecond,
	}
	for _, lease := range answer.Msg.GetLeases() {
		reply.Leases = append(reply.Leases, quota.Lease{
			Account:    lease.GetAccount(),
			Slots:      int(lease.GetSlots()),
			Of:         int(lease.GetSlotsInAll()),
			Tokens:     int(lease.GetTokens()),
			RetryAfter: time.Duration(lease.GetRetryMs()) * time.Millisecond,
		})
	}
	return reply, nil
}

// Allowance implements frame.PeerHandler.
func (s *Service) Allowance(_ context.Context, request *connect.Request[frame.AllowanceRequest]) (*connect.Response[frame.AllowanceReply], error) {
	if s.divider == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, quota.ErrUnsupported)
	}
	message := request.Msg
	if message.GetGroup() >= quota.GroupCount {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errors.Errorf("group %d of accounts is not one of %d", message.GetGroup(), quota.GroupCount))
	}
	report := quota.Report{
		Group:      int(message.GetGroup()),
		Host:       message.GetHost(),
		Start:      message.GetStart(),
		Sequence:   message.GetSequence(),
		Fresh:      message.GetFresh(),
		Moved:      message.GetMoved(),
		Promised:   time.Duration(message.GetPromisedMs()) * time.Millisecond,
		Validity:   time.Duration(message.GetValidityMs()) * time.Millisecond,
		TokensOnly: message.GetTokensOnly(),
		Lend:       message.GetLend(),
		Uses:       make([]quota.Use, len(message.GetUses())),
	}
	for i, use := range message.GetUses() {
		report.Uses[i] = quota.Use{
			Account: use.GetAccount(),
			Held:    int(use.GetHeld()),
			Latest:  float64(use.GetLatest()),
			Demand:  float64(use.GetDemand()),
			Wanted:  int(use.GetWanted()),
			Spent:   int(use.GetSpent()),
		}
	}
	reply, ok := s.divider.Divide(report)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration yet, or a later report of the host"))
	}
	answer := &frame.AllowanceReply{
		AgainMs: uint32(reply.Again.Milliseconds()),
		Leases:  make([]*frame.AccountLease, len(reply.Leases)),
	}
	for i, lease := range reply.Leases {
		answer.Leases[i] = &frame.AccountLease{
			Account:    lease.Account,
			Slots:      uint32(lease.Slots),
			SlotsInAll: uint32(lease.Of),
			Tokens:     uint32(lease.Tokens),
			RetryMs:    uint32(lease.RetryAfter.Milliseconds()),
		}
	}
	return connect.NewResponse(answer), nil
}
