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
	home := d.home(job)
	outcomeUnknown := false
	if home.ID != d.config.Self.ID {
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
	status, err := d.create(ctx, job, time.Now())
	if status == connector.BatchRefused && outcomeUnknown {
		status = connector.BatchOutcomeUnknown
	}
	return status, err
}

// create stores a job with this host as owner and starts it. A job that exists already counts as accepted.
func (d *Driver) create(ctx context.Context, job codec.BatchJob, submittedAt time.Time) (connector.BatchStatus, error) {
	// The write continues if the caller disconnects: otherwise the job might be stored while its owner does not know it.
	ctx = context.WithoutCancel(ctx)
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
		d.open(head, job, initialState{})
		return connector.BatchAccepted, nil
	}
	d.cacheHead(head)
	if head.Owner == d.config.Self.ID && !head.Ended {
		d.adoptOnRequest(job.ID)
	}
	return connector.BatchAccepted, nil
}

// initialState is what is known of a job when this host becomes its owner.
type initialState struct {
	results []codec.BatchResult
	chunks  int
	// saved holds the unfinished texts from the store, read from textChunks chunks; progress holds those that the former
	// owner handed over.
	saved      []codec.ItemProgress
	textChunks int
	progress   []codec.ItemProgress
}

// open starts or resumes a job that this host owns.
func (d *Driver) open(head batchkeeper.Head, job codec.BatchJob, initial initialState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.owned[head.ID]; ok {
		return
	}
	d.owned[head.ID] = &ownedJob{head: head, job: job, chunks: initial.chunks, textChunks: initial.textChunks, changed: make(chan struct{})}
	delete(d.headCache, head.ID)
	delete(d.chains, head.ID)
	now := time.Now()
	d.execute(d.machine.Handle(now, JobOpened{
		Job: job, SubmittedAt: head.SubmittedAt, Results: initial.results, Progress: initial.progress, Saved: initial.saved,
	}))
	d.execute(d.machine.Handle(now, d.routes()))
	d.config.Log.Info(logger.JobOpened).Str("request", string(head.ID)).Str("customer", string(job.Customer)).Str("model", string(job.Model)).Int64("step", int64(job.Step)).
		Int64("min_version", int64(job.MinVersion)).Int("items", len(job.Items)).Int("results", len(initial.results)).
		Int("saved", len(initial.saved)).Int("progress", len(initial.progress)).Time("submitted_at", head.SubmittedAt).Send()
	d.work.Go(func() { d.announce(head) })
}

// announce sends the head of a job to its directory hosts, where the others look it up.
func (d *Driver) announce(head batchkeeper.Head) {
	for _, member := range d.directory(head.ID) {
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
	head := batchkeeper.Head{BatchHead: request.Head, ID: request.Job, Version: request.Version}
	if !d.isOwned(head.ID) {
		d.cacheHead(head)
	}
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
	status, err := d.create(ctx, request.Job, request.SubmittedAt)
	if err != nil {
		d.config.Log.Warn(logger.JobRefused).Str("request", string(request.Job.ID)).Str("from", string(request.From)).Err(err).Send()
	}
	return codec.SubmitReply{
		Accepted: status == connector.BatchAccepted, Uncertain: status == connector.BatchOutcomeUnknown, IDTaken: status == connector.BatchIDTaken,
		CustomerChecked: true,
	}, nil
}

// End marks a job as ended in the store and stops its runs. It returns nil if the job has ended before. An error that is not
// connector.ErrOutcomeUnknown means that the job was left as it was.
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
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var reply codec.ReadReply
		err := d.config.Peers.Call(callCtx, member, methodEnd, codec.EndBatch{From: d.config.Self.ID, Job: id}, &reply)
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

func (d *Driver) markEnded(ctx context.Context, id identifier.BatchID) error {
	// The first attempt uses the known head; after an error the current head is read from the store.
	head, err := d.knownHead(ctx, id)
	outcomeUnknown := false
	for range maxEndWrites {
		if err != nil {
			break
		}
		if head.Ended {
			return nil
		}
		head.Ended = true
		var written batchkeeper.Head
		written, err = d.config.Keeper.Replace(context.WithoutCancel(ctx), head)
		if err == nil {
			d.updateHead(written)
			d.config.Log.Info(logger.JobEnded).Str("request", string(id)).Send()
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

// maxEndWrites bounds the attempts to write the end of a job: a conflict with an adoption and a lost response may precede
// the successful one.
const maxEndWrites = 4

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
			d.execute(d.machine.Handle(time.Now(), JobEnded{Job: head.ID}))
		}
	}
	d.mu.Unlock()
	if !owned {
		d.cacheHead(head)
	}
}

func (d *Driver) serveEnd(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.EndBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch end", "peer", err)
	}
	if !d.isOwned(request.Job) {
		return codec.ReadReply{}, nil
	}
	if err := d.endOwned(ctx, request.Job); err != nil {
		return nil, err
	}
	return codec.ReadReply{Owner: true}, nil
}
