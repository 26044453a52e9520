package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/elector"
	"celerygap.example/service/updater"
)

const (
	// holderSeparator separates the parts of a holder's name: the host id and the process's first incarnation, which
	// distinguishes successive processes of a host.
	holderSeparator = "#"
	// handOverAfter is the number of failed calls in a row after which the lease is handed over; they take about a second.
	handOverAfter = 2
	// standInDuration is how long a stand-in holder tries to acquire the lease; once it holds the lease, it keeps it.
	standInDuration = 6 * time.Second
	// handedOverDuration is how long a host that handed over the lease does not try to acquire it.
	handedOverDuration = 3 * time.Second
	// settleTime is how long after its start a host considers no other host dead, because it does not know the live
	// members yet.
	settleTime     = 4 * time.Second
	standInTimeout = 500 * time.Millisecond
	// minRestartGap is shorter than the time that the platform takes to start a process again.
	minRestartGap = 200 * time.Millisecond
)

var errHandedOver = errors.New("this host cannot stand in: it has handed over the lease itself because it cannot reach the store")

// candidate returns the live host that should hold the lease, except for the hosts in without.
func (h *Holder) candidate(without ...identifier.HostID) (codec.Member, bool) {
	return elector.Choose(h.config.Key, h.config.Members.Live(), append(h.excluded(), without...)...)
}

// holderGone reports whether no further call of a holder will take effect: it yielded the lease, or its process has
// ended. A host that seems dead may only be frozen and make a call when it resumes, so for other hosts this requires
// receivers that refuse its fencing token. It is called with the mutex held.
func (h *Holder) holderGone(holder identifier.HostID, fencing identifier.Fencing) bool {
	if fencing > 0 && h.yielded == fencing {
		return true
	}
	host, start, _ := strings.Cut(string(holder), holderSeparator)
	if host == string(h.config.Members.Self().ID) {
		// One process runs on a host, so an earlier one has ended.
		return true
	}
	if !h.config.Fenced {
		return false
	}
	member, live := elector.Find(identifier.HostID(host), h.config.Members.Live())
	if live {
		return restartedSince(member, start)
	}
	return time.Since(h.startedAt) >= settleTime
}

// restartedSince reports whether a member's process started after the one with the given start. An incarnation is the start
// time in milliseconds plus one for each refutation. Refutations are far fewer than the milliseconds between two starts, so
// an incarnation that is higher by more than minRestartGap belongs to a new process.
func restartedSince(member codec.Member, start string) bool {
	former, err := strconv.ParseInt(start, 10, 64)
	return err == nil && int64(member.Incarnation) > former+minRestartGap.Milliseconds()
}

// wanted reports whether this host should hold the lease, and whether it drains. A holder keeps the lease until it drains
// or hands over: a needless change of holders would make two hosts make calls shortly after each other.
func (h *Holder) wanted() (wanted, draining bool) {
	h.mu.Lock()
	draining = h.draining
	held := !h.grant.Until.IsZero()
	refused := held && h.grant.Fencing <= h.refused
	h.mu.Unlock()
	if draining {
		return false, true
	}
	if refused || h.handedOver() || h.config.Settled != nil && !h.config.Settled() {
		return false, false
	}
	if held || h.standsIn() {
		return true, false
	}
	first, ok := h.candidate()
	return !ok || first.ID == h.config.Members.Self().ID, false
}

// substitute returns a host that can do the duty while this one cannot.
func (h *Holder) substitute() (identifier.HostID, bool) {
	if h.config.Substitute != nil {
		if host, ok := h.config.Substitute(); ok {
			return host, true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	host := h.reaching
	h.reaching = ""
	return host, host != ""
}

// handedOver reports whether this host handed over the lease so recently that it must not acquire it.
func (h *Holder) handedOver() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.handedOverUntil)
}

// standsIn reports whether this host is the stand-in holder for another one.
func (h *Holder) standsIn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.standInUntil)
}

// countFailures hands over the lease after handOverAfter failed calls: this host cannot reach the store, but another host
// may.
func (h *Holder) countFailures(ctx context.Context, event updater.LeaseEvent) {
	var outcome updater.StoreResult
	switch e := event.(type) {
	case updater.LeaseRead:
		outcome = e.Result
	case updater.LeaseWritten:
		outcome = e.Result
	}
	if outcome != updater.StoreUnavailable && outcome != updater.StoreOutcomeUnknown {
		h.failures = 0
		return
	}
	h.failures++
	if h.failures < handOverAfter {
		return
	}
	h.failures = 0
	if next, ok := h.candidate(h.config.Members.Self().ID); ok {
		h.yield(ctx, next)
	}
}

// handOverTo hands over the lease to a host that can do the duty, which this one cannot.
func (h *Holder) handOverTo(ctx context.Context, host identifier.HostID) {
	if next, ok := elector.Find(host, h.config.Members.Live()); ok && !h.handedOver() {
		h.yield(ctx, next)
	}
}

// yield requests that next holds the lease in place of this host.
func (h *Holder) yield(ctx context.Context, next codec.Member) {
	h.mu.Lock()
	// This host makes no more calls under the lease; those already made carry its fencing token.
	fencing := h.lease.Grant().Fencing
	h.handedOverUntil = time.Now().Add(handedOverDuration)
	h.standInUntil = time.Time{}
	h.mu.Unlock()
	h.calls.Go(func() { h.handOver(ctx, next, fencing) })
}

// handOver requests that next stands in as the holder; if that fails, this host may try to acquire the lease again.
func (h *Holder) handOver(ctx context.Context, next codec.Member, fencing identifier.Fencing) {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	if !h.config.Fenced {
		// Receivers do not refuse old fencing tokens, so the next holder has to wait until the lease has expired.
		fencing = 0
	}
	err := h.config.Peers.Call(ctx, next, h.config.Method, codec.StandIn{From: h.config.Members.Self().ID, Yielded: fencing}, nil)
	h.config.Log.Warn(logger.LeaseHandedOver).Str("lease", h.config.Key).Str("to", string(next.ID)).Int64("fencing", int64(fencing)).Err(err).Send()
	if err != nil {
		h.mu.Lock()
		h.handedOverUntil = time.Time{}
		h.mu.Unlock()
	}
}

func (h *Holder) serveStandIn(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.StandIn
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode stand-in", "peer", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.handedOverUntil) {
		// This host cannot reach the store either. It refuses, so that during a store outage for all hosts the caller keeps
		// retrying the store.
		return nil, errHandedOver
	}
	h.standInUntil = time.Now().Add(standInDuration)
	if request.Yielded > 0 {
		h.yielded = request.Yielded
	}
	return struct{}{}, nil
}
