package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// cachedChain holds the results of another host's job that were read from the store, and the number of their chunks. Chunks
// never change, so a further read starts with the next one.
type cachedChain struct {
	results []codec.BatchResult
	chunks  int
}

// maxCachedChains bounds the cached chains.
const maxCachedChains = 64

// homeTimeout bounds a read through the job's home: a few reads of the store, each of which takes a few ms. If the home is
// gone but still listed as live, this host then reads the store itself and still responds to the trainer within a second.
const homeTimeout = 500 * time.Millisecond

const (
	// confirmationShare is the percentage of ResultsSettle for which the list of an owner counts as current after it was compared
	// with the store. The rest is left for sending the page to the caller.
	confirmationShare = 40
	// lookupTimeout bounds the reads of the store for results that this host's list may lack.
	lookupTimeout = 500 * time.Millisecond
	// maxWaitingReads bounds the reads of this host that wait at the owners of jobs. Each takes a place of the connection to the owner,
	// which carries the probes as well; further reads do not wait.
	maxWaitingReads = 32
	// storedReadTimeout bounds a read of stored results through the home and then from the store.
	storedReadTimeout = 900 * time.Millisecond
)

// Read returns results of a job: from this host if it owns the job, else from the owner, else from the store, either
// through the job's home or directly. Only the owner waits for further results.
func (d *Driver) Read(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, error) {
	page, origin, err := d.read(ctx, id, after, wait)
	if err != nil {
		return codec.BatchPage{}, err
	}
	if d.notePage(id, after, page, origin) {
		return page, nil
	}
	// An owner may lack for a moment what another one has listed; the store does not.
	origin.source = pageSourceStore
	if page, err = d.readStored(ctx, batchkeeper.Head{ID: id, BatchHead: codec.BatchHead{Total: page.Total}}, after); err != nil {
		return codec.BatchPage{}, err
	}
	if !asserter.Check(asserter.ListedStaysListed, d.notePage(id, after, page, origin), "job %s: the store has no result at position %d, which was shown", id, after) {
		return codec.BatchPage{}, errPageBehind
	}
	return page, nil
}

// errPageBehind means that neither the owner of a job nor the store confirms a result that this host has shown.
var errPageBehind = errors.New("the list of results lacks some that were read before")

func (d *Driver) read(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, pageOrigin, error) {
	own := pageOrigin{source: pageSourceOwner, owner: d.config.Self.ID}
	if page, ok, err := d.readOwned(ctx, id, after, wait); ok || err != nil {
		return page, own, err
	}
	head, owned, err := d.ownerOf(ctx, id)
	if err != nil {
		return codec.BatchPage{}, pageOrigin{}, err
	}
	if owned {
		page, _, err := d.readOwned(ctx, id, after, wait)
		return page, own, err
	}
	origin := pageOrigin{source: pageSourceRemoteOwner, owner: head.Owner, version: head.Version}
	if page, ok := d.readFromOwner(ctx, head, after, wait); ok {
		return page, origin, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storedReadTimeout)
	defer cancel()
	origin.source = pageSourceHome
	if page, ok := d.readThroughHome(ctx, head, after); ok {
		return page, origin, nil
	}
	origin.source = pageSourceStore
	page, err := d.readStored(ctx, head, after)
	return page, origin, err
}

// readThroughHome reads the stored results through the job's home, which caches them. Otherwise, after a restart of all
// hosts, each of them would read every chunk of each job that trainers query.
func (d *Driver) readThroughHome(ctx context.Context, head batchkeeper.Head, after int) (codec.BatchPage, bool) {
	home := d.homeOf(string(head.ID))
	if home.ID == d.config.Self.ID {
		return codec.BatchPage{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	var reply codec.ReadReply
	request := codec.ReadBatch{From: d.config.Self.ID, Job: head.ID, After: after, Stored: true}
	if err := d.config.Peers.Call(ctx, home, methodRead, request, &reply); err != nil || reply.Page == nil || !isReliable(reply, after) {
		return codec.BatchPage{}, false
	}
	return *reply.Page, true
}

// isReliable reports whether another host's page may be shown: it has results, the position is behind the last item, or the list was
// compared with the store.
func isReliable(reply codec.ReadReply, after int) bool {
	return reply.Confirmed || len(reply.Page.Results) > 0 || after >= reply.Page.Total
}

// readStored reads a page from the cached chain if it has results after the position or is complete, else from the store.
func (d *Driver) readStored(ctx context.Context, head batchkeeper.Head, after int) (codec.BatchPage, error) {
	d.mu.Lock()
	known, ok := d.chains[head.ID]
	d.mu.Unlock()
	if ok && (after < len(known.results) || len(known.results) >= head.Total) {
		return pageOf(known.results, head.Total, after, pageBytes), nil
	}
	results, _, err := d.readChain(ctx, head.ID, nil)
	if err != nil {
		return codec.BatchPage{}, err
	}
	return pageOf(results, head.Total, after, pageBytes), nil
}

// readOwned returns the page that awaitOwned finds. A page without results says that no host has shown more, so this host compares
// its list with the store unless it has done so shortly before. owned is false if this host does not own the job.
func (d *Driver) readOwned(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (page codec.BatchPage, owned bool, err error) {
	page, owned = d.awaitOwned(ctx, id, after, wait)
	if !owned || len(page.Results) > 0 || after >= page.Total {
		return page, owned, nil
	}
	d.mu.Lock()
	h, ok := d.owned[id]
	confirmed := ok && d.isCurrent(h, time.Now())
	d.mu.Unlock()
	if confirmed || !ok {
		return page, ok, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	results, err := h.beyond.get(ctx)
	if errors.Is(err, errJobMoved) {
		return codec.BatchPage{}, false, nil
	}
	if err != nil {
		return codec.BatchPage{}, true, err
	}
	return pageOf(results, page.Total, after, pageBytes), true, nil
}

// isCurrent reports whether a page without results may be given from this host's list: the list was compared with the store within
// confirmationShare of ResultsSettle, so that a result it lacks was shown too recently to be due here. The list of an ended job is
// final, because nobody becomes its owner any more. d.mu must be held.
func (d *Driver) isCurrent(h *ownedJob, now time.Time) bool {
	if h.head.Ended && h.appendingSince.IsZero() {
		return true
	}
	return !h.confirmedAt.IsZero() && pauseBetween(h.confirmedAt, now) <= d.config.ResultsSettle*confirmationShare/100
}

// errJobMoved means that this host has lost a job since a read of it began.
var errJobMoved = errors.New("the job has moved to another host")

// readBeyond returns this host's list of a job followed by the results that the store holds after it. If these come from another
// host, that has taken the job over. It returns errJobMoved if this host does not own the job any more.
func (d *Driver) readBeyond(h *ownedJob) ([]codec.BatchResult, error) {
	ctx, cancel := context.WithTimeout(d.base, lookupTimeout)
	defer cancel()
	id := h.head.ID
	d.mu.Lock()
	number, appending := h.chunks, !h.appendingSince.IsZero()
	results := d.machine.Results(id)
	owned := d.owned[id] == h
	d.mu.Unlock()
	if !owned {
		return nil, errJobMoved
	}
	for first := number; ; number++ {
		began := time.Now()
		chunk, err := d.config.Keeper.Chunk(ctx, id, number)
		if errors.Is(err, connector.ErrNotFound) {
			d.noteBeyond(h, number-first, appending, began)
			return results, nil
		}
		if err != nil {
			return nil, err
		}
		results = append(results[:len(results):len(results)], chunk.Results...)
	}
}

// noteBeyond records that the store held a number of further chunks of a job at a time, and requests a review with a current list if
// this host has not written them.
func (d *Driver) noteBeyond(h *ownedJob, further int, appending bool, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case further == 0:
		h.confirmedAt = at
	case !appending:
		d.currentListNeeded.Store(true)
		d.requestReview()
	}
}

// awaitOwned waits until there is a result at the position, the job ends or the wait expires. It returns false if this host
// does not own the job.
func (d *Driver) awaitOwned(ctx context.Context, id identifier.BatchID, after int, wait time.Duration) (codec.BatchPage, bool) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		d.mu.Lock()
		h, ok := d.owned[id]
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
	if d.waitingReads.Add(1) > maxWaitingReads {
		wait = 0
	}
	defer d.waitingReads.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, wait+forwardedReadMargin)
	defer cancel()
	var reply codec.ReadReply
	request := codec.ReadBatch{From: d.config.Self.ID, Job: head.ID, After: after, Wait: identifier.Duration(wait)}
	if err := d.config.Peers.Call(ctx, member, methodRead, request, &reply); err != nil || !reply.Owner || reply.Page == nil {
		d.doubtHead(head)
		return codec.BatchPage{}, false
	}
	return *reply.Page, isReliable(reply, after)
}

// readChain returns all results of a job in the store and the number of their chunks; it reads only the chunks that are
// not cached. count, which may be nil, is called with the size of each chunk and ends the read with its error.
func (d *Driver) readChain(ctx context.Context, id identifier.BatchID, count func(identifier.Bytes) error) ([]codec.BatchResult, int, error) {
	d.mu.Lock()
	var known cachedChain
	if c, ok := d.chains[id]; ok {
		known = *c
	}
	d.mu.Unlock()
	if count == nil {
		count = func(identifier.Bytes) error { return nil }
	}
	if err := count(resultsSize(known.results)); err != nil {
		return nil, 0, err
	}
	for {
		chunk, err := d.config.Keeper.Chunk(ctx, id, known.chunks)
		if errors.Is(err, connector.ErrNotFound) {
			break
		}
		if err == nil {
			err = count(resultsSize(chunk.Results))
		}
		if err != nil {
			return nil, 0, err
		}
		known.results = append(known.results[:len(known.results):len(known.results)], chunk.Results...)
		known.chunks++
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	cached := resultsSize(known.results)
	for _, chain := range d.chains {
		cached += resultsSize(chain.results)
	}
	if len(d.chains) >= maxCachedChains || cached > maxChainBytes {
		clear(d.chains)
	}
	if _, owned := d.owned[id]; !owned {
		d.chains[id] = &known
	}
	return known.results, known.chunks, nil
}

func (d *Driver) serveRead(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.ReadBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch read", "peer", err)
	}
	page, ok, err := d.readOwned(ctx, request.Job, request.After, request.Wait.Std())
	if err != nil {
		return nil, err
	}
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
	return codec.ReadReply{Owner: true, Page: &page, Confirmed: true}, nil
}

// Body returns the request body of an item: from this host if it owns the job, else from the owner, else from the store.
// It returns connector.ErrNotFound if the job does not exist or has ended, or has no such item.
func (d *Driver) Body(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	head, owned, err := d.ownerOf(ctx, id)
	if err != nil {
		return nil, err
	}
	if owned {
		return d.ownedBody(ctx, id, item)
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
		d.doubtHead(head)
	}
	return d.storedBody(ctx, id, item)
}

func (d *Driver) ownedBody(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	d.mu.Lock()
	body, position, stored, found := d.machine.Body(id, item)
	d.mu.Unlock()
	switch {
	case !found:
		return nil, connector.ErrNotFound
	case stored:
		return d.bodyAt(ctx, id, position)
	}
	return body, nil
}

// storedBody reads the parts of a job one after the other until it finds the item.
func (d *Driver) storedBody(ctx context.Context, id identifier.BatchID, item identifier.ItemID) ([]byte, error) {
	head, err := d.config.Keeper.Head(ctx, id)
	if err != nil {
		return nil, err
	}
	if head.Ended {
		return nil, connector.ErrNotFound
	}
	for number := range head.Parts {
		part, err := d.config.Keeper.Part(ctx, id, number)
		if err != nil {
			return nil, err
		}
		for _, candidate := range part.Items {
			if candidate.ID == item {
				return candidate.Body, nil
			}
		}
	}
	return nil, connector.ErrNotFound
}

func (d *Driver) serveBody(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.ReadBody
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode body read", "peer", err)
	}
	if !d.isOwned(request.Job) {
		return codec.BodyReply{}, nil
	}
	body, err := d.ownedBody(ctx, request.Job, request.Item)
	if err != nil && !errors.Is(err, connector.ErrNotFound) {
		return nil, err
	}
	return codec.BodyReply{Owner: true, Found: err == nil, Body: body}, nil
}
