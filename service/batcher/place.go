package batcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/elector"
)

const (
	// maxOffers bounds the hosts that are asked to take one job in one attempt, and maxCandidates those that may be.
	maxOffers     = 6
	maxCandidates = 24
	// refusalTime is how long a host that had no memory for a job is not asked to take one of the same size or a larger one.
	refusalTime = time.Second
)

// offerOutcome is how a host responded to the request to take a job.
type offerOutcome string

const (
	offerAccepted offerOutcome = "accepted"
	offerFull     offerOutcome = "full"
	offerFailed   offerOutcome = "failed"
)

// placements is what the reviewer knows of jobs that no host runs. It is guarded by Driver.mu.
type placements struct {
	// pending holds the jobs to offer next.
	pending map[identifier.BatchID]batchkeeper.Head
	running bool
	// waiting holds the jobs for which no host that was asked had memory.
	waiting map[identifier.BatchID]struct{}
}

// refusal is the size of a job for which a host had no memory, and when it said so.
type refusal struct {
	size identifier.Bytes
	at   time.Time
}

// place offers a job to hosts until one takes it. Jobs are offered one after the other, the oldest first.
func (d *Driver) place(head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unowned.pending[head.ID] = head
	if !d.unowned.running {
		d.unowned.running = true
		d.work.Go(d.placePending)
	}
}

func (d *Driver) placePending() {
	full := make(map[identifier.HostID]refusal)
	for {
		head, ok := d.nextPending()
		if !ok {
			return
		}
		d.noteWaiting(head, d.offerToAny(head, full))
	}
}

// nextPending removes the oldest of the jobs to offer and returns it.
func (d *Driver) nextPending() (batchkeeper.Head, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var oldest *batchkeeper.Head
	for _, head := range d.unowned.pending {
		if oldest == nil || cmp.Or(head.SubmittedAt.Compare(oldest.SubmittedAt), cmp.Compare(head.ID, oldest.ID)) < 0 {
			oldest = &head
		}
	}
	if oldest == nil || d.draining || d.base.Err() != nil {
		d.unowned.running = false
		clear(d.unowned.pending)
		return batchkeeper.Head{}, false
	}
	delete(d.unowned.pending, oldest.ID)
	return *oldest, true
}

// offerToAny offers a job to its home and then to others until one takes it. The outcome is offerFull if all that were asked lack memory.
func (d *Driver) offerToAny(head batchkeeper.Head, full map[identifier.HostID]refusal) offerOutcome {
	size := d.neededRoom(head.BatchHead)
	outcome, offers := offerFull, 0
	for _, member := range d.candidates(codec.BatchJob{ID: head.ID, Model: head.Model}, maxCandidates) {
		known, refused := full[member.ID]
		if refused && size >= known.size && time.Since(known.at) < refusalTime {
			continue
		}
		if offers++; offers > maxOffers {
			break
		}
		response := d.offer(member, head)
		d.config.Log.Info(logger.AdoptionRequested).Str("request", string(head.ID)).Str("owner", string(head.Owner)).Str("home", string(member.ID)).
			Str("outcome", string(response)).Send()
		switch response {
		case offerAccepted:
			return offerAccepted
		case offerFull:
			full[member.ID] = refusal{size, time.Now()}
		case offerFailed:
			// A host that is gone without being known to be is not asked for the next jobs either.
			full[member.ID] = refusal{0, time.Now()}
			outcome = offerFailed
		}
	}
	return outcome
}

// candidates returns the hosts that may own a job: the home first, then others in an order that differs between jobs.
func (d *Driver) candidates(job codec.BatchJob, count int, without ...identifier.HostID) []codec.Member {
	home := d.home(job, without...)
	if slices.Contains(without, home.ID) {
		return nil
	}
	others := elector.Rank(string(job.ID), d.config.Members.Live(), count-1, append(without, home.ID)...)
	return append([]codec.Member{home}, others...)
}

// offer asks a host to take a job over, which may be this one.
func (d *Driver) offer(member codec.Member, head batchkeeper.Head) offerOutcome {
	size := d.neededRoom(head.BatchHead)
	if member.ID == d.config.Self.ID {
		if !d.acceptAdoption(d.base, head.ID, size) {
			return offerFull
		}
		return offerAccepted
	}
	ctx, cancel := context.WithTimeout(d.base, peerTimeout)
	defer cancel()
	var reply codec.AdoptReply
	err := d.config.Peers.Call(ctx, member, methodAdopt, codec.AdoptBatch{From: d.config.Self.ID, Job: head.ID, Size: size}, &reply)
	switch {
	case err != nil:
		return offerFailed
	case reply.Full:
		return offerFull
	default:
		return offerAccepted
	}
}

// noteWaiting records the outcome of an attempt to place a job and logs changes.
func (d *Driver) noteWaiting(head batchkeeper.Head, outcome offerOutcome) {
	d.mu.Lock()
	_, waited := d.unowned.waiting[head.ID]
	if outcome == offerFull {
		d.unowned.waiting[head.ID] = struct{}{}
	} else {
		delete(d.unowned.waiting, head.ID)
	}
	count := len(d.unowned.waiting)
	d.mu.Unlock()
	d.config.Meter.JobsWaiting(count)
	if waited == (outcome == offerFull) {
		return
	}
	d.config.Log.Info(logger.JobWaits).Str("request", string(head.ID)).Str("owner", string(head.Owner)).Bool("waits", !waited).
		Int64("size", int64(d.neededRoom(head.BatchHead))).Time("submitted_at", head.SubmittedAt).Send()
}

// retainWaiting forgets the waiting jobs that are not open any more, and all of them if this host is not the reviewer.
func (d *Driver) retainWaiting(heads []batchkeeper.Head, reviewing bool) {
	open := make(map[identifier.BatchID]struct{}, len(heads))
	for _, head := range heads {
		if reviewing && !head.Ended {
			open[head.ID] = struct{}{}
		}
	}
	d.mu.Lock()
	for id := range d.unowned.waiting {
		if _, ok := open[id]; !ok {
			delete(d.unowned.waiting, id)
		}
	}
	count := len(d.unowned.waiting)
	d.mu.Unlock()
	d.config.Meter.JobsWaiting(count)
}

func (d *Driver) isWaiting(id identifier.BatchID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.unowned.waiting[id]
	return ok
}

// home returns the live host that should own a job: the same one for all jobs of a model, so that these share one view of
// their engines. A job without a model has the home of its ID.
func (d *Driver) home(job codec.BatchJob, without ...identifier.HostID) codec.Member {
	key := string(job.Model)
	if key == "" {
		key = string(job.ID)
	}
	return d.homeOf(key, without...)
}

func (d *Driver) homeOf(key string, without ...identifier.HostID) codec.Member {
	home, ok := elector.Choose(key, d.config.Members.Live(), without...)
	if !ok {
		return d.config.Members.Self()
	}
	return home
}

func (d *Driver) liveMember(id identifier.HostID) (codec.Member, bool) {
	return elector.Find(id, d.config.Members.Live())
}
