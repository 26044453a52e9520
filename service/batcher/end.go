package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

const (
	// maxEndWrites bounds the attempts to write the end of a job: a conflict with an adoption and a lost response may precede
	// the successful one.
	maxEndWrites = 4
	// endForwardTime bounds the repeated calls that tell the owner of an end. They are needed only by an owner that is paused or
	// cut off from this host; afterwards it finds the end in its own review.
	endForwardTime = 15 * time.Second
)

// endSource is how the owner of a job learned of its end, as it appears in logs.
type endSource string

const (
	endSourceOwnerCall endSource = "owner_call"
	endSourceReview    endSource = "review"
	endSourceDirectory endSource = "directory"
	endSourceAdoption  endSource = "adoption"
)

// End marks a job as ended in the store and stops its runs at the host that the store names as the owner. It returns nil if the
// job has ended before. An error that is not connector.ErrOutcomeUnknown means that the job was left as it was.
func (d *Driver) End(ctx context.Context, id identifier.BatchID) error {
	head, owned, err := d.ownerOf(ctx, id)
	if errors.Is(err, connector.ErrNotFound) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", connector.ErrUnavailable, hideOutcomeUnknown(err))
	}
	if owned {
		return d.endOwned(ctx, id)
	}
	asked := false
	if member, ok := d.liveMember(head.Owner); ok && member.ID != d.config.Self.ID {
		reply, err := d.callEnd(ctx, member, codec.EndBatch{From: d.config.Self.ID, Job: id})
		if err == nil && reply.Owner {
			return nil
		}
		// Without a reply the owner may have stopped the runs.
		asked = err != nil
	}
	err = d.markEnded(ctx, id)
	if err != nil && asked {
		err = errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return err
}

func (d *Driver) callEnd(ctx context.Context, member codec.Member, request codec.EndBatch) (codec.EndReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply codec.EndReply
	err := d.config.Peers.Call(ctx, member, methodEnd, request, &reply)
	return reply, err
}

// hideOutcomeUnknown returns an error with the same text that no longer wraps connector.ErrOutcomeUnknown: a read without a
// response has changed nothing.
func hideOutcomeUnknown(err error) error { return errors.New(err.Error()) }

// endOwned stops the runs immediately and then writes the end to the store; it returns nil only after the store holds it.
func (d *Driver) endOwned(ctx context.Context, id identifier.BatchID) error {
	d.handle(JobEnded{Job: id})
	if err := d.markEnded(ctx, id); err != nil {
		return errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return nil
}

// markEnded writes the end of a job to the store and forwards it to the owner that the written head names. Nobody becomes the
// owner of a job after that, because a write that changes the owner needs the version of a head without the end.
func (d *Driver) markEnded(ctx context.Context, id identifier.BatchID) error {
	// The first attempt uses the known head; after an error the current head is read from the store.
	head, err := d.knownHead(ctx, id)
	outcomeUnknown := false
	for range maxEndWrites {
		if err != nil {
			break
		}
		if head.Ended {
			d.forwardEnd(ctx, head)
			return nil
		}
		head.Ended = true
		var written batchkeeper.Head
		written, err = d.config.Keeper.Replace(context.WithoutCancel(ctx), head)
		if err == nil {
			d.config.Log.Info(logger.JobEnded).Str("request", string(id)).Send()
			d.updateHead(written)
			d.forwardEnd(ctx, written)
			return nil
		}
		d.config.Log.Warn(logger.JobEnded).Str("request", string(id)).Err(err).Send()
		outcomeUnknown = outcomeUnknown || errors.Is(err, connector.ErrOutcomeUnknown)
		head, err = d.config.Keeper.Head(ctx, id)
	}
	if err == nil {
		err = connector.ErrUnavailable
	}
	if err = hideOutcomeUnknown(err); outcomeUnknown {
		return errors.Join(connector.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", connector.ErrUnavailable, err)
}

// forwardEnd tells the directory hosts of an ended job, and the owner that its head names unless it is this process. It waits for
// the first call to the owner; if the owner does not confirm, the call is repeated in the background.
func (d *Driver) forwardEnd(ctx context.Context, head batchkeeper.Head) {
	if head.Owner == d.config.Self.ID {
		if !d.isOwned(head.ID) {
			// The directory may know only the former owner of a job that this host has not opened.
			d.work.Go(func() { d.announce(head) })
		}
		return
	}
	if head.Address == "" || !d.startForwarding(head.ID) {
		return
	}
	confirmed := d.forwardEndOnce(ctx, head)
	d.work.Go(func() {
		defer d.endForwarding(head.ID)
		d.announce(head)
		wait := minStoreBackoff
		for end := time.Now().Add(endForwardTime); !confirmed && d.base.Err() == nil && time.Now().Before(end); wait = min(2*wait, time.Second) {
			d.sleep(wait)
			confirmed = d.forwardEndOnce(d.base, head)
		}
	})
}

// startForwarding reports whether the end of a job has to be forwarded by the caller, because nobody else does so at this host.
func (d *Driver) startForwarding(id identifier.BatchID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, busy := d.forwarding[id]
	d.forwarding[id] = struct{}{}
	return !busy
}

func (d *Driver) endForwarding(id identifier.BatchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.forwarding, id)
}

func (d *Driver) forwardEndOnce(ctx context.Context, head batchkeeper.Head) (confirmed bool) {
	owner := codec.Member{ID: head.Owner, Address: head.Address}
	if member, ok := d.liveMember(head.Owner); ok {
		owner = member
	}
	reply, err := d.callEnd(ctx, owner, codec.EndBatch{From: d.config.Self.ID, Job: head.ID, Version: head.Version, Head: &head.BatchHead})
	confirmed = err == nil && (reply.Owner || reply.Noted)
	d.config.Log.Info(logger.JobEndForwarded).Str("request", string(head.ID)).Str("owner", string(head.Owner)).Bool("confirmed", confirmed).Err(err).Send()
	return confirmed
}

func (d *Driver) knownHead(ctx context.Context, id identifier.BatchID) (batchkeeper.Head, error) {
	d.mu.Lock()
	h, owned := d.owned[id]
	head, known := d.headCache[id]
	if owned {
		head, known = h.head, true
	}
	d.mu.Unlock()
	if known {
		return head, nil
	}
	return d.config.Keeper.Head(ctx, id)
}

// updateHead records a newer head; if it ends a job that this host owns, the runs stop. If it names another owner, this
// host drops the job, whose list may have grown at the new owner.
func (d *Driver) updateHead(head batchkeeper.Head) {
	if d.isOwned(head.ID) && !d.owns(head) {
		d.config.Log.Warn(logger.JobLost).Str("request", string(head.ID)).Str("owner", string(head.Owner)).Send()
		d.drop(head.ID, head)
		return
	}
	d.mu.Lock()
	h, owned := d.owned[head.ID]
	if owned {
		h.head = head
		if head.Ended {
			d.apply(time.Now(), JobEnded{Job: head.ID})
		}
	}
	d.mu.Unlock()
	if !owned {
		d.cacheHead(head)
	}
}

// noteHead records a head that another host has sent or that a list of the store holds, unless a newer one is known.
func (d *Driver) noteHead(head batchkeeper.Head, source endSource) {
	d.mu.Lock()
	h, owned := d.owned[head.ID]
	outdated := owned && head.Version <= h.head.Version
	d.mu.Unlock()
	if outdated {
		return
	}
	if owned && head.Ended {
		d.config.Log.Info(logger.JobEndReceived).Str("request", string(head.ID)).Str("source", string(source)).Send()
	}
	d.updateHead(head)
}

// serveEnd ends a job that this host owns. A head that comes with the request is noted also if this host does not hold the job:
// it may be taking the job over.
func (d *Driver) serveEnd(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.EndBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch end", "peer", err)
	}
	owned := d.isOwned(request.Job)
	if request.Head != nil {
		d.noteHead(batchkeeper.Head{BatchHead: *request.Head, ID: request.Job, Version: request.Version}, endSourceOwnerCall)
		return codec.EndReply{Owner: owned, Noted: !owned}, nil
	}
	if !owned {
		return codec.EndReply{}, nil
	}
	if err := d.endOwned(ctx, request.Job); err != nil {
		return nil, err
	}
	return codec.EndReply{Owner: true}, nil
}
