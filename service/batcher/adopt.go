package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// handOverTimeout bounds the handover of one job, during which the receiver reads the job from the store.
const handOverTimeout = 1500 * time.Millisecond

// maxHandovers bounds the concurrent handovers.
const maxHandovers = 4

func (d *Driver) requestReview() {
	select {
	case d.reviews <- struct{}{}:
	default:
	}
}

// reviewLoop reviews all jobs on request: it adopts jobs whose owner is gone and drops jobs that another host has taken
// over. The first review and the one after a pause of this process read a current list, since an earlier process of this
// host, or this one before its pause, may have owned jobs. Other reviews read a stale list, which costs a tenth of a
// current one.
func (d *Driver) reviewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reviews:
			currentListNeeded := d.currentListNeeded.Swap(false)
			if err := d.review(ctx, !currentListNeeded); err != nil {
				d.config.Log.Warn(logger.JobsNotReviewed).Err(err).Send()
				d.currentListNeeded.Store(currentListNeeded)
				d.sleep(maxStoreBackoff)
				d.requestReview()
			}
		}
	}
}

func (d *Driver) review(ctx context.Context, stale bool) error {
	heads, err := d.config.Keeper.Heads(ctx, stale)
	if err != nil {
		return err
	}
	for _, head := range heads {
		if ctx.Err() != nil || d.isDraining() {
			return nil
		}
		if d.expired(head) {
			d.discard(ctx, head)
			continue
		}
		if !head.Ended && d.shouldAdopt(head) {
			if err := d.adopt(ctx, head.ID, nil); err != nil {
				return err
			}
		}
		if d.isOwned(head.ID) {
			if err := d.checkOwned(ctx, head); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkOwned compares a job that this host owns with its stored head: another host may have ended the job, or may have
// taken it over while this one was unreachable.
func (d *Driver) checkOwned(ctx context.Context, head batchkeeper.Head) error {
	if d.owns(head) {
		if head.Ended {
			d.handle(JobEnded{Job: head.ID})
		}
		return nil
	}
	current, err := d.config.Keeper.Head(ctx, head.ID)
	if err != nil {
		return err
	}
	if !d.owns(current) {
		d.config.Log.Warn(logger.JobLost).Str("request", string(head.ID)).Str("owner", string(current.Owner)).Send()
		d.drop(head.ID, current)
	}
	return nil
}

func (d *Driver) owns(head batchkeeper.Head) bool {
	return head.Owner == d.config.Self.ID && head.Incarnation == d.config.Incarnation
}

func (d *Driver) expired(head batchkeeper.Head) bool {
	return d.config.KeepResults > 0 && time.Since(head.SubmittedAt) > 2*d.config.KeepResults
}

// discard removes an expired job from the store. The owner does so, or the home of the job's ID if the owner is gone.
func (d *Driver) discard(ctx context.Context, head batchkeeper.Head) {
	_, live := d.liveMember(head.Owner)
	if head.Owner != d.config.Self.ID && (live || d.homeOf(string(head.ID)).ID != d.config.Self.ID) {
		return
	}
	_, chunks, err := d.readChain(ctx, head.ID)
	if err == nil {
		var texts int
		if _, texts, err = d.config.Keeper.Texts(ctx, head.ID); err == nil {
			d.drop(head.ID, head)
			err = d.config.Keeper.Remove(ctx, head, chunks, texts)
		}
	}
	d.config.Log.Info(logger.JobDiscarded).Str("request", string(head.ID)).Err(err).Send()
}

// shouldAdopt reports whether this host has to take over a job: one that it owned before a restart, or one whose owner is
// not live and whose home is this host.
func (d *Driver) shouldAdopt(head batchkeeper.Head) bool {
	if d.isOwned(head.ID) {
		return false
	}
	if head.Owner == d.config.Self.ID {
		return true
	}
	if _, live := d.liveMember(head.Owner); live || time.Since(d.startedAt) < d.config.SettleTime {
		return false
	}
	return d.home(codec.BatchJob{ID: head.ID, Model: head.Model}).ID == d.config.Self.ID
}

// adopt makes this host the owner of a job and resumes it. A nil progress means that the owner appears to be gone or was an
// earlier process of this host, which is checked again; otherwise the owner hands the job over with this progress.
func (d *Driver) adopt(ctx context.Context, id identifier.BatchID, progress []codec.ItemProgress) error {
	head, err := d.config.Keeper.Head(ctx, id)
	if errors.Is(err, connector.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if head.Ended || progress == nil && (!d.shouldAdopt(head) || d.ownerResponds(ctx, head)) {
		return nil
	}
	former := head.Owner
	head.Owner, head.Address, head.Incarnation = d.config.Self.ID, d.config.Self.Address, d.config.Incarnation
	head, err = d.config.Keeper.Replace(ctx, head)
	if err != nil {
		return err
	}
	job, err := d.config.Keeper.Load(ctx, head)
	if err != nil {
		return err
	}
	initial := initialState{progress: progress}
	if initial.results, initial.chunks, err = d.fenceChain(ctx, id); err != nil {
		return err
	}
	if initial.saved, initial.textChunks, err = d.config.Keeper.Texts(ctx, id); err != nil {
		return err
	}
	d.config.Log.Info(logger.JobAdopted).Str("request", string(id)).Str("former", string(former)).Int("results", len(initial.results)).Send()
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
// in progress finds its position taken and cannot extend the list unnoticed.
func (d *Driver) fenceChain(ctx context.Context, id identifier.BatchID) ([]codec.BatchResult, int, error) {
	fence := codec.BatchChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Results: []codec.BatchResult{}}
	for {
		results, chunks, err := d.readChain(ctx, id)
		if err != nil {
			return nil, 0, err
		}
		err = d.config.Keeper.Append(ctx, id, chunks, fence)
		if _, taken := asPositionTaken(err); taken {
			continue
		}
		return results, chunks + 1, err
	}
}

// HandOver hands the open jobs of this host over to other hosts before a planned stop. Jobs that no host accepts remain in
// the store, to be adopted later. It returns the error of ctx, if any.
func (d *Driver) HandOver(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	var open []*ownedJob
	for _, h := range d.owned {
		if !h.head.Ended {
			open = append(open, h)
		}
	}
	d.mu.Unlock()
	handovers := grouper.NewGroup(maxHandovers)
	for _, h := range open {
		handovers.Go(func() { d.handOver(ctx, h) })
	}
	handovers.Wait()
	return ctx.Err()
}

func (d *Driver) handOver(ctx context.Context, h *ownedJob) {
	id := h.head.ID
	target := d.home(h.job, d.config.Self.ID)
	if target.ID == d.config.Self.ID {
		return
	}
	d.mu.Lock()
	progress := d.machine.Progress(id)
	d.mu.Unlock()
	if progress == nil {
		progress = []codec.ItemProgress{}
	}
	// The runs stop here before they resume at the target. A write of results that is still in progress does no harm:
	// whichever host is second at a position reads the list again.
	d.drop(id, batchkeeper.Head{ID: id, BatchHead: codec.BatchHead{Owner: target.ID, Total: h.head.Total, Parts: h.head.Parts}})
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply codec.SubmitReply
	err := d.config.Peers.Call(ctx, target, methodTake, codec.TakeBatch{From: d.config.Self.ID, Job: id, Progress: progress}, &reply)
	d.config.Log.Info(logger.JobHandedOver).Str("request", string(id)).Str("to", string(target.ID)).Bool("accepted", reply.Accepted).Err(err).Send()
	d.discardHead(id)
}

func (d *Driver) serveTake(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.TakeBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch handover", "peer", err)
	}
	if d.isDraining() {
		return codec.SubmitReply{}, nil
	}
	progress := request.Progress
	if progress == nil {
		progress = []codec.ItemProgress{}
	}
	if err := d.adopt(ctx, request.Job, progress); err != nil {
		return nil, err
	}
	return codec.SubmitReply{Accepted: d.isOwned(request.Job)}, nil
}
