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
)

// handOverTimeout bounds the handover of one job, during which the receiver reads the job from the store.
const handOverTimeout = 1500 * time.Millisecond

// maxHandovers bounds the concurrent handovers, maxHandoverTargets the hosts that are asked to take one job.
const (
	maxHandovers       = 4
	maxHandoverTargets = 4
)

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
	progress := []codec.ItemProgress{}
	for i, target := range d.candidates(h.job, maxHandoverTargets, d.config.Self.ID) {
		if i == 0 {
			d.mu.Lock()
			progress = append(progress, d.machine.Progress(id)...)
			d.mu.Unlock()
			// The runs stop here before they resume at the target. A write of results that is still in progress does no harm:
			// whichever host is second at a position reads the list again.
			d.drop(id, batchkeeper.Head{ID: id, BatchHead: codec.BatchHead{Owner: target.ID, Total: h.head.Total, Parts: h.head.Parts, Customer: h.job.Customer}})
		}
		if d.handOverTo(ctx, target, id, progress) {
			return
		}
	}
}

// handOverTo hands a job that this host has dropped over to one host, and reports whether that owns it now.
func (d *Driver) handOverTo(ctx context.Context, target codec.Member, id identifier.BatchID, progress []codec.ItemProgress) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply codec.SubmitReply
	err := d.config.Peers.Call(ctx, target, methodTake, codec.TakeBatch{From: d.config.Self.ID, Job: id, Progress: progress}, &reply)
	d.config.Log.Info(logger.JobHandedOver).Str("request", string(id)).Str("to", string(target.ID)).Bool("accepted", reply.Accepted).Err(err).Send()
	d.mu.Lock()
	delete(d.headCache, id)
	d.mu.Unlock()
	return err == nil && reply.Accepted
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
	err := d.adopt(ctx, request.Job, adoption{progress: progress, from: request.From})
	if errors.Is(err, errNoRoom) {
		d.logNoRoom(request.Job, err)
		return codec.SubmitReply{}, nil
	}
	if err != nil {
		// The store may already name this host as the owner.
		d.adoptOnRequest(request.Job, nil)
		return nil, err
	}
	return codec.SubmitReply{Accepted: d.isOwned(request.Job)}, nil
}
