package peer

import (
	"math"
	"time"

	"connectrpc.com/connect"

	"magnoliaworks/core/member"
	"magnoliaworks/core/query"
	"magnoliaworks/core/watch"
	"magnoliaworks/io/peer/frame"
)

func newRequest[T any](message *T) *connect.Request[T] { return connect.NewRequest(message) }

// selfFrame returns this host's member record with the digest of its configuration and what it knows of the platform's
// store.
func (c *Client) selfFrame() *frame.Member {
	self := memberFrame(c.table.Self())
	self.ConfigDigest = c.config.State().Digest()
	a := c.announcer.Announcement()
	if a.Newest != (watch.Revisions{}) {
		self.Newest, self.FurtherNewest = a.Newest[:baseKinds], furtherRevisions(a.Newest)
	}
	if a.AgeKnown {
		// Rounded up, so that the receiver takes nothing for newer than it is.
		age := uint32(min(a.Age.Milliseconds()+1, math.MaxUint32))
		self.StoreAgeMs = &age
	}
	return self
}

func memberFrame(m member.Member) *frame.Member {
	return &frame.Member{
		Id:              m.ID,
		Address:         m.Address,
		OperatorAddress: m.OperatorAddress,
		DataCentre:      m.DataCentre,
		Incarnation:     m.Incarnation,
		State:           uint32(m.State),
	}
}

func memberFrames(members []member.Member) []*frame.Member {
	frames := make([]*frame.Member, len(members))
	for i, m := range members {
		frames[i] = memberFrame(m)
	}
	return frames
}

func memberOf(f *frame.Member) member.Member {
	return member.Member{
		ID:              f.GetId(),
		Address:         f.GetAddress(),
		OperatorAddress: f.GetOperatorAddress(),
		DataCentre:      f.GetDataCentre(),
		Incarnation:     f.GetIncarnation(),
		State:           member.State(f.GetState()),
	}
}

func membersOf(frames []*frame.Member) []member.Member {
	members := make([]member.Member, len(frames))
	for i, f := range frames {
		members[i] = memberOf(f)
	}
	return members
}

func subFrame(sequence uint64, s query.SubRequest) *frame.Sub {
	return &frame.Sub{
		Sequence:       sequence,
		RequestId:      s.RequestID,
		Attempt:        s.Attempt,
		Server:         s.Server,
		Shard:          s.Shard,
		Snapshot:       s.Snapshot,
		Collection:     s.Collection,
		Kind:           s.Kind,
		Text:           s.Text,
		Limit:          uint32(s.Limit),
		RemainingMs:    uint32(max(time.Until(s.Deadline).Milliseconds(), 1)),
		Priority:       uint32(s.Priority),
		IdempotencyKey: s.IdempotencyKey,
	}
}

func subRequestOf(f *frame.Sub, now time.Time) query.SubRequest {
	return query.SubRequest{
		RequestID:      f.GetRequestId(),
		Attempt:        f.GetAttempt(),
		Server:         f.GetServer(),
		Shard:          f.GetShard(),
		Snapshot:       f.GetSnapshot(),
		Collection:     f.GetCollection(),
		Kind:           f.GetKind(),
		Text:           f.GetText(),
		Limit:          int(f.GetLimit()),
		Priority:       int(f.GetPriority()),
		IdempotencyKey: f.GetIdempotencyKey(),
		Deadline:       now.Add(time.Duration(f.GetRemainingMs()) * time.Millisecond),
	}
}

func resultFrame(sequence uint64, result query.Result) *frame.Result {
	f := &frame.Result{
		Sequence: sequence,
	}
	switch r := result.(type) {
	case query.Done:
		f.Status = frame.Status_STATUS_DONE
		if !r.Complete {
			f.Status = frame.Status_STATUS_CUT_SHORT
		}
		f.Snapshot = r.Snapshot
		f.Hits = hitFrames(r.Hits)
		setFeedback(f, r.Feedback)
	case query.SnapshotAbsent:
		f.Status = frame.Status_STATUS_SNAPSHOT_ABSENT
		setFeedback(f, r.Feedback)
	case query.NotExecuted:
		f.Status = frame.Status_STATUS_NOT_RUN
		if r.Cause == query.Busy {
			f.Status = frame.Status_STATUS_BUSY
		}
		f.Reason = r.Reason
		setFeedback(f, r.Feedback)
	case query.Failed:
		f.Status = frame.Status_STATUS_FAILED
		f.Reason = r.Reason
	}
	return f
}

func resultOf(f *frame.Result, shard string) query.Result {
	switch f.GetStatus() {
	case frame.Status_STATUS_DONE, frame.Status_STATUS_CUT_SHORT:
		return query.Done{
			Snapshot: f.GetSnapshot(),
			Complete: f.GetStatus() == frame.Status_STATUS_DONE,
			Hits:     hitsOf(f.GetHits(), shard),
			Feedback: feedbackOf(f),
		}
	case frame.Status_STATUS_SNAPSHOT_ABSENT:
		return query.SnapshotAbsent{
			Feedback: feedbackOf(f),
		}
	case frame.Status_STATUS_NOT_RUN:
		return query.NotExecuted{
			Cause:    query.Unavailable,
			Reason:   f.GetReason(),
			Feedback: feedbackOf(f),
		}
	case frame.Status_STATUS_BUSY:
		return query.NotExecuted{
			Cause:    query.Busy,
			Reason:   f.GetReason(),
			Feedback: feedbackOf(f),
		}
	default:
		return query.Failed{
			Reason: f.GetReason(),
		}
	}
}

func setFeedback(f *frame.Result, feedback query.Feedback) {
	f.OldestSnapshot = feedback.OldestSnapshot
	f.NewestSnapshot = feedback.NewestSnapshot
	f.WaitUs = uint32(feedback.QueueWait.Microseconds())
	f.ServiceUs = uint32(feedback.ServiceTime.Microseconds())
}

func feedbackOf(f *frame.Result) query.Feedback {
	return query.Feedback{
		OldestSnapshot: f.GetOldestSnapshot(),
		NewestSnapshot: f.GetNewestSnapshot(),
		QueueWait:      time.Duration(f.GetWaitUs()) * time.Microsecond,
		ServiceTime:    time.Duration(f.GetServiceUs()) * time.Microsecond,
	}
}

func hitFrames(hits []query.Hit) []*frame.Hit {
	frames := make([]*frame.Hit, len(hits))
	block := make([]frame.Hit, len(hits)) // One allocation holds all hits.
	for i, h := range hits {
		f := &block[i]
		f.Id, f.Score, f.Title = h.ID, h.Score, h.Title
		frames[i] = f
	}
	return frames
}

func hitsOf(frames []*frame.Hit, shard string) []query.Hit {
	hits := make([]query.Hit, len(frames))
	for i, f := range frames {
		hits[i] = query.Hit{
			ID:    f.GetId(),
			Score: f.GetScore(),
			Title: f.GetTitle(),
			Shard: shard,
		}
	}
	return hits
}
