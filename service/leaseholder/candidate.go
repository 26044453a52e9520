package leaseholder

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/elector"
	"celerygap.example/service/peerconnector"
)

const (
	// askTimeout bounds a call that asks a candidate whether it can hold the lease; askInterval is the time
	// between two checks whether there is one to ask, because the choice among many hosts takes about 0.1 ms.
	askTimeout  = 500 * time.Millisecond
	askInterval = 500 * time.Millisecond
)

// candidacy is a process of a host that is or was the first candidate.
type candidacy struct {
	host        identifier.HostID
	incarnation identifier.Incarnation
}

// excluded returns the hosts that cannot hold the lease.
func (h *Holder) excluded() []identifier.HostID {
	if h.config.KnownMethod == "" {
		return nil
	}
	live := h.config.Members.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.known, func(of candidacy, _ bool) bool {
		member, ok := elector.Find(of.host, live)
		return !ok || member.Incarnation != of.incarnation
	})
	var excluded []identifier.HostID
	for of, knows := range h.known {
		if !knows {
			excluded = append(excluded, of.host)
		}
	}
	return excluded
}

// askCandidate asks a new candidate once whether it can hold the lease, so that another one is chosen if it cannot.
func (h *Holder) askCandidate(ctx context.Context) {
	h.mu.Lock()
	due := h.config.KnownMethod != "" && !h.asking && !time.Now().Before(h.askAt)
	if due {
		h.askAt = time.Now().Add(askInterval)
	}
	h.mu.Unlock()
	if !due {
		return
	}
	candidate, ok := h.candidate()
	if !ok || candidate.ID == h.config.Members.Self().ID {
		return
	}
	of := candidacy{candidate.ID, candidate.Incarnation}
	h.mu.Lock()
	_, asked := h.known[of]
	h.asking = !asked
	h.mu.Unlock()
	if asked {
		return
	}
	h.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err := h.config.Peers.Call(ctx, candidate, h.config.KnownMethod, codec.Lease{}, nil)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.asking = false
		if err == nil || peerconnector.LacksMethod(err) {
			h.known[of] = err == nil
		}
	})
}

// announce tells the next candidate of a renewal. If this host is killed, the successor then waits from that time on and not from
// its first read of the lease, which it makes only once it takes this host for dead.
func (h *Holder) announce(ctx context.Context, renewed codec.Lease) {
	if h.config.KnownMethod == "" || h.config.Fenced {
		return
	}
	next, ok := h.candidate(h.config.Members.Self().ID)
	if !ok {
		return
	}
	h.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		// A lost announcement only makes the successor wait longer.
		_ = h.config.Peers.Call(ctx, next, h.config.KnownMethod, renewed, nil)
	})
}

// serveKnown tells another host that this one can hold the lease, and records the renewal that the call announces. The renewal
// counts from before its announcement, so a wait from the time at which it was heard is long enough.
func (h *Holder) serveKnown(_ context.Context, params json.RawMessage) (any, error) {
	var renewed codec.Lease
	if err := json.Unmarshal(params, &renewed); err != nil {
		return nil, annotator.Wrap("decode renewal", "peer", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if renewed.Holder != "" && renewed != h.heard {
		h.heard, h.heardAt = renewed, time.Now()
	}
	return struct{}{}, nil
}
