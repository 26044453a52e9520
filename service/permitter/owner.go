package permitter

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// outcome is the result of a waiting call: the reply to a request, or the reason why a completion was not recorded.
type outcome struct {
	reply  codec.PermitReply
	reason string
}

// waiters holds the calls that wait for an outcome from Permitter.run.
type waiters struct {
	mu    *sync.Mutex
	calls map[Token]chan outcome
}

func newWaiters() waiters {
	return waiters{mu: &sync.Mutex{}, calls: make(map[Token]chan outcome)}
}

func (w waiters) add(token Token) <-chan outcome {
	call := make(chan outcome, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[token] = call
	return call
}

func (w waiters) remove(token Token) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, token)
}

func (w waiters) deliver(token Token, result outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call, ok := w.calls[token]; ok {
		call <- result
		delete(w.calls, token)
	}
}

func (p *Permitter) shardOf(entry identifier.EntryName, key string) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(entry))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return int(digest.Sum64() % uint64(p.config.Shards))
}

// owner returns the live member that should own a shard, except for the hosts that a requester could not reach.
func (p *Permitter) owner(shard int, unreachable []identifier.HostID) (codec.Member, bool) {
	members := p.config.Members.Live()
	ids := make([]string, 0, len(members))
	for _, member := range members {
		if !slices.Contains(unreachable, member.ID) {
			ids = append(ids, string(member.ID))
		}
	}
	if len(ids) == 0 {
		return codec.Member{}, false
	}
	chosen := rendezvous.New(ids, xxhash.Sum64String).Lookup(shardPrefix(shard))
	for _, member := range members {
		if string(member.ID) == chosen {
			return member, true
		}
	}
	return codec.Member{}, false
}

// denial returns why this host does not act as owner of a shard, or an empty reason.
func (p *Permitter) denial(shard int, unreachable []identifier.HostID) refuser.Reason {
	if p.draining.Load() {
		return refuser.Draining
	}
	owner, ok := p.owner(shard, unreachable)
	if !ok || owner.ID != p.config.Members.Self().ID {
		return movedReason
	}
	return ""
}

func (p *Permitter) servePermit(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.PermitRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	shard := p.shardOf(request.Entry, request.Key)
	if reason := p.denial(shard, request.Unreachable); reason != "" {
		return refused(reason, false), nil
	}
	token := Token(p.tokens.Add(1))
	result, err := p.submit(ctx, token, shardEvent{shard: shard, event: Requested{Token: token, Request: request}})
	if err != nil {
		return nil, err
	}
	return result.reply, nil
}

func (p *Permitter) serveComplete(ctx context.Context, params json.RawMessage) (any, error) {
	var completion codec.PermitCompletion
	if err := json.Unmarshal(params, &completion); err != nil {
		return nil, err
	}
	shard := p.shardOf(completion.Entry, completion.Key)
	if reason := p.denial(shard, completion.Unreachable); reason != "" {
		return refused(reason, false), nil
	}
	token := Token(p.tokens.Add(1))
	result, err := p.submit(ctx, token, shardEvent{shard: shard, event: Completed{Token: token, Completion: completion}})
	if err != nil {
		return nil, err
	}
	return codec.PermitReply{Decision: completionDecision(result.reason), Reason: result.reason}, nil
}

// completionDecision encodes the result of complete_permit; the decision "answered" means that the completion is recorded.
func completionDecision(reason string) codec.PermitDecision {
	if reason == "" {
		return codec.PermitDecisionAnswered
	}
	return codec.PermitDecisionRefused
}

// submit passes an event to Permitter.run and waits for the outcome.
func (p *Permitter) submit(ctx context.Context, token Token, m shardEvent) (outcome, error) {
	call := p.waiters.add(token)
	defer p.waiters.remove(token)
	if !p.requests.Offer(m) {
		return outcome{reply: refused(refuser.QueueFull, false), reason: string(refuser.QueueFull)}, nil
	}
	select {
	case <-ctx.Done():
		return outcome{}, ctx.Err()
	case result := <-call:
		return result, nil
	}
}
