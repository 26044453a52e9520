package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"celerygap.example/service/elector"
)

const (
	// unreachedCalls is the number of calls in a row without a connection after which other hosts are asked. Calls are about a
	// second apart.
	unreachedCalls = 2
	// substituteChoices is the number of hosts one of which is asked. The next one may have no connection either, so the choice is
	// not always the same.
	substituteChoices = 3
)

var errNotReached = errors.New("this host finds no connection to the receiver of the calls either")

// searchReach asks another host whether it finds a connection to the receiver of the calls while this one does not. Without such a
// host the lease stays: a receiver that is down for all hosts must not make them hold the lease in turn.
func (h *Holder) searchReach(ctx context.Context) {
	h.mu.Lock()
	due := h.config.ReachMethod != "" && h.unreached >= unreachedCalls && !h.searching && !h.grant.Until.IsZero()
	h.mu.Unlock()
	if !due {
		return
	}
	ranked := elector.Rank(h.config.Key, h.config.Members.Live(), substituteChoices, append(h.excluded(), h.config.Members.Self().ID)...)
	if len(ranked) == 0 {
		return
	}
	chosen := ranked[rand.N(len(ranked))]
	h.mu.Lock()
	h.searching = true
	h.mu.Unlock()
	h.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err := h.config.Peers.Call(ctx, chosen, h.config.ReachMethod, struct{}{}, nil)
		h.mu.Lock()
		h.searching = false
		if err == nil && h.unreached >= unreachedCalls {
			h.reaching = chosen.ID
		}
		// Without a host, the result of the next call decides whether to ask again.
		h.unreached = min(h.unreached, unreachedCalls-1)
		h.mu.Unlock()
		notify(h.wake)
	})
}

func (h *Holder) serveReach(ctx context.Context, _ json.RawMessage) (any, error) {
	if !h.config.CanReach(ctx) {
		return nil, errNotReached
	}
	return struct{}{}, nil
}
