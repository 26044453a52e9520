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

// The JSON-RPC methods between batchers.
const (
	methodSubmit = "batch_submit"
	methodTake   = "batch_take"
	methodRead   = "batch_read"
	methodBody   = "batch_body"
	methodEnd    = "batch_end"
	methodOwner  = "batch_owner"
)

const (
	// peerTimeout bounds a call to another host, which may itself write to the store.
	peerTimeout = 800 * time.Millisecond
	// readSlack is added to the wait of a read that is passed on.
	readSlack = 500 * time.Millisecond
	// maxOwners bounds the remembered heads of other hosts' jobs.
	maxOwners = 4096
	// announceTimeout bounds the message about a job's owner to one host, maxAnnouncements how many are on their way.
	announceTimeout  = 500 * time.Millisecond
	maxAnnouncements = 8
)

func asTaken(err error) (*batchkeeper.TakenError, bool) {
	var taken *batchkeeper.TakenError
	ok := errors.As(err, &taken)
	return taken, ok
}

// Submit stores a job at the host that should own it, or here if that host does not answer.
func (d *Driver) Submit(ctx context.Context, job codec.BatchJob) (connector.BatchStatus, error) {
	if d.isHeld(job.ID) {
		return connector.BatchAccepted, nil
	}
	home := d.home(job)
	uncertain := false
	if home.ID != d.config.Self.ID {
		var reply codec.SubmitReply
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := d.config.Peers.Call(ctx, home, methodSubmit, codec.SubmitBatch{From: d.config.Self.ID, Job: job, SubmittedAt: time.Now()}, &reply)
		cancel()
		if err == nil && reply.Accepted {
			return connector.BatchAccepted, nil
		}
		uncertain = err != nil || reply.Uncertain
		d.config.Log.Info(logger.JobKept).Str("request", string(job.ID)).Str("home", string(home.ID)).Err(err).Send()
	}
	status, err := d.create(ctx, job, time.Now())
	if status == connector.BatchRefused && uncertain {
		status = connector.BatchOutcomeUnknown
	}
	return status, err
}

// create stores a job that this host owns and starts it.
func (d *Driver) create(ctx context.Context, job codec.BatchJob, submittedAt time.Time) (connector.BatchStatus, error) {
	// A caller that leaves must not end the write halfway: the job may exist then without an owner that knows it.
	ctx = context.WithoutCancel(ctx)
	head, created, err := d.config.Keeper.Create(ctx, job, codec.BatchHead{
		Owner: d.config.Self.ID, Address: d.config.Self.Address, Incarnation: d.config.Incarnation, Model: job.Model, Total: len(job.Items), SubmittedAt: submittedAt,
	})
	switch {
	case errors.Is(err, connector.ErrOutcomeUnknown):
		d.config.Log.Warn(logger.JobRefused).Str("request", string(job.ID)).Str("outcome", string(connector.BatchOutcomeUnknown)).Err(err).Send()
		return connector.BatchOutcomeUnknown, err
	case err != nil:
		d.config.Log.Warn(logger.JobRefused).Str("request", string(job.ID)).Str("outcome", string(connector.BatchRefused)).Err(err).Send()
		return connector.BatchRefused, err
	case created:
		d.open(head, job, opening{})
		return connector.BatchAccepted, nil
	}
	d.remember(head)
	if head.Owner == d.config.Self.ID && !head.Ended && !d.isHeld(job.ID) {
		d.askReview()
	}
	return connector.BatchAccepted, nil
}

// opening is what is known of a job when this host begins to own it.
type opening struct {
	results []codec.BatchResult
	chunks  int
	// saved is what the store holds of unfinished texts, in so many chunks; progress is what the former owner held.
	saved      []codec.ItemProgress
	textChunks int
	progress   []codec.ItemProgress
}

// open starts to run a job that this host owns.
func (d *Driver) open(head batchkeeper.Head, job codec.BatchJob, o opening) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.held[head.ID]; ok {
		return
	}
	d.held[head.ID] = &holding{head: head, job: job, chunks: o.chunks, texts: o.textChunks, changed: make(chan struct{})}
	delete(d.owners, head.ID)
	delete(d.chains, head.ID)
	now := time.Now()
	d.perform(d.machine.Handle(now, JobOpened{
		Job: job, SubmittedAt: head.SubmittedAt, Results: o.results, Progress: o.progress, Saved: o.saved,
	}))
	d.perform(d.machine.Handle(now, d.routes()))
	d.config.Log.Info(logger.JobOpened).Str("request", string(head.ID)).Str("model", string(job.Model)).Int64("step", int64(job.Step)).
		Int64("min_version", int64(job.MinVersion)).Int("items", len(job.Items)).Int("results", len(o.results)).
		Int("saved", len(o.saved)).Int("progress", len(o.progress)).Time("submitted_at", head.SubmittedAt).Send()
	d.work.Go(func() { d.announce(head) })
}

// announce tells the live hosts who owns a job: its results are read at all of them, and each would ask the store once.
func (d *Driver) announce(head batchkeeper.Head) {
	calls := grouper.NewGroup(maxAnnouncements)
	for _, member := range d.config.Members.Live() {
		if member.ID == d.config.Self.ID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(d.base, announceTimeout)
			defer cancel()
			// A host that misses it asks the store.
			_ = d.config.Peers.Call(ctx, member, methodOwner, codec.AnnounceBatch{Job: head.ID, Version: head.Version, Head: head.BatchHead}, nil)
		})
	}
	calls.Wait()
}

func (d *Driver) serveOwner(_ context.Context, params json.RawMessage) (any, error) {
	var request codec.AnnounceBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch owner", "peer", err)
	}
	head := batchkeeper.Head{BatchHead: request.Head, ID: request.Job, Version: request.Version}
	if !d.isHeld(head.ID) {
		d.remember(head)
	}
	return struct{}{}, nil
}

func (d *Driver) isHeld(id identifier.BatchID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.held[id]
	return ok
}

func (d *Driver) remember(head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.owners) >= maxOwners {
		clear(d.owners)
	}
	if known, ok := d.owners[head.ID]; ok && known.Version > head.Version {
		return
	}
	d.owners[head.ID] = head
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
	if d.isHeld(request.Job.ID) {
		return codec.SubmitReply{Accepted: true}, nil
	}
	if d.isDraining() {
		return codec.SubmitReply{}, nil
	}
	status, err := d.create(ctx, request.Job, request.SubmittedAt)
	if err != nil {
		d.config.Log.Warn(logger.JobRefused).Str("request", string(request.Job.ID)).Str("from", string(request.From)).Err(err).Send()
	}
	return codec.SubmitReply{Accepted: status == connector.BatchAccepted, Uncertain: status == connector.BatchOutcomeUnknown}, nil
}

// End marks a job as ended in the store and stops its items.
func (d *Driver) End(ctx context.Context, id identifier.BatchID) error {
	head, held, err := d.ownerOf(ctx, id)
	if err != nil {
		return err
	}
	if held {
		return d.endHeld(ctx, id)
	}
	if member, ok := d.liveMember(head.Owner); ok && member.ID != d.config.Self.ID {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var reply codec.ReadReply
		err := d.config.Peers.Call(callCtx, member, methodEnd, codec.EndBatch{From: d.config.Self.ID, Job: id}, &reply)
		if err == nil && reply.Owner {
			return nil
		}
	}
	return d.markEnded(ctx, id)
}

// endHeld stops the items at once and then writes the end; the caller is told only after the store holds it.
func (d *Driver) endHeld(ctx context.Context, id identifier.BatchID) error {
	d.handle(JobEnded{Job: id})
	return d.markEnded(ctx, id)
}

func (d *Driver) markEnded(ctx context.Context, id identifier.BatchID) error {
	// The first try uses what is known; a conflict brings the current head.
	head, err := d.knownHead(ctx, id)
	for range endTries {
		if err != nil {
			return err
		}
		if head.Ended {
			return nil
		}
		head.Ended = true
		var written batchkeeper.Head
		written, err = d.config.Keeper.Replace(context.WithoutCancel(ctx), head)
		if err == nil {
			d.noteHead(written)
			d.config.Log.Info(logger.JobEnded).Str("request", string(id)).Send()
			return nil
		}
		d.config.Log.Warn(logger.JobEnded).Str("request", string(id)).Err(err).Send()
		head, err = d.config.Keeper.Head(ctx, id)
	}
	if err == nil {
		err = connector.ErrUnavailable
	}
	return err
}

// endTries bounds the writes of an end: one conflict with an adoption and one lost answer may come before it.
const endTries = 4

func (d *Driver) knownHead(ctx context.Context, id identifier.BatchID) (batchkeeper.Head, error) {
	d.mu.Lock()
	h, held := d.held[id]
	head, known := d.owners[id]
	if held {
		head, known = h.head, true
	}
	d.mu.Unlock()
	if known {
		return head, nil
	}
	return d.config.Keeper.Head(ctx, id)
}

// noteHead keeps a newer head; the end of a job that this host owns stops its items. A head that names another owner
// shows that this host has lost the job, whose list may have grown elsewhere.
func (d *Driver) noteHead(head batchkeeper.Head) {
	if d.isHeld(head.ID) && !d.owns(head) {
		d.config.Log.Warn(logger.JobLost).Str("request", string(head.ID)).Str("owner", string(head.Owner)).Send()
		d.drop(head.ID, head)
		return
	}
	d.mu.Lock()
	h, held := d.held[head.ID]
	if held {
		h.head = head
		if head.Ended {
			d.perform(d.machine.Handle(time.Now(), JobEnded{Job: head.ID}))
		}
	}
	d.mu.Unlock()
	if !held {
		d.remember(head)
	}
}

func (d *Driver) serveEnd(ctx context.Context, params json.RawMessage) (any, error) {
	var request codec.EndBatch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, annotator.Wrap("decode batch end", "peer", err)
	}
	if !d.isHeld(request.Job) {
		return codec.ReadReply{}, nil
	}
	if err := d.endHeld(ctx, request.Job); err != nil {
		return nil, err
	}
	return codec.ReadReply{Owner: true}, nil
}
