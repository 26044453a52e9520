package placer

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

// methodStandIn requests that another host holds the lease in place of this one, which cannot reach the store or the engines.
const methodStandIn = "orders_stand_in"

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
func (d *Driver) candidate(without ...identifier.HostID) (codec.Member, bool) {
	return elector.Choose(leaseKey, d.config.Members.Live(), without...)
}

// holderGone reports whether no engine will execute another order of a holder: it yielded the lease, or its process has
// ended. A host that seems dead may only be frozen and send an order when it resumes, so for other hosts this requires
// engines that refuse its fencing token.
func (d *Driver) holderGone(holder identifier.HostID, fencing identifier.Fencing) bool {
	d.mu.Lock()
	yielded := d.yielded
	d.mu.Unlock()
	if fencing > 0 && yielded == fencing {
		return true
	}
	host, start, _ := strings.Cut(string(holder), holderSeparator)
	if host == string(d.config.Members.Self().ID) {
		// One process runs on a host, so an earlier one has ended.
		return true
	}
	if !d.config.Fenced {
		return false
	}
	member, live := elector.Find(identifier.HostID(host), d.config.Members.Live())
	if live {
		return restartedSince(member, start)
	}
	return time.Since(d.startedAt) >= settleTime
}

// restartedSince reports whether a member's process started after the one with the given start. An incarnation is the start
// time in milliseconds plus one for each refutation. Refutations are far fewer than the milliseconds between two starts, so
// an incarnation that is higher by more than minRestartGap belongs to a new process.
func restartedSince(member codec.Member, start string) bool {
	former, err := strconv.ParseInt(start, 10, 64)
	return err == nil && int64(member.Incarnation) > former+minRestartGap.Milliseconds()
}

// handedOver reports whether this host handed over the lease so recently that it must not acquire it.
func (d *Driver) handedOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.handedOverUntil)
}

// standsIn reports whether this host is the stand-in holder for another one.
func (d *Driver) standsIn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.standInUntil)
}

// countFailures hands over the lease after handOverAfter failed calls: this host cannot reach the store, but another host
// may.
func (d *Driver) countFailures(ctx context.Context, event updater.LeaseEvent) {
	var outcome updater.StoreResult
	switch e := event.(type) {
	case updater.LeaseRead:
		outcome = e.Result
	case updater.LeaseWritten:
		outcome = e.Result
	}
	if outcome != updater.StoreUnavailable && outcome != updater.StoreOutcomeUnknown {
		d.failures = 0
		return
	}
	d.failures++
	if d.failures < handOverAfter {
		return
	}
	d.failures = 0
	if next, ok := d.candidate(d.config.Members.Self().ID); ok {
		d.yield(ctx, next)
	}
}

// handOverTo hands over the lease to a host that reaches the engines, which this one does not.
func (d *Driver) handOverTo(ctx context.Context, host identifier.HostID) {
	if next, ok := elector.Find(host, d.config.Members.Live()); ok && !d.handedOver() {
		d.yield(ctx, next)
	}
}

// yield requests that next holds the lease in place of this host.
func (d *Driver) yield(ctx context.Context, next codec.Member) {
	// This host sends no more orders under the lease; those already sent carry its fencing token.
	fencing := d.lease.Grant().Fencing
	d.mu.Lock()
	d.handedOverUntil = time.Now().Add(handedOverDuration)
	d.standInUntil = time.Time{}
	d.mu.Unlock()
	d.calls.Go(func() { d.handOver(ctx, next, fencing) })
}

// handOver requests that next stands in as the holder; if that fails, this host may try to acquire the lease again.
func (d *Driver) handOver(ctx context.Context, next codec.Member, fencing identifier.Fencing) {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	if !d.config.Fenced {
		// Engines do not refuse old fencing tokens, so the next holder has to wait until the lease has expired.
		fencing = 0
	}
	err := d.config.Peers.Call(ctx, next, methodStandIn, codec.StandIn{From: d.config.Members.Self().ID, Yielded: fencing}, nil)
	d.config.Log.Warn(logger.LeaseHandedOver).Str("lease", leaseKey).Str("to", string(next.ID)).Int64("fencing", int64(fencing)).Err(err).Send()
	if err != nil {
		d.mu.Lock()
		d.handedOverUntil = time.Time{}
		d.mu.Unlock()
	}
}

func (d *Driver) serveStandIn(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.StandIn
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode stand-in", "peer", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.handedOverUntil) {
		// This host cannot reach the store either. It refuses, so that during a store outage for all hosts the caller keeps
		// retrying the store.
		return nil, errHandedOver
	}
	d.standInUntil = time.Now().Add(standInDuration)
	if request.Yielded > 0 {
		d.yielded = request.Yielded
	}
	return struct{}{}, nil
}
