package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliaworks/core/canary"
	"magnoliaworks/core/launch"
	"magnoliaworks/core/member"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer/frame"
)

// maxEvidenceRows bounds the rows of a report.
const maxEvidenceRows = 64

// Launcher receives the reports of hosts on roll-outs.
type Launcher interface {
	// Receive counts a report and returns the word for the host that sent it.
	Receive(report launch.Report) launch.Word
}

// Evidence implements launch.Peers.
func (c *Client) Evidence(ctx context.Context, to member.Member, report launch.Report) (launch.Word, error) {
	request := &frame.EvidenceRequest{
		Host:      report.Host,
		Order:     report.Order,
		Revision:  report.Revision,
		Version:   report.Version,
		AgeMs:     uint32(report.Age.Milliseconds()),
		Condemned: report.Condemned,
	}
	for _, row := range report.Rows[:min(len(report.Rows), maxEvidenceRows)] {
		request.Rows = append(request.Rows, &frame.EvidenceRow{
			Route:      row.Route,
			DataCentre: row.DataCentre,
			Server:     row.Server,
			Calls:      uint32(row.Calls),
			Bad:        uint32(row.Bad),
		})
	}
	reply, err := c.persistentClient(to.Address).Evidence(ctx, newRequest(request))
	if err != nil {
		return launch.Word{}, errors.Wrapf(err, "report on order %q to host %s", report.Order, to.ID)
	}
	word := launch.Word{
		Decides:   reply.Msg.GetDecides(),
		Part:      reply.Msg.GetPart(),
		Condemned: reply.Msg.GetCondemned(),
	}
	if reply.Msg.GetOrder() != nil {
		word.Order = objectOf(reply.Msg.GetOrder())
	}
	return word, nil
}

// Evidence implements frame.PeerHandler.
func (s *Service) Evidence(_ context.Context, request *connect.Request[frame.EvidenceRequest]) (*connect.Response[frame.EvidenceReply], error) {
	if s.launcher == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the host takes no part in roll-outs"))
	}
	message := request.Msg
	report := launch.Report{
		Host:      message.GetHost(),
		Order:     message.GetOrder(),
		Revision:  message.GetRevision(),
		Version:   message.GetVersion(),
		Age:       time.Duration(message.GetAgeMs()) * time.Millisecond,
		Condemned: message.GetCondemned(),
	}
	for _, row := range message.GetRows()[:min(len(message.GetRows()), maxEvidenceRows)] {
		report.Rows = append(report.Rows, canary.Row{
			Route:      row.GetRoute(),
			DataCentre: row.GetDataCentre(),
			Server:     row.GetServer(),
			Calls:      int(row.GetCalls()),
			Bad:        int(min(row.GetBad(), row.GetCalls())),
		})
	}
	word := s.launcher.Receive(report)
	reply := &frame.EvidenceReply{
		Decides:   word.Decides,
		Part:      word.Part,
		Condemned: word.Condemned,
	}
	if word.Order.Name != "" {
		reply.Order = objectFrame(watch.Rollouts, word.Order)
	}
	return connect.NewResponse(reply), nil
}
