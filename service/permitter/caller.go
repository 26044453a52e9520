package permitter

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

const (
	// maxDenials is how often the requester asks again after a host denied the ownership of a shard.
	maxDenials = 5
	// maxUnreachable is how many owners of a shard the requester tries when calls fail.
	maxUnreachable = 3
	// denialPause is the pause after a denial, during which the membership may converge.
	denialPause = 50 * time.Millisecond
)

// search is the state of a requester that looks for the owner of a shard.
type search struct {
	shard       int
	unreachable []identifier.HostID
	denials     int
	// recorded tells that an owner may have recorded the permit without granting it to this call.
	recorded bool
}

// Acquire decides on one request. It never returns an error: a request that cannot be decided is refused, and is not run.
func (p *Permitter) Acquire(ctx context.Context, request codec.PermitRequest) (codec.PermitReply, error) {
	if identifier.Bytes(len(request.Key)) > MaxKey || request.Key == "" {
		return refused(refuser.InvalidRequest, false), nil
	}
	request.From = p.settings.Members.Self().ID
	request.PermitID = uuid.NewString()
	s := &search{shard: p.shardOf(request.Entry, request.Key)}
	reply := p.acquire(ctx, s, request)
	if reply.Decision == codec.PermitDecisionGranted {
		asserter.Check(asserter.PermitUsedOnce, reply.PermitID == request.PermitID,
			"host %s got permit %s for its request %s", request.From, reply.PermitID, request.PermitID)
		return reply, nil
	}
	if reply.Recorded || s.recorded {
		p.withdraw(request)
	}
	reply.Recorded = false
	return reply, nil
}

func (p *Permitter) acquire(ctx context.Context, s *search, request codec.PermitRequest) codec.PermitReply {
	last := refuser.PermitOwnerUnknown
	for ctx.Err() == nil {
		request.Unreachable = s.unreachable
		reply, ok := p.call(ctx, s, MethodPermit, request)
		switch {
		case !ok:
			s.recorded = true
		case s.moved(reply):
			pause(ctx, denialPause)
		case isRefused(reply, refuser.KeyInProgress):
			last = refuser.KeyInProgress
		default:
			return reply
		}
		if s.exhausted() {
			return refused(refuser.PermitOwnerUnknown, s.recorded)
		}
	}
	return refused(last, s.recorded)
}

// call asks the owner of a shard; it returns false when the call failed and its effect is unknown.
func (p *Permitter) call(ctx context.Context, s *search, method string, params any) (codec.PermitReply, bool) {
	owner, ok := p.owner(s.shard, s.unreachable)
	if !ok {
		s.denials = maxDenials
		return refused(movedReason, false), true
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	var reply codec.PermitReply
	err := p.settings.Peers.Call(ctx, owner, method, params, &reply)
	if err != nil {
		s.unreachable = append(s.unreachable, owner.ID)
		return codec.PermitReply{}, false
	}
	if isRefused(reply, refuser.Draining) {
		s.unreachable = append(s.unreachable, owner.ID)
	}
	return reply, true
}

// moved reports whether the asked host is not the owner, and counts it.
func (s *search) moved(reply codec.PermitReply) bool {
	if isRefused(reply, movedReason) {
		s.denials++
		return true
	}
	return isRefused(reply, refuser.Draining)
}

func (s *search) exhausted() bool {
	return s.denials >= maxDenials || len(s.unreachable) >= maxUnreachable
}

func isRefused(reply codec.PermitReply, reason refuser.Reason) bool {
	return reply.Decision == codec.PermitDecisionRefused && reply.Reason == string(reason)
}

// Complete records how the permitted request ended. If the context ends first, a duty keeps trying in the background;
// until then, repeats of the key wait, and later they get outcome_unknown.
func (p *Permitter) Complete(ctx context.Context, completion codec.PermitCompletion) error {
	completion.From = p.settings.Members.Self().ID
	if completion.Answer != nil && !storable(completion.Answer) {
		completion.Answer = nil
	}
	err := p.complete(ctx, completion)
	if err != nil {
		p.withdrawn.Offer(completion)
	}
	return err
}

// storable reports whether an answer may be kept for repeats.
func storable(answer *codec.StoredAnswer) bool {
	return identifier.Bytes(len(answer.Body)) <= MaxAnswer && identifier.Bytes(len(answer.ContentType)) <= MaxKey
}

func (p *Permitter) complete(ctx context.Context, completion codec.PermitCompletion) error {
	s := &search{shard: p.shardOf(completion.Entry, completion.Key)}
	reason := string(refuser.PermitOwnerUnknown)
	for ctx.Err() == nil && !s.exhausted() {
		completion.Unreachable = s.unreachable
		reply, ok := p.call(ctx, s, MethodComplete, completion)
		switch {
		case !ok:
		case reply.Decision == codec.PermitDecisionAnswered:
			return nil
		default:
			reason = reply.Reason
			s.moved(reply)
			pause(ctx, denialPause)
		}
	}
	return annotator.Wrap("complete permit", annotator.Peer(shardPrefix(s.shard)), fmt.Errorf("not recorded: %s", reason))
}

func pause(ctx context.Context, duration time.Duration) {
	timeout := time.NewTimer(duration)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
}
