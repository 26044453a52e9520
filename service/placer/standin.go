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

// methodStandIn asks another host to hold the lease in place of one that cannot reach the store.
const methodStandIn = "orders_stand_in"

const (
	// holderMark separates the host in a holder's name from what tells its processes apart.
	holderMark = "#"
	// passAfter is the number of failed calls in a row after which the lease is passed on; they take about a second.
	passAfter = 2
	// standInTime is how long the other host stands in; it keeps the lease after that if it holds it.
	standInTime = 6 * time.Second
	// passedTime is how long the host that passed the lease on leaves it alone.
	passedTime = 3 * time.Second
	// settleTime is how long after its start a host takes nobody for dead, because it does not know the others yet.
	settleTime  = 4 * time.Second
	standInCall = 500 * time.Millisecond
	// restartGap is less than the time that the platform takes to start a process again.
	restartGap = 200 * time.Millisecond
)

var errPassedOn = errors.New("this host has passed the lease on itself")

// candidate returns the live host that should hold the lease, leaving out some.
func (d *Driver) candidate(without ...identifier.HostID) (codec.Member, bool) {
	return elector.Choose(leaseKey, d.config.Members.Live(), without...)
}

// gone tells that a holder gives no more orders that count. A dead host may only be frozen and give an order when it
// wakes up, so this needs engines that refuse its fencing number.
func (d *Driver) gone(holder identifier.HostID, fencing identifier.Fencing) bool {
	d.mu.Lock()
	yielded := d.yielded
	d.mu.Unlock()
	if fencing > 0 && yielded == fencing {
		return true
	}
	host, start, _ := strings.Cut(string(holder), holderMark)
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

// restartedSince reports whether a member's process started after the one with the given start. An incarnation begins
// with the start in milliseconds and grows by one with each refutation, far fewer than the milliseconds between two
// starts.
func restartedSince(member codec.Member, start string) bool {
	former, err := strconv.ParseInt(start, 10, 64)
	return err == nil && int64(member.Incarnation) > former+restartGap.Milliseconds()
}

func (d *Driver) passedOn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.passedUntil)
}

func (d *Driver) standsIn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.standInUntil)
}

// countFailures passes the lease on when this host cannot reach the store but may reach another host.
func (d *Driver) countFailures(ctx context.Context, event updater.LeaseEvent) {
	var outcome updater.StoreResult
	switch e := event.(type) {
	case updater.LeaseRead:
		outcome = e.Result
	case updater.LeaseWritten:
		outcome = e.Result
	}
	if outcome != updater.StoreDown && outcome != updater.StoreOutcomeUnknown {
		d.failures = 0
		return
	}
	d.failures++
	if d.failures < passAfter {
		return
	}
	d.failures = 0
	next, ok := d.candidate(d.config.Members.Self().ID)
	if !ok {
		return
	}
	// No order leaves under the lease from here on; those on their way carry its fencing number.
	fencing := d.lease.Grant().Fencing
	d.mu.Lock()
	d.passedUntil = time.Now().Add(passedTime)
	d.standInUntil = time.Time{}
	d.mu.Unlock()
	d.calls.Go(func() { d.passOn(ctx, next, fencing) })
}

func (d *Driver) passOn(ctx context.Context, next codec.Member, fencing identifier.Fencing) {
	ctx, cancel := context.WithTimeout(ctx, standInCall)
	defer cancel()
	if !d.config.Fenced {
		// The next holder waits until the lease has run out.
		fencing = 0
	}
	err := d.config.Peers.Call(ctx, next, methodStandIn, codec.StandIn{From: d.config.Members.Self().ID, Yielded: fencing}, nil)
	d.config.Log.Warn(logger.LeasePassedOn).Str("lease", leaseKey).Str("to", string(next.ID)).Int64("fencing", int64(fencing)).Err(err).Send()
	if err != nil {
		d.mu.Lock()
		d.passedUntil = time.Time{}
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
	if time.Now().Before(d.passedUntil) {
		// This host cannot reach the store either. In an outage for all, somebody has to go on trying.
		return nil, errPassedOn
	}
	d.standInUntil = time.Now().Add(standInTime)
	if request.Yielded > 0 {
		d.yielded = request.Yielded
	}
	return struct{}{}, nil
}
