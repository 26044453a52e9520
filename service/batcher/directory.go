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
	"celerygap.example/service/elector"
)

const (
	// directoryHosts is the number of hosts that know the owner of a job. The second one answers while the first is lost.
	directoryHosts = 2
	// locateTimeout bounds a call to a directory host, which may read the head from the store.
	locateTimeout = 300 * time.Millisecond
)

// directory returns the hosts at which the others look up the owner of a job. Telling all hosts would cost each owner a call
// for each host and job; reading the store would cost a priced call for each host and job.
func (d *Driver) directory(id identifier.BatchID) []codec.Member {
	return elector.Rank(string(id), d.config.Members.Live(), directoryHosts)
}

// locate returns the head of a job from a directory host, or from the store if none responds. Heads up to the version above
// are known to be outdated. It returns connector.ErrNotFound only if the store holds no such job.
func (d *Driver) locate(ctx context.Context, id identifier.BatchID, above int64) (batchkeeper.Head, error) {
	for _, member := range d.directory(id) {
		if member.ID == d.config.Self.ID {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		var reply codec.LocateReply
		err := d.config.Peers.Call(callCtx, member, methodLocate, codec.LocateBatch{From: d.config.Self.ID, Job: id, Above: above}, &reply)
		cancel()
		if err == nil && reply.Absent {
			return batchkeeper.Head{}, connector.ErrNotFound
		}
		if err == nil {
			return batchkeeper.Head{BatchHead: reply.Head, ID: id, Version: reply.Version}, nil
		}
	}
	return d.config.Keeper.Head(ctx, id)
}

// serveLocate returns the head that this host knows or else the one in the store.
func (d *Driver) serveLocate(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.LocateBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch lookup", "peer", err)
	}
	if head, ok := d.cachedHead(request.Job); ok && head.Version > request.Above {
		return codec.LocateReply{Version: head.Version, Head: head.BatchHead}, nil
	}
	head, err := d.config.Keeper.Head(ctx, request.Job)
	if errors.Is(err, connector.ErrNotFound) {
		return codec.LocateReply{Absent: true}, nil
	}
	if err != nil {
		return nil, err
	}
	d.cacheHead(head)
	return codec.LocateReply{Version: head.Version, Head: head.BatchHead}, nil
}

// cachedHead returns the head of a job that this host owns or knows, unless it is doubted.
func (d *Driver) cachedHead(id identifier.BatchID) (batchkeeper.Head, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.owned[id]; ok {
		return h.head, true
	}
	head, ok := d.headCache[id]
	doubted, doubt := d.doubted[id]
	return head, ok && !(doubt && head.Version <= doubted)
}

// doubtHead records that the owner that a head names did not confirm that it owns the job, so that the next lookup asks for a
// newer head.
func (d *Driver) doubtHead(head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.doubted) >= maxCachedHeads {
		clear(d.doubted)
	}
	d.doubted[head.ID] = max(d.doubted[head.ID], head.Version)
}

// ownerOf returns the head of a job and whether this host owns it. It returns connector.ErrNotFound only if the store holds
// no such job.
func (d *Driver) ownerOf(ctx context.Context, id identifier.BatchID) (head batchkeeper.Head, owned bool, err error) {
	if head, ok := d.cachedHead(id); ok {
		return head, d.isOwned(id), nil
	}
	d.mu.Lock()
	above := d.doubted[id]
	d.mu.Unlock()
	head, err = d.locate(ctx, id, above)
	if err != nil {
		return batchkeeper.Head{}, false, err
	}
	// The store was asked if the head is still the doubted one: its owner is the right one, even if it does not respond.
	d.mu.Lock()
	delete(d.doubted, id)
	d.mu.Unlock()
	d.cacheHead(head)
	return head, false, nil
}
