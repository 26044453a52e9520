package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

func (d *Driver) requestReview() {
	select {
	case d.reviews <- struct{}{}:
	default:
	}
}

// reviewer returns the host that looks for jobs whose owner is gone. One host does so for all, because each review lists the
// heads of all jobs; the homes of the jobs then adopt them on its request.
func (d *Driver) reviewer() codec.Member { return d.homeOf(reviewKey) }

// reviewKey is the key by which the reviewer is chosen.
const reviewKey = "batch review"

// requestReviewByDuty requests a review if this host is the reviewer or owns jobs, which another host may have taken over.
func (d *Driver) requestReviewByDuty() {
	if !d.settled() {
		return
	}
	d.mu.Lock()
	owning := len(d.owned) > 0
	d.mu.Unlock()
	if owning || d.reviewer().ID == d.config.Self.ID {
		d.requestReview()
	}
}

func (d *Driver) settled() bool { return d.config.Settled == nil || d.config.Settled() }

// reviewLoop first resumes the jobs of an earlier process of this host and then reviews all jobs on request: it has those
// adopted whose owner is gone and drops jobs that another host has taken over. A review after a pause of this process reads a
// current list, since other hosts may have acted meanwhile, and so do some after a change of the live members. Other reviews read a
// stale list, which costs a tenth of a current one.
func (d *Driver) reviewLoop(ctx context.Context) {
	d.resumeFormerJobs(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reviews:
			afterPause := d.currentListNeeded.Swap(false)
			orphans, err := d.review(ctx, afterPause || d.ownershipInDoubt())
			switch {
			case err != nil:
				d.config.Log.Warn(logger.JobsNotReviewed).Err(err).Send()
				if afterPause {
					d.currentListNeeded.Store(true)
					d.releaseStartsByPeers(ctx)
				}
			case afterPause:
				d.endReviewDue()
			}
			if err != nil || orphans {
				d.sleep(maxStoreBackoff)
				d.requestReview()
			}
		}
	}
}

// resumeFormerJobs adopts the open jobs of an earlier process of this host. It asks the reviewer for them, so that a fleet
// that restarts at once does not list the jobs once for each host.
func (d *Driver) resumeFormerJobs(ctx context.Context) {
	if d.config.FirstStart {
		return
	}
	for ctx.Err() == nil && !d.settled() {
		d.sleep(settlePollInterval)
	}
	for ctx.Err() == nil {
		err := d.adoptFormerJobs(ctx)
		if err == nil {
			return
		}
		d.config.Log.Warn(logger.JobsNotReviewed).Err(err).Send()
		d.sleep(maxStoreBackoff)
	}
}

func (d *Driver) adoptFormerJobs(ctx context.Context) error {
	ids, err := d.formerJobs(ctx)
	if err != nil {
		return err
	}
	for _, id := range ids {
		d.adoptOnRequest(id, nil)
	}
	return nil
}

// formerJobs returns the open jobs that this host owns according to the store.
func (d *Driver) formerJobs(ctx context.Context) ([]identifier.BatchID, error) {
	if reviewer := d.reviewer(); reviewer.ID != d.config.Self.ID {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply codec.OwnedReply
		err := d.config.Peers.Call(callCtx, reviewer, methodOwned, codec.OwnedBatches{Owner: d.config.Self.ID}, &reply)
		cancel()
		if err == nil {
			return reply.Jobs, nil
		}
	}
	heads, err := d.config.Keeper.Heads(ctx, false)
	return openJobsOf(heads, d.config.Self.ID), err
}

func openJobsOf(heads []batchkeeper.Head, owner identifier.HostID) []identifier.BatchID {
	ids := []identifier.BatchID{}
	for _, head := range heads {
		if head.Owner == owner && !head.Ended {
			ids = append(ids, head.ID)
		}
	}
	return ids
}

// serveOwned lists the jobs for another host. Calls that arrive while a list is read share the next one: a list that was
// read before a host restarted need not show all that its earlier process had done.
func (d *Driver) serveOwned(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.OwnedBatches
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode request for owned jobs", "peer", err)
	}
	heads, err := d.lists.get(ctx)
	if err != nil {
		return nil, err
	}
	return codec.OwnedReply{Jobs: openJobsOf(heads, request.Owner)}, nil
}

// review compares the jobs that this host owns with the list of all jobs, stale or current, and then looks for others that it has
// to act on. It reports whether there are jobs whose owner is gone and that no host has adopted yet, other than those that wait for
// memory: these are offered again with each periodic review.
func (d *Driver) review(ctx context.Context, current bool) (orphans bool, err error) {
	heads, err := d.config.Keeper.Heads(ctx, !current)
	if err != nil {
		return false, err
	}
	for _, head := range heads {
		if d.isOwned(head.ID) {
			if err := d.checkOwned(ctx, head); err != nil {
				return false, err
			}
		}
	}
	if current {
		d.releaseStarts()
	}
	reviewing := d.reviewer().ID == d.config.Self.ID
	d.retainWaiting(heads, reviewing)
	for _, head := range heads {
		if ctx.Err() != nil || d.isDraining() {
			return false, nil
		}
		if d.expired(head, reviewing) {
			d.discard(ctx, head)
			continue
		}
		if reviewing && !head.Ended {
			orphans = d.checkOwner(head) || orphans
		}
	}
	return orphans, nil
}

// checkOwner has an open job adopted if nobody runs it, and reports whether its owner is gone and the job does not wait for memory. A
// live owner is asked as well: a write of its earlier process may have made it the owner after its start, or it had no memory for
// the job since.
func (d *Driver) checkOwner(head batchkeeper.Head) (orphan bool) {
	owner, live := d.liveMember(head.Owner)
	switch {
	case live:
		d.work.Go(func() {
			if d.offer(owner, head) == offerFull {
				d.place(head)
			}
		})
		return false
	case time.Since(d.startedAt) < d.config.SettleTime:
		// This host may not know the owner yet.
		return false
	}
	d.place(head)
	return !d.isWaiting(head.ID)
}

func (d *Driver) serveAdopt(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.AdoptBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode request for adoption", "peer", err)
	}
	return codec.AdoptReply{Full: !d.acceptAdoption(ctx, request.Job, request.Size)}, nil
}

// acceptAdoption begins to adopt a job, unless this host owns it or is doing so already, and reports whether it has memory for that.
// A size of zero means that it is not known yet. A host that is stopping may be handing the job over, so it does not decline.
func (d *Driver) acceptAdoption(ctx context.Context, id identifier.BatchID, size identifier.Bytes) bool {
	if size == 0 || d.hasOrAdopts(id) || d.isDraining() {
		d.adoptOnRequest(id, nil)
		return true
	}
	r, err := d.reserveRoom(ctx, id, size)
	if err != nil {
		d.logNoRoom(id, err)
		return false
	}
	d.adoptOnRequest(id, r)
	return true
}

func (d *Driver) hasOrAdopts(id identifier.BatchID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, busy := d.adopting[id]
	_, owned := d.owned[id]
	return busy || owned
}

// adoptOnRequest adopts a job in the background, unless this host owns it or is doing so already. It retries after errors,
// because the store may already name this host as the owner. r is the memory for the job, or nil if none is reserved yet; without
// memory the job is left to the reviewer.
func (d *Driver) adoptOnRequest(id identifier.BatchID, r *room) {
	d.mu.Lock()
	_, busy := d.adopting[id]
	_, owned := d.owned[id]
	skip := busy || owned || d.draining
	if !skip {
		d.adopting[id] = struct{}{}
	}
	d.mu.Unlock()
	if skip {
		d.releaseRoom(r)
		return
	}
	d.work.Go(func() {
		for d.base.Err() == nil && !d.isDraining() {
			err := d.adopt(d.base, id, adoption{requested: true, room: r})
			r = nil
			if errors.Is(err, errNoRoom) {
				d.logNoRoom(id, err)
				break
			}
			if err == nil {
				break
			}
			d.config.Log.Warn(logger.JobsNotReviewed).Str("request", string(id)).Err(err).Send()
			d.sleep(maxStoreBackoff)
		}
		d.releaseRoom(r)
		d.mu.Lock()
		delete(d.adopting, id)
		d.mu.Unlock()
	})
}

// checkOwned compares a job that this host owns with its stored head: another host may have ended the job, or may have
// taken it over while this one was unreachable. An end is final, so a head that holds it need not be current.
func (d *Driver) checkOwned(ctx context.Context, head batchkeeper.Head) error {
	if !d.owns(head) {
		current, err := d.config.Keeper.Head(ctx, head.ID)
		if err != nil {
			return err
		}
		head = current
	}
	if head.Ended || !d.owns(head) {
		d.noteHead(head, endSourceReview)
	}
	return nil
}

func (d *Driver) owns(head batchkeeper.Head) bool {
	return head.Owner == d.config.Self.ID && head.Incarnation == d.config.Incarnation
}

// expired reports whether this host has to discard a job, which is kept at least until its end. Its owner does so, and the reviewer
// some time later if the owner has not.
func (d *Driver) expired(head batchkeeper.Head, reviewing bool) bool {
	if d.config.KeepResults <= 0 || !head.Ended {
		return false
	}
	age := time.Since(head.SubmittedAt)
	return d.isOwned(head.ID) && age > 2*d.config.KeepResults || reviewing && age > 2*d.config.KeepResults+discardMargin
}

// discardMargin is the time after which the reviewer discards a job that its owner has not discarded.
const discardMargin = 10 * time.Second

// settlePollInterval is how often a starting host checks whether it knows the other hosts.
const settlePollInterval = 50 * time.Millisecond

// discard removes an expired job from the store.
func (d *Driver) discard(ctx context.Context, head batchkeeper.Head) {
	_, chunks, err := d.readChain(ctx, head.ID, nil)
	if err == nil {
		var texts int
		if _, texts, err = d.config.Keeper.Texts(ctx, head.ID, nil); err == nil {
			d.drop(head.ID, head)
			err = d.config.Keeper.Remove(ctx, head, chunks, texts)
		}
	}
	d.config.Log.Info(logger.JobDiscarded).Str("request", string(head.ID)).Err(err).Send()
}

// adoption is the reason to adopt a job.
type adoption struct {
	// requested is set if the reviewer has found that the owner is gone; without it, the owner must be an earlier process of
	// this host.
	requested bool
	// progress holds the unfinished texts if the host from hands the job over; otherwise it is nil.
	progress []codec.ItemProgress
	from     identifier.HostID
	// room is the memory for the job; nil means that none is reserved yet.
	room *room
}

// mayAdopt reports whether this host may take a job over. An owner that merely seems to be gone is asked.
func (d *Driver) mayAdopt(ctx context.Context, head batchkeeper.Head, reason adoption) bool {
	switch {
	case head.Ended || d.isOwned(head.ID):
		return false
	case head.Owner == d.config.Self.ID:
		return true
	case reason.progress != nil:
		// A host that has lost the job without knowing cannot hand it over.
		return head.Owner == reason.from
	default:
		return reason.requested && !d.ownerResponds(ctx, head)
	}
}

// adopt makes this host the owner of a job and resumes it. The error is errNoRoom if this host has no memory for the job.
func (d *Driver) adopt(ctx context.Context, id identifier.BatchID, reason adoption) error {
	r := reason.room
	defer func() { d.releaseRoom(r) }()
	head, err := d.config.Keeper.Head(ctx, id)
	if errors.Is(err, connector.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !d.mayAdopt(ctx, head, reason) {
		return nil
	}
	if r == nil {
		if r, err = d.reserveRoom(ctx, id, d.neededRoom(head.BatchHead)); err != nil {
			return err
		}
	}
	end, err := d.beginLoad(ctx, head.Parts)
	if err != nil {
		return err
	}
	defer end()
	d.config.Log.Info(logger.AdoptionBegan).Str("request", string(id)).Str("former", string(head.Owner)).Int("parts", head.Parts).Int("items", head.Total).
		Int64("memory_used", int64(d.config.Memory.Used())).Int64("memory_limit", int64(d.config.Memory.Limit())).Send()
	former := codec.Member{ID: head.Owner, Address: head.Address}
	if !d.owns(head) || head.Creation != "" {
		head.Owner, head.Address, head.Incarnation = d.config.Self.ID, d.config.Self.Address, d.config.Incarnation
		head, err = d.config.Keeper.Replace(ctx, head)
		if err != nil {
			return err
		}
	}
	// The former owner may still answer readers, and this host may need several attempts to read the job.
	announced := head
	d.work.Go(func() { d.announce(announced, former) })
	job, partItems, bodiesLeft, err := d.load(ctx, head)
	if err != nil {
		return err
	}
	// A build without customers leaves the customer out of the heads that it writes.
	head.Customer = job.Customer
	initial := initialState{source: jobSourceAdopted, room: r, partItems: partItems, bodiesLeft: bodiesLeft, progress: reason.progress}
	if reason.progress != nil {
		initial.source = jobSourceHandedOver
	}
	initial.confirmedAt = time.Now()
	count := func(size identifier.Bytes) error { return d.growRoom(ctx, r, size) }
	if initial.results, initial.chunks, err = d.fenceChain(ctx, id, count); err != nil {
		return err
	}
	if initial.saved, initial.textChunks, err = d.config.Keeper.Texts(ctx, id, count); err != nil {
		return err
	}
	// The job may have been ended or taken over during these reads.
	current, err := d.config.Keeper.Head(ctx, id)
	if err != nil {
		return err
	}
	d.cacheHead(current)
	d.config.Log.Info(logger.JobAdopted).Str("request", string(id)).Str("former", string(former.ID)).Int("results", len(initial.results)).Send()
	d.open(head, job, initial)
	return nil
}

// ownerResponds queries the owner of a job and reports whether it confirms that it owns the job. The list of live members
// may be wrong under load, and two owners would serve lists of different length until one of them detects the other.
func (d *Driver) ownerResponds(ctx context.Context, head batchkeeper.Head) bool {
	if head.Owner == d.config.Self.ID || head.Address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply codec.ReadReply
	owner := codec.Member{ID: head.Owner, Address: head.Address}
	err := d.config.Peers.Call(ctx, owner, methodRead, codec.ReadBatch{From: d.config.Self.ID, Job: head.ID}, &reply)
	return err == nil && reply.Owner
}

// fenceChain reads a job's list of results and appends an empty chunk, so that a write of the former owner that is still
// in progress finds its position taken and cannot extend the list unnoticed. count is called with the size of what is read.
func (d *Driver) fenceChain(ctx context.Context, id identifier.BatchID, count func(identifier.Bytes) error) ([]codec.BatchResult, int, error) {
	fence := codec.BatchChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Results: []codec.BatchResult{}}
	for {
		results, chunks, err := d.readChain(ctx, id, count)
		if err != nil {
			return nil, 0, err
		}
		_, err = d.config.Keeper.Append(ctx, id, chunks, fence)
		if _, taken := asPositionTaken(err); taken {
			continue
		}
		return results, chunks + 1, err
	}
}
