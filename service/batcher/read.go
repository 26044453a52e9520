package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// chain holds what was read of another host's results; chunks never change, so only the next one is asked for.
type chain struct {
	results []codec.BatchResult
	chunks  int
}

// maxChains bounds the remembered chains.
const maxChains = 64

// homeTimeout bounds a read through the job's home: a few reads of the store, which answer within some ms. If the home
// has died unnoticed, the host reads the store itself and the trainer still gets its answer within a second.
const homeTimeout = 500 * time.Millisecond

// Read returns results of a job: from this host if it owns the job, else from the owner, else from the store.
func (d *Driver) Read(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, error) {
	if page, ok := d.readHeld(ctx, id, after, wait); ok {
		return page, nil
	}
	head, held, err := d.ownerOf(ctx, id)
	if err != nil {
		return codec.BatchPage{}, err
	}
	if held {
		page, _ := d.readHeld(ctx, id, after, wait)
		return page, nil
	}
	if page, ok := d.readFromOwner(ctx, head, after, wait); ok {
		return page, nil
	}
	if page, ok := d.readThroughHome(ctx, head, after); ok {
		return page, nil
	}
	return d.readStored(ctx, head, after)
}

// readThroughHome reads the stored results through the job's home, which keeps them: after all hosts have restarted, each
// of them would read every chunk of each job that trainers ask for.
func (d *Driver) readThroughHome(ctx context.Context, head batchkeeper.Head, after int) (codec.BatchPage, bool) {
	home := d.homeOf(string(head.ID))
	if home.ID == d.config.Self.ID {
		return codec.BatchPage{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	var reply codec.ReadReply
	request := codec.ReadBatch{From: d.config.Self.ID, Job: head.ID, After: after, Stored: true}
	if err := d.config.Peers.Call(ctx, home, methodRead, request, &reply); err != nil || reply.Page == nil {
		return codec.BatchPage{}, false
	}
	return *reply.Page, true
}

// readStored reads a page from the store, or from what was read before if that reaches beyond the position.
func (d *Driver) readStored(ctx context.Context, head batchkeeper.Head, after int) (codec.BatchPage, error) {
	d.mu.Lock()
	known, ok := d.chains[head.ID]
	d.mu.Unlock()
	if ok && (after < len(known.results) || len(known.results) >= head.Total) {
		return pageOf(known.results, head.Total, after, pageBytes), nil
	}
	results, _, err := d.readChain(ctx, head.ID)
	if err != nil {
		return codec.BatchPage{}, err
	}
	return pageOf(results, head.Total, after, pageBytes), nil
}

// readHeld waits until there is a result at the position, the job ends or the wait is over.
func (d *Driver) readHeld(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		d.mu.Lock()
		h, ok := d.held[id]
		if !ok {
			d.mu.Unlock()
			return codec.BatchPage{}, false
		}
		page, ended, _ := d.machine.Page(id, after, pageBytes)
		changed := h.changed
		d.mu.Unlock()
		if len(page.Results) > 0 || ended || wait <= 0 || page.Total == after {
			return page, true
		}
		select {
		case <-changed:
		case <-limit.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

func (d *Driver) readFromOwner(ctx context.Context, head batchkeeper.Head, after int, wait time.Duration) (codec.BatchPage, bool) {
	member, ok := d.liveMember(head.Owner)
	if !ok || member.ID == d.config.Self.ID {
		return codec.BatchPage{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	var reply codec.ReadReply
	request := codec.ReadBatch{From: d.config.Self.ID, Job: head.ID, After: after, Wait: identifier.Duration(wait)}
	if err := d.config.Peers.Call(ctx, member, methodRead, request, &reply); err != nil || !reply.Owner || reply.Page == nil {
		d.forgetOwner(head.ID)
		return codec.BatchPage{}, false
	}
	return *reply.Page, true
}

func (d *Driver) forgetOwner(id identifier.BatchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owners, id)
}

// ownerOf returns the head of a job, or held if this host owns it; connector.ErrNotFound is certain.
func (d *Driver) ownerOf(ctx context.Context, id identifier.BatchID) (head batchkeeper.Head, held bool, err error) {
	d.mu.Lock()
	h, held := d.held[id]
	head, known := d.owners[id]
	if held {
		head = h.head
	}
	d.mu.Unlock()
	if held || known {
		return head, held, nil
	}
	head, err = d.config.Keeper.Head(ctx, id)
	if err != nil {
		return batchkeeper.Head{}, false, err
	}
	d.remember(head)
	return head, false, nil
}

// readChain reads the chunks that are not known yet.
func (d *Driver) readChain(ctx context.Context, id identifier.BatchID) ([]codec.BatchResult, int, error) {
	d.mu.Lock()
	var known chain
	if c, ok := d.chains[id]; ok {
		known = *c
	}
	d.mu.Unlock()
	for {
		chunk, err := d.config.Keeper.Chunk(ctx, id, known.chunks)
		if errors.Is(err, connector.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, 0, err
		}
		known.results = append(known.results[:len(known.results):len(known.results)], chunk.Results...)
		known.chunks++
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.chains) >= maxChains {
		clear(d.chains)
	}
	if _, held := d.held[id]; !held {
		d.chains[id] = &known
	}
	return known.results, known.chunks, nil
}

func (d *Driver) serveRead(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.ReadBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch read", "peer", err)
	}
	page, ok := d.readHeld(ctx, request.Job, request.After, request.Wait.Std())
	if !ok && !request.Stored {
		return codec.ReadReply{}, nil
	}
	if !ok {
		head, _, err := d.ownerOf(ctx, request.Job)
		if err != nil {
			return nil, err
		}
		if page, err = d.readStored(ctx, head, request.After); err != nil {
			return nil, err
		}
	}
	return codec.ReadReply{Owner: true, Page: &page}, nil
}

// Body returns the body of an item: from this host or the owner, or from the stored job.
func (d *Driver) Body(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	head, held, err := d.ownerOf(ctx, id)
	if err != nil {
		return nil, err
	}
	if held {
		return d.heldBody(id, item)
	}
	if member, ok := d.liveMember(head.Owner); ok && member.ID != d.config.Self.ID {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var reply codec.BodyReply
		err := d.config.Peers.Call(callCtx, member, methodBody, codec.ReadBody{From: d.config.Self.ID, Job: id, Item: item}, &reply)
		if err == nil && reply.Owner {
			if !reply.Found {
				return nil, connector.ErrNotFound
			}
			return reply.Body, nil
		}
		d.forgetOwner(id)
	}
	return d.storedBody(ctx, id, item)
}

func (d *Driver) heldBody(id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	body, found, _ := d.machine.Body(id, item)
	if !found {
		return nil, connector.ErrNotFound
	}
	return body, nil
}

func (d *Driver) storedBody(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	head, err := d.config.Keeper.Head(ctx, id)
	if err != nil {
		return nil, err
	}
	if head.Ended {
		return nil, connector.ErrNotFound
	}
	job, err := d.config.Keeper.Load(ctx, head)
	if err != nil {
		return nil, err
	}
	for _, candidate := range job.Items {
		if candidate.ID == item {
			return candidate.Body, nil
		}
	}
	return nil, connector.ErrNotFound
}

func (d *Driver) serveBody(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.ReadBody
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode body read", "peer", err)
	}
	if !d.isHeld(request.Job) {
		return codec.BodyReply{}, nil
	}
	body, err := d.heldBody(request.Job, request.Item)
	return codec.BodyReply{Owner: true, Found: err == nil, Body: body}, nil
}
