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

// takeTimeout bounds the handover of one job, in which the receiver reads it from the store.
const takeTimeout = 1500 * time.Millisecond

// handoversAtOnce bounds the handovers that run beside each other.
const handoversAtOnce = 4

func (d *Driver) askReview() {
	select {
	case d.reviews <- struct{}{}:
	default:
	}
}

// reviewLoop looks for jobs whose owner is gone and for jobs that this host has lost. The first look, and the one after
// a pause of this process, is exact, since this process may have owned jobs before; others read a stale list, which
// costs a tenth.
func (d *Driver) reviewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reviews:
			exact := d.exact.Swap(false)
			if err := d.review(ctx, !exact); err != nil {
				d.config.Log.Warn(logger.JobsNotReviewed).Err(err).Send()
				d.exact.Store(exact)
				d.sleep(appendPause)
				d.askReview()
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
		if d.isHeld(head.ID) {
			if err := d.checkHeld(ctx, head); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkHeld looks at the head of a job that this host holds: another host may have taken the job over while this one
// was out of reach, or ended it.
func (d *Driver) checkHeld(ctx context.Context, head batchkeeper.Head) error {
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

// discard removes a job whose results nobody may ask for any more; its owner does it, or its home if the owner is gone.
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

// shouldAdopt reports whether this host is the one to take over a job: its own from before a restart, or one whose owner
// is not live and whose home this host is.
func (d *Driver) shouldAdopt(head batchkeeper.Head) bool {
	if d.isHeld(head.ID) {
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

// adopt makes this host the owner of a job and goes on with it.
func (d *Driver) adopt(ctx context.Context, id identifier.BatchID, progress []codec.ItemProgress) error {
	head, err := d.config.Keeper.Head(ctx, id)
	if errors.Is(err, connector.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if head.Ended || progress == nil && (!d.shouldAdopt(head) || d.ownerAnswers(ctx, head)) {
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
	o := opening{progress: progress}
	if o.results, o.chunks, err = d.fenceChain(ctx, id); err != nil {
		return err
	}
	if o.saved, o.textChunks, err = d.config.Keeper.Texts(ctx, id); err != nil {
		return err
	}
	d.config.Log.Info(logger.JobAdopted).Str("request", string(id)).Str("former", string(former)).Int("results", len(o.results)).Send()
	d.open(head, job, o)
	return nil
}

// ownerAnswers asks the owner of a job itself, since the hosts' view of each other may be wrong under load: two owners
// would show lists of different length until one of them learns of the other.
func (d *Driver) ownerAnswers(ctx context.Context, head batchkeeper.Head) bool {
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

// fenceChain reads a job's list and adds an empty chunk to it, so that a write of the former owner that is still on its
// way finds its position taken and cannot lengthen the list unseen.
func (d *Driver) fenceChain(ctx context.Context, id identifier.BatchID) ([]codec.BatchResult, int, error) {
	fence := codec.BatchChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Results: []codec.BatchResult{}}
	for {
		results, chunks, err := d.readChain(ctx, id)
		if err != nil {
			return nil, 0, err
		}
		err = d.config.Keeper.Append(ctx, id, chunks, fence)
		if _, taken := asTaken(err); taken {
			continue
		}
		return results, chunks + 1, err
	}
}

// HandOver passes the open jobs of this host to others, as part of a planned stop.
func (d *Driver) HandOver(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	var open []*holding
	for _, h := range d.held {
		if !h.head.Ended {
			open = append(open, h)
		}
	}
	d.mu.Unlock()
	handovers := grouper.NewGroup(handoversAtOnce)
	for _, h := range open {
		handovers.Go(func() { d.handOver(ctx, h) })
	}
	handovers.Wait()
	return ctx.Err()
}

func (d *Driver) handOver(ctx context.Context, h *holding) {
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
	// The runs end here before they go on there. A write of results that is still on its way does no harm: whichever host
	// comes second at a position reads the list again.
	d.drop(id, batchkeeper.Head{ID: id, BatchHead: codec.BatchHead{Owner: target.ID, Total: h.head.Total, Parts: h.head.Parts}})
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply codec.SubmitReply
	err := d.config.Peers.Call(ctx, target, methodTake, codec.TakeBatch{From: d.config.Self.ID, Job: id, Progress: progress}, &reply)
	d.config.Log.Info(logger.JobHandedOver).Str("request", string(id)).Str("to", string(target.ID)).Bool("accepted", reply.Accepted).Err(err).Send()
	d.forgetOwner(id)
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
	return codec.SubmitReply{Accepted: d.isHeld(request.Job)}, nil
}
