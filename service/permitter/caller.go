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
	// maxDenials is the number of denials of a shard's ownership after which the requester gives up.
	maxDenials = 5
	// maxUnreachable is the number of unreachable or draining owners of a shard after which the requester gives up.
	maxUnreachable = 3
	// denialPause is the pause after a denial, which gives the hosts' views of the membership time to converge.
	denialPause = 50 * time.Millisecond
)

// ownerSearch is the state of a requester that searches for the owner of a shard.
type ownerSearch struct {
	shard       int
	unreachable []identifier.HostID
	denials     int
	// recorded is set once an owner may have recorded the permit without this host having received the grant.
	recorded bool
}

// Acquire requests the permit for one request. It never returns an error: a request that cannot be decided is refused as
// not run.
func (p *Permitter) Acquire(ctx context.Context, request codec.PermitRequest) (codec.PermitReply, error) {
	if identifier.Bytes(len(request.Key)) > MaxKey || request.Key == "" {
		return refused(refuser.InvalidRequest, false), nil
	}
	request.From = p.config.Members.Self().ID
	request.PermitID = uuid.NewString()
	s := &ownerSearch{shard: p.shardOf(request.Entry, request.Key)}
	reply := p.acquire(ctx, s, request)
	if reply.Decision == codec.PermitDecisionGranted {
		asserter.Check(asserter.PermitUsedOnce, reply.PermitID == request.PermitID,
			"host %s received permit %s for its request %s", request.From, reply.PermitID, request.PermitID)
		return reply, nil
	}
	if reply.Recorded || s.recorded {
		p.withdraw(request)
	}
	reply.Recorded = false
	return reply, nil
}

func (p *Permitter) acquire(ctx context.Context, s *ownerSearch, request codec.PermitRequest) codec.PermitReply {
	last := refuser.PermitOwnerUnreachable
	for ctx.Err() == nil {
		request.Unreachable = s.unreachable
		reply, ok := p.call(ctx, s, MethodPermit, request)
		switch {
		case !ok:
			s.recorded = true
		case s.denied(reply):
			sleep(ctx, denialPause)
		case isRefused(reply, refuser.KeyInProgress):
			last = refuser.KeyInProgress
		default:
			return reply
		}
		if s.exhausted() {
			return refused(refuser.PermitOwnerUnreachable, s.recorded)
		}
	}
	return refused(last, s.recorded)
}

// call calls a method of the shard's owner. It returns false if the call failed, in which case its outcome is unknown.
func (p *Permitter) call(ctx context.Context, s *ownerSearch, method string, params any) (codec.PermitReply, bool) {
	owner, ok := p.owner(s.shard, s.unreachable)
	if !ok {
		s.denials = maxDenials
		return refused(movedReason, false), true
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	var reply codec.PermitReply
	err := p.config.Peers.Call(ctx, owner, method, params, &reply)
	if err != nil {
		s.unreachable = append(s.unreachable, owner.ID)
		return codec.PermitReply{}, false
	}
	if isRefused(reply, refuser.Draining) {
		s.unreachable = append(s.unreachable, owner.ID)
	}
	return reply, true
}

// denied reports whether the called host denied that it owns the shard, and counts the denial. A draining host denies it too
// but is not counted here, since call has added it to the unreachable hosts.
func (s *ownerSearch) denied(reply codec.PermitReply) bool {
	if isRefused(reply, movedReason) {
		s.denials++
		return true
	}
	return isRefused(reply, refuser.Draining)
}

func (s *ownerSearch) exhausted() bool {
	return s.denials >= maxDenials || len(s.unreachable) >= maxUnreachable
}

func isRefused(reply codec.PermitReply, reason refuser.Reason) bool {
	return reply.Decision == codec.PermitDecisionRefused && reply.Reason == string(reason)
}

// Complete records how the permitted request ended. If it returns an error, the completion is retried in the background.
// Until it is recorded, repeats of the key wait; if it is never recorded, they get outcome_unknown in the end.
func (p *Permitter) Complete(ctx context.Context, completion codec.PermitCompletion) error {
	completion.From = p.config.Members.Self().ID
	if completion.Answer != nil && !storable(completion.Answer) {
		completion.Answer = nil
	}
	err := p.complete(ctx, completion)
	if err != nil {
		p.unrecorded.Offer(completion)
	}
	return err
}

// storable reports whether a response is small enough to be stored for repeats.
func storable(response *codec.StoredAnswer) bool {
	return identifier.Bytes(len(response.Body)) <= MaxStoredResponse && identifier.Bytes(len(response.ContentType)) <= MaxKey
}

func (p *Permitter) complete(ctx context.Context, completion codec.PermitCompletion) error {
	s := &ownerSearch{shard: p.shardOf(completion.Entry, completion.Key)}
	reason := string(refuser.PermitOwnerUnreachable)
	for ctx.Err() == nil && !s.exhausted() {
		completion.Unreachable = s.unreachable
		reply, ok := p.call(ctx, s, MethodComplete, completion)
		switch {
		case !ok:
		case reply.Decision == codec.PermitDecisionAnswered:
			return nil
		default:
			reason = reply.Reason
			s.denied(reply)
			sleep(ctx, denialPause)
		}
	}
	return annotator.Wrap("complete permit", annotator.Peer(shardPrefix(s.shard)), fmt.Errorf("completion not recorded: %s", reason))
}

func sleep(ctx context.Context, duration time.Duration) {
	timeout := time.NewTimer(duration)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
}
