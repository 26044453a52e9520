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

// JSON-RPC methods between batchers.
const (
	methodSubmit = "batch_submit"
	methodTake   = "batch_take"
	methodRead   = "batch_read"
	methodBody   = "batch_body"
	methodEnd    = "batch_end"
	methodOwner  = "batch_owner"
	methodLocate = "batch_locate"
	methodAdopt  = "batch_adopt"
	methodOwned  = "batch_owned"
)

const (
	// peerTimeout bounds a call to another host, which may write to the store before it responds.
	peerTimeout = 800 * time.Millisecond
	// forwardedReadMargin is added to the wait of a read that is forwarded to the owner, for the call itself.
	forwardedReadMargin = 500 * time.Millisecond
	// maxCachedHeads bounds the cached heads of other hosts' jobs.
	maxCachedHeads = 4096
	// announceTimeout bounds the call that announces a job's owner to one directory host.
	announceTimeout = 500 * time.Millisecond
)

func asPositionTaken(err error) (*batchkeeper.PositionTakenError, bool) {
	var taken *batchkeeper.PositionTakenError
	ok := errors.As(err, &taken)
	return taken, ok
}

// Submit stores a job through its home, which then owns it, or with this host as owner if the home does not accept it.
func (d *Driver) Submit(ctx context.Context, job codec.BatchJob) (connector.BatchStatus, error) {
	if d.isOwned(job.ID) {
		if !d.mayResubmit(job) {
			return d.refuseTaken(job)
		}
		return connector.BatchAccepted, nil
	}
	draining := d.isDraining()
	home := d.home(job)
	if draining {
		home = d.home(job, d.config.Self.ID)
	}
	outcomeUnknown := false
	if home.ID != d.config.Self.ID && jobSize(job) <= maxForwardBytes {
		var reply codec.SubmitReply
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := d.config.Peers.Call(callCtx, home, methodSubmit, codec.SubmitBatch{From: d.config.Self.ID, Job: job, SubmittedAt: time.Now()}, &reply)
		cancel()
		if err == nil && reply.Accepted {
			return d.checkAccepted(ctx, job, reply)
		}
		if err == nil && reply.IDTaken {
			return d.refuseTaken(job)
		}
		outcomeUnknown = err != nil || reply.Uncertain
		d.config.Log.Info(logger.JobKept).Str("request", string(job.ID)).Str("home", string(home.ID)).Err(err).Send()
	}
	if draining {
		return d.findWhileDraining(ctx, job, outcomeUnknown)
	}
	status, err := d.create(ctx, job, time.Now(), nil)
	if status == connector.BatchRefused && outcomeUnknown {
		status = connector.BatchOutcomeUnknown
	}
	return status, err
}

// findWhileDraining returns the outcome of a submission that no other host took, at a host that opens no further jobs: the job is
// accepted if the store holds it.
func (d *Driver) findWhileDraining(ctx context.Context, job codec.BatchJob, outcomeUnknown bool) (connector.BatchStatus, error) {
	head, err := d.config.Keeper.Head(ctx, job.ID)
	switch {
	case err == nil && job.Customer != "" && !mayUse(job.Customer, head.Customer):
		return d.refuseTaken(job)
	case err == nil:
		return connector.BatchAccepted, nil
	case outcomeUnknown || !errors.Is(err, connector.ErrNotFound):
		return connector.BatchOutcomeUnknown, errors.Join(connector.ErrDraining, err)
	default:
		return connector.BatchRefused, connector.ErrDraining
	}
}

// create stores a job with this host as owner and starts it. A job that exists already counts as accepted. r is the memory for the
// job; nil means that the submission holds it.
func (d *Driver) create(ctx context.Context, job codec.BatchJob, submittedAt time.Time, r *room) (connector.BatchStatus, error) {
	defer d.releaseRoom(r)
	// The write continues if the caller disconnects: otherwise the job might be stored while its owner does not know it.
	ctx = context.WithoutCancel(ctx)
	began := time.Now()
	head, created, err := d.config.Keeper.Create(ctx, job, codec.BatchHead{
		Owner: d.config.Self.ID, Address: d.config.Self.Address, Incarnation: d.config.Incarnation, Model: job.Model, Total: len(job.Items), SubmittedAt: submittedAt,
		Customer: job.Customer,
	})
	switch {
	case isTaken(err) || err == nil && !created && job.Customer != "" && !mayUse(job.Customer, head.Customer):
		return d.refuseTaken(job)
	case errors.Is(err, connector.ErrOutcomeUnknown):
		d.config.Log.Warn(logger.JobRefused).Str("request", string(job.ID)).Str("outcome", string(connector.BatchOutcomeUnknown)).Err(err).Send()
		return connector.BatchOutcomeUnknown, err
	case err != nil:
		d.config.Log.Warn(logger.JobRefused).Str("request", string(job.ID)).Str("outcome", string(connector.BatchRefused)).Err(err).Send()
		return connector.BatchRefused, err
	case created:
		initial := initialState{source: jobSourceCreated, room: r, partItems: head.PartItems, confirmedAt: began}
		job.Items, initial.bodiesLeft = d.leaveBodies(job.Items, head.PartItems)
		d.open(head, job, initial)
		return connector.BatchAccepted, nil
	}
	d.cacheHead(head)
	if head.Owner == d.config.Self.ID && !head.Ended {
		d.adoptOnRequest(job.ID, nil)
	}
	return connector.BatchAccepted, nil
}

// jobSource is how a host became the owner of a job, as it appears in logs.
type jobSource string

const (
	jobSourceCreated    jobSource = "created"
	jobSourceAdopted    jobSource = "adopted"
	jobSourceHandedOver jobSource = "handed_over"
)

// initialState is what is known of a job when this host becomes its owner.
type initialState struct {
	source jobSource
	// partItems holds the number of items in each part in the store. With bodiesLeft, bodies of items are only there.
	partItems  []int
	bodiesLeft bool
	results    []codec.BatchResult
	chunks     int
	// confirmedAt is when results were all that the store held.
	confirmedAt time.Time
	// room is the memory that is reserved for the job, if any.
	room *room
	// saved holds the unfinished texts from the store, read from textChunks chunks; progress holds those that the former
	// owner handed over.
	saved      []codec.ItemProgress
	textChunks int
	progress   []codec.ItemProgress
}

// open starts or resumes a job that this host owns. Another host may have ended or taken over the job since head was read; open
// uses the newer head if one is known.
func (d *Driver) open(head batchkeeper.Head, job codec.BatchJob, initial initialState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.owned[head.ID]; ok {
		return
	}
	if known, ok := d.headCache[head.ID]; ok && known.Version > head.Version {
		if !d.owns(known) {
			d.config.Log.Warn(logger.JobLost).Str("request", string(head.ID)).Str("owner", string(known.Owner)).Send()
			return
		}
		head.Version, head.Ended = known.Version, known.Ended
	}
	owned := &ownedJob{
		head: head, job: job, chunks: initial.chunks, confirmedAt: initial.confirmedAt, textChunks: initial.textChunks, partItems: initial.partItems,
		changed: make(chan struct{}),
	}
	owned.beyond = newSharedRead(d.work, func() ([]codec.BatchResult, error) { return d.readBeyond(owned) })
	owned.job.Items = nil
	owned.memory = d.occupy(initial.room, jobSize(job)+resultsSize(initial.results)+progressSize(initial.saved)+progressSize(initial.progress))
	owned.rewards, owned.stopRewards = context.WithCancel(d.base)
	d.owned[head.ID] = owned
	delete(d.headCache, head.ID)
	delete(d.chains, head.ID)
	now := time.Now()
	d.apply(now, JobOpened{
		Job: job, SubmittedAt: head.SubmittedAt, BodiesStored: initial.bodiesLeft,
		Results: initial.results, Progress: initial.progress, Saved: initial.saved,
	})
	if head.Ended {
		// Its items never run, but later jobs may reuse their texts.
		d.config.Log.Info(logger.JobEndReceived).Str("request", string(head.ID)).Str("source", string(endSourceAdoption)).Send()
		d.apply(now, JobEnded{Job: head.ID})
	}
	d.apply(now, d.routes())
	d.config.Log.Info(logger.JobOpened).Str("request", string(head.ID)).Str("source", string(initial.source)).Int64("head_version", head.Version).
		Int("chunks", initial.chunks).Str("customer", string(job.Customer)).Str("model", string(job.Model)).Int64("step", int64(job.Step)).
		Int64("min_version", int64(job.MinVersion)).Int("items", len(job.Items)).Int("results", len(initial.results)).
		Int("saved", len(initial.saved)).Int("progress", len(initial.progress)).Time("submitted_at", head.SubmittedAt).Send()
	if initial.source == jobSourceCreated {
		d.work.Go(func() { d.announce(head) })
	}
}

// announce sends the head of a job to its directory hosts, where the others look it up, and to further hosts.
func (d *Driver) announce(head batchkeeper.Head, further ...codec.Member) {
	for _, member := range append(further, d.directory(head.ID)...) {
		if member.ID == d.config.Self.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(d.base, announceTimeout)
		// A directory host that misses the announcement reads the head from the store.
		_ = d.config.Peers.Call(ctx, member, methodOwner, codec.AnnounceBatch{Job: head.ID, Version: head.Version, Head: head.BatchHead}, nil)
		cancel()
	}
}

func (d *Driver) serveOwner(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.AnnounceBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch owner", "peer", err)
	}
	d.noteHead(batchkeeper.Head{BatchHead: request.Head, ID: request.Job, Version: request.Version}, endSourceOwnerCall)
	return struct{}{}, nil
}

func (d *Driver) isOwned(id identifier.BatchID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.owned[id]
	return ok
}

// cacheHead caches a head unless a newer one is known: an announcement may arrive late and must not hide a newer owner.
func (d *Driver) cacheHead(head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.headCache) >= maxCachedHeads {
		clear(d.headCache)
	}
	if known, ok := d.headCache[head.ID]; ok && known.Version > head.Version {
		return
	}
	d.headCache[head.ID] = head
}

func (d *Driver) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *Driver) serveSubmit(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.SubmitBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch submission", "peer", err)
	}
	if d.isOwned(request.Job.ID) {
		allowed := d.mayResubmit(request.Job)
		return codec.SubmitReply{Accepted: allowed, IDTaken: !allowed, CustomerChecked: true}, nil
	}
	if d.isDraining() {
		return codec.SubmitReply{}, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, forwardedWait)
	defer cancel()
	size, bodies := batchkeeper.ItemsSize(request.Job.Items)
	r, err := d.reserveRoom(waitCtx, request.Job.ID, d.neededRoom(codec.BatchHead{Size: size, BodySize: bodies}))
	if err != nil {
		d.logNoRoom(request.Job.ID, err)
		return codec.SubmitReply{}, nil
	}
	status, err := d.create(ctx, request.Job, request.SubmittedAt, r)
	if err != nil {
		d.config.Log.Warn(logger.JobRefused).Str("request", string(request.Job.ID)).Str("from", string(request.From)).Err(err).Send()
	}
	return codec.SubmitReply{
		Accepted: status == connector.BatchAccepted, Uncertain: status == connector.BatchOutcomeUnknown, IDTaken: status == connector.BatchIDTaken,
		CustomerChecked: true,
	}, nil
}
