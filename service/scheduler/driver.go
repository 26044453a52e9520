package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"celerygap.example/lib/buffer"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/refuser"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
)

const (
	requestCapacity  = 1024
	progressCapacity = 4096
	tickInterval     = 100 * time.Millisecond
	// ownerInterval is how often the driver checks that it still schedules its trainers, and writes what the store lacks.
	ownerInterval = time.Second
	// servedGrace is how long a host keeps a trainer whose page requests reach it although it is not the owner.
	servedGrace = 10 * time.Second
	busyRetry   = time.Second
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Scheduler Config
	Generator connector.Generator
	Scorer    connector.PlainCaller
	Store     connector.Store
	Members   connector.Members
	Peers     connector.Peers
	Catalogue connector.Catalogue
	Weights   connector.WeightVersions
	Timer     *timer.Service
	Logger    *logger.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Driver owns a scheduler, performs its commands and serves trainers on any host.
type Driver struct {
	config    DriverConfig
	scheduler *Scheduler
	requests  *buffer.Ring[request]
	progress  *buffer.Ring[ChunkArrived]
	// ends has room for the end of each generation and score that can run at once, so it never refuses one.
	ends    *buffer.Ring[Event]
	group   *grouper.Group
	stopped chan struct{}
	nextID  atomic.Int64
	status  atomic.Pointer[dutyStatus]

	draining atomic.Bool
	keeper   *declarationKeeper
	copies   *sampleKeeper
	failures *failureTimes

	// The rest is used by the driver's goroutine only.
	replies  map[PageID]chan ReplyPage
	cancels  map[Ref]context.CancelFunc
	served   map[identifier.EntryName]time.Time
	checked  time.Time
	versions map[identifier.EntryName]identifier.WeightVersion
	known    map[identifier.EntryName]bool
	tooOld   map[identifier.EntryName]int
	// outgoing has the copies of finished samples that the next tick sends.
	outgoing map[copyKey][]codec.Sample
}

// dutyStatus is what other goroutines see of the scheduler.
type dutyStatus struct {
	trainers []codec.TrainerStatus
	busy     bool
}

// request is an event with the channels that wait for its effect.
type request struct {
	event Event
	// inspect reads the scheduler instead of an event.
	inspect func(*Scheduler)
	reply   chan ReplyPage
	done    chan struct{}
}

// NewDriver returns a Driver and registers its methods with the peers.
func NewDriver(config DriverConfig) *Driver {
	bound := config.Scheduler.MaxRunning + config.Scheduler.MaxScoring
	d := &Driver{
		config:    config,
		scheduler: New(config.Scheduler),
		requests:  buffer.New[request](requestCapacity),
		progress:  buffer.New[ChunkArrived](progressCapacity),
		ends:      buffer.New[Event](bound),
		group:     grouper.NewGroup(-1),
		stopped:   make(chan struct{}),
		keeper:    newDeclarationKeeper(config.Store, config.Logger),
		copies:    newSampleKeeper(),
		failures:  newFailureTimes(),
		replies:   make(map[PageID]chan ReplyPage),
		cancels:   make(map[Ref]context.CancelFunc),
		served:    make(map[identifier.EntryName]time.Time),
		versions:  make(map[identifier.EntryName]identifier.WeightVersion),
		known:     make(map[identifier.EntryName]bool),
		tooOld:    make(map[identifier.EntryName]int),
		outgoing:  make(map[copyKey][]codec.Sample),
	}
	d.status.Store(&dutyStatus{})
	d.register()
	return d
}

// Run runs the driver until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	work, stop := context.WithCancel(ctx)
	defer d.group.Wait()
	defer close(d.stopped)
	defer stop()
	ticks, unsubscribe := d.config.Timer.Subscribe(tickInterval)
	defer unsubscribe()
	changes := d.config.Catalogue.Subscribe()
	d.applyCatalogue(work, d.config.Catalogue.Current())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-d.ends.Items():
			d.forgetCancel(event)
			d.handle(work, event)
		case event := <-d.progress.Items():
			d.handle(work, event)
		case r := <-d.requests.Items():
			d.serveRequest(work, r)
		case catalogue := <-changes:
			d.applyCatalogue(work, catalogue)
		case <-ticks:
			d.tick(work)
		}
	}
}

func (d *Driver) handle(ctx context.Context, event Event) {
	for _, command := range d.scheduler.Handle(d.config.Timer.Now(), event) {
		d.perform(ctx, command)
	}
}

func (d *Driver) forgetCancel(event Event) {
	switch e := event.(type) {
	case Generated:
		delete(d.cancels, e.Ref)
	case GenerationFailed:
		delete(d.cancels, e.Ref)
	}
}

func (d *Driver) serveRequest(ctx context.Context, r request) {
	if r.done != nil {
		defer close(r.done)
	}
	if r.inspect != nil {
		r.inspect(d.scheduler)
		return
	}
	switch e := r.event.(type) {
	case PageAsked:
		d.replies[e.ID] = r.reply
		d.served[e.Trainer] = d.config.Timer.Now()
	case StepDeclared:
		d.served[e.Trainer] = d.config.Timer.Now()
	case PageAbandoned:
		delete(d.replies, e.ID)
	}
	d.handle(ctx, r.event)
}

func (d *Driver) tick(ctx context.Context) {
	d.applyVersions(ctx)
	d.handle(ctx, Tick{})
	d.flushCopies(ctx)
	d.status.Store(&dutyStatus{trainers: d.scheduler.Status(), busy: d.scheduler.Busy()})
	now := d.config.Timer.Now()
	if now.Sub(d.checked) < ownerInterval {
		return
	}
	d.checked = now
	d.releaseMoved(ctx, now)
	d.logTooOld()
	d.copies.expire(now)
	d.keeper.expire(now)
	d.group.Go(func() { d.keeper.flush(ctx) })
}

// releaseMoved hands over the trainers that another host schedules now.
func (d *Driver) releaseMoved(ctx context.Context, now time.Time) {
	for _, name := range d.scheduler.Scheduled() {
		if d.draining.Load() {
			d.handle(ctx, TrainerReleased{Trainer: name})
			continue
		}
		owners := rank(name, d.config.Members.Live())
		if len(owners) == 0 || owners[0].ID == d.config.Members.Self().ID || now.Sub(d.served[name]) < servedGrace {
			continue
		}
		d.handle(ctx, TrainerReleased{Trainer: name})
	}
}

func (d *Driver) applyVersions(ctx context.Context) {
	for name := range d.known {
		if version := d.config.Weights.Current(name); version > d.versions[name] {
			d.versions[name] = version
			d.handle(ctx, WeightsAnnounced{Trainer: name, Version: version})
		}
	}
}

func (d *Driver) applyCatalogue(ctx context.Context, catalogue *codec.Catalogue) {
	listed := make(map[identifier.EntryName]bool)
	for _, entry := range catalogue.Entries {
		if entry.Kind != codec.EntryKindTrainer || entry.Trainer == nil {
			continue
		}
		listed[entry.Name] = true
		d.handle(ctx, TrainerConfigured{Trainer: entry.Name, Settings: settingsOf(entry)})
	}
	for name := range d.known {
		if !listed[name] {
			delete(d.versions, name)
			d.handle(ctx, TrainerRemoved{Trainer: name})
		}
	}
	d.known = listed
	d.applyVersions(ctx)
}

// settingsOf derives a trainer's settings from its entry. The share follows the entry's in-flight limit.
func settingsOf(entry codec.Entry) Settings {
	return Settings{
		ModelEntry:     entry.Trainer.ModelEntry,
		ScorerEntry:    entry.Trainer.ScorerEntry,
		StalenessBound: entry.Trainer.StalenessBound,
		IdleWeight:     entry.Trainer.IdleWeight,
		MaxTokens:      entry.Trainer.MaxTokens,
		Share:          float64(entry.Limits.InFlight),
		MaxRunning:     entry.Limits.InFlight,
		Deadline:       entry.Limits.Deadline.Std(),
	}
}

// submit hands an event to the driver and waits until it has been applied.
func (d *Driver) submit(ctx context.Context, event Event) error {
	return d.await(ctx, request{event: event, done: make(chan struct{})})
}

// inspect reads the scheduler on the driver's goroutine.
func (d *Driver) inspect(ctx context.Context, read func(*Scheduler)) error {
	return d.await(ctx, request{inspect: read, done: make(chan struct{})})
}

func (d *Driver) await(ctx context.Context, r request) error {
	if !d.requests.Offer(r) {
		return refuser.NotRun(refuser.QueueFull, busyRetry, "the scheduler's queue is full")
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return callerGone(ctx)
	case <-d.stopped:
		return draining()
	}
}

// askPage asks the scheduler of this host for a page.
func (d *Driver) askPage(ctx context.Context, fetch codec.FetchPage, wait time.Duration) (codec.SamplePage, error) {
	ask := PageAsked{
		ID:      PageID(d.nextID.Add(1)),
		Trainer: fetch.Trainer,
		Step:    fetch.Step,
		Cursor:  fetch.Cursor,
		Version: fetch.WeightVersion,
		Until:   d.config.Timer.Now().Add(wait),
	}
	r := request{event: ask, reply: make(chan ReplyPage, 1)}
	if !d.requests.Offer(r) {
		return codec.SamplePage{}, refuser.NotRun(refuser.QueueFull, busyRetry, "the scheduler's queue is full")
	}
	select {
	case reply := <-r.reply:
		if reply.Refusal != nil {
			return codec.SamplePage{}, reply.Refusal
		}
		return reply.Page, nil
	case <-ctx.Done():
		d.requests.Offer(request{event: PageAbandoned{ID: ask.ID}})
		return codec.SamplePage{}, callerGone(ctx)
	case <-d.stopped:
		return codec.SamplePage{}, draining()
	}
}

// Status returns the state of the trainers that this host schedules.
func (d *Driver) Status() []codec.TrainerStatus { return d.status.Load().trainers }

// HandOver hands the trainers of this host over to the next hosts and waits until the running generations have ended.
func (d *Driver) HandOver(ctx context.Context) error {
	d.draining.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		status := d.status.Load()
		if len(status.trainers) == 0 && !status.busy && d.copies.sending.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.stopped:
			return nil
		case <-ticker.C:
		}
	}
}

func callerGone(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.NotRun(refuser.DeadlineExceeded, busyRetry, "the deadline passed while waiting for the scheduler")
	}
	return refuser.NotRun(refuser.CallerGone, 0, "the caller ended the request")
}

func draining() error {
	return refuser.NotRun(refuser.Draining, busyRetry, "this host is stopping")
}

// scoreRequest and scoreResponse are the bodies of POST /score.
type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreResponse struct {
	Reward *float64 `json:"reward"`
}

func decodeScore(body []byte) (float64, error) {
	var response scoreResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, err
	}
	if response.Reward == nil {
		return 0, errors.New("the scorer's response has no reward")
	}
	return *response.Reward, nil
}
