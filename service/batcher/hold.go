package batcher

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
)

// ownershipDoubt is how long after a change of the live members an owner of jobs reads current lists: a host that was cut off
// learns from them that others have taken its jobs over or ended them.
const ownershipDoubt = 10 * time.Second

// holdAfterPause makes the state machine start nothing if this process was paused since the last tick, because other hosts may
// have ended or taken over its jobs meanwhile. d.mu must be held.
func (d *Driver) holdAfterPause(now time.Time) {
	if d.lastTick.IsZero() || pauseBetween(d.lastTick, now) <= freezeThreshold {
		return
	}
	d.reviewDue = true
	d.currentListNeeded.Store(true)
	d.requestReview()
	if d.startsHeld {
		return
	}
	d.startsHeld = true
	d.logHold(pauseBetween(d.lastTick, now))
	d.execute(d.machine.Handle(now, StartsHeld{}))
}

// endReviewDue records that the jobs have been compared with a current list, unless another pause requires a further review.
func (d *Driver) endReviewDue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reviewDue = d.currentListNeeded.Load()
}

// releaseStarts ends the hold after the jobs of this host have been compared with a current list, unless it was paused again.
func (d *Driver) releaseStarts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.currentListNeeded.Load() {
		d.release()
	}
}

// release ends the hold; d.mu must be held.
func (d *Driver) release() {
	if !d.startsHeld {
		return
	}
	d.startsHeld = false
	d.logHold(0)
	d.execute(d.machine.Handle(time.Now(), StartsReleased{}))
}

// logHold logs the begin or the end of a hold, if there are jobs that it concerns; d.mu must be held.
func (d *Driver) logHold(pause time.Duration) {
	if len(d.owned) > 0 {
		d.config.Log.Info(logger.StartsHeld).Bool("held", d.startsHeld).Int("jobs", len(d.owned)).Dur("pause", pause).Send()
	}
}

// releaseStartsByPeers ends the hold while the store cannot be read, if a directory host of each job knows its head. Without the
// store nobody takes jobs over, and an end that another host accepted before is known to the directory.
func (d *Driver) releaseStartsByPeers(ctx context.Context) {
	for _, head := range d.openHeads() {
		if !d.confirmByPeers(ctx, head) {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
}

// openHeads returns the heads of the open jobs that this host owns.
func (d *Driver) openHeads() []batchkeeper.Head {
	d.mu.Lock()
	defer d.mu.Unlock()
	var heads []batchkeeper.Head
	for _, h := range d.owned {
		if !h.head.Ended {
			heads = append(heads, h.head)
		}
	}
	return heads
}

// confirmByPeers notes the head of a job that a directory host knows and reports whether there is one that is not older than
// this host's.
func (d *Driver) confirmByPeers(ctx context.Context, head batchkeeper.Head) bool {
	for _, member := range d.directory(head.ID) {
		if member.ID == d.config.Self.ID {
			continue
		}
		var reply codec.LocateReply
		request := codec.LocateBatch{From: d.config.Self.ID, Job: head.ID, Above: head.Version - 1}
		callCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		err := d.config.Peers.Call(callCtx, member, methodLocate, request, &reply)
		cancel()
		if err == nil && !reply.Absent {
			d.noteHead(batchkeeper.Head{BatchHead: reply.Head, ID: head.ID, Version: reply.Version}, endSourceDirectory)
			return true
		}
	}
	return false
}

// noteMembersChanged records a change of the live members.
func (d *Driver) noteMembersChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.membersChangedAt = time.Now()
}

// ownershipInDoubt reports whether a review reads a current list because the live members have changed and this host owns jobs; at
// most one review in each interval does.
func (d *Driver) ownershipInDoubt() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.owned) == 0 || now.Sub(d.membersChangedAt) > ownershipDoubt || now.Sub(d.currentListAt) < d.config.ReviewInterval {
		return false
	}
	d.currentListAt = now
	return true
}
