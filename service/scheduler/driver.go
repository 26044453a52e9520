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
	// ownerInterval is how often the driver checks that this host still owns its trainers, expires copies and backups, and
	// writes pending declarations to the store.
	ownerInterval = time.Second
	// servedGrace is how long a host that is not the owner keeps a trainer after the last page request or declaration.
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
	Log       *logger.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Driver feeds events to a Scheduler and executes its commands. It serves declarations and page requests on any host by
// forwarding them to the host that schedules the trainer.
type Driver struct {
	config    DriverConfig
	scheduler *Scheduler
	requests  *buffer.Ring[request]
	progress  *buffer.Ring[ChunkArrived]
	// ends has room for the end of every generation and score that can run at the same time, so that none is lost.
	ends    *buffer.Ring[Event]
	group   *grouper.Group
	stopped chan struct{}
	nextID  atomic.Int64
	status  atomic.Pointer[driverStatus]

	draining     atomic.Bool
	declarations *declarationKeeper
	copies       *sampleKeeper
	failures     *failureTimes

	// The fields below are used by the driver's goroutine only.
	replies         map[PageID]chan ReplyPage
	cancels         map[Ref]context.CancelFunc
	lastServed      map[identifier.EntryName]time.Time
	ownersCheckedAt time.Time
	versions        map[identifier.EntryName]identifier.WeightVersion
	knownTrainers   map[identifier.EntryName]bool
	tooOldSamples   map[identifier.EntryName]int
	// pendingCopies has the finished samples that the next tick sends to other hosts.
	pendingCopies map[copyKey][]codec.Sample
}

// driverStatus is the state of the scheduler as of the last tick, for other goroutines.
type driverStatus struct {
	trainers []codec.TrainerStatus
	busy     bool
}

// request is an event or a read of the scheduler, with the channels on which its caller waits.
type request struct {
	event Event
	// inspect, if not nil, is called with the scheduler, and event is ignored.
	inspect func(*Scheduler)
	reply   chan ReplyPage
	done    chan struct{}
}

// NewDriver returns a Driver and registers its peer methods with config.Peers.
func NewDriver(config DriverConfig) *Driver {
	bound := config.Scheduler.MaxRunning + config.Scheduler.MaxScoring
	d := &Driver{
		config:        config,
		scheduler:     New(config.Scheduler),
		requests:      buffer.New[request](requestCapacity),
		progress:      buffer.New[ChunkArrived](progressCapacity),
		ends:          buffer.New[Event](bound),
		group:         grouper.NewGroup(-1),
		stopped:       make(chan struct{}),
		declarations:  newDeclarationKeeper(config.Store, config.Log),
		copies:        newSampleKeeper(),
		failures:      newFailureTimes(),
		replies:       make(map[PageID]chan ReplyPage),
		cancels:       make(map[Ref]context.CancelFunc),
		lastServed:    make(map[identifier.EntryName]time.Time),
		versions:      make(map[identifier.EntryName]identifier.WeightVersion),
		knownTrainers: make(map[identifier.EntryName]bool),
		tooOldSamples: make(map[identifier.EntryName]int),
		pendingCopies: make(map[copyKey][]codec.Sample),
	}
	d.status.Store(&driverStatus{})
	d.register()
	return d
}

// Run handles events until the context ends and then waits for the running calls to return; it returns nil.
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
			d.removeCancel(event)
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
		d.execute(ctx, command)
	}
}

func (d *Driver) removeCancel(event Event) {
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
	case PageRequested:
		d.replies[e.ID] = r.reply
		d.lastServed[e.Trainer] = d.config.Timer.Now()
	case StepDeclared:
		d.lastServed[e.Trainer] = d.config.Timer.Now()
	case PageAbandoned:
		delete(d.replies, e.ID)
	}
	d.handle(ctx, r.event)
}

func (d *Driver) tick(ctx context.Context) {
	d.applyVersions(ctx)
	d.handle(ctx, Tick{})
	d.flushCopies(ctx)
	d.status.Store(&driverStatus{trainers: d.scheduler.Status(), busy: d.scheduler.Busy()})
	now := d.config.Timer.Now()
	if now.Sub(d.ownersCheckedAt) < ownerInterval {
		return
	}
	d.ownersCheckedAt = now
	d.releaseMoved(ctx, now)
	d.logTooOld()
	d.copies.expire(now)
	d.declarations.expire(now)
	d.group.Go(func() { d.declarations.flush(ctx) })
}

// releaseMoved releases the trainers that this host no longer owns or, while draining, all trainers.
func (d *Driver) releaseMoved(ctx context.Context, now time.Time) {
	for _, name := range d.scheduler.ScheduledTrainers() {
		if d.draining.Load() {
			d.handle(ctx, TrainerReleased{Trainer: name})
			continue
		}
		owners := rank(name, d.config.Members.Live())
		if len(owners) == 0 || owners[0].ID == d.config.Members.Self().ID || now.Sub(d.lastServed[name]) < servedGrace {
			continue
		}
		d.handle(ctx, TrainerReleased{Trainer: name})
	}
}

func (d *Driver) applyVersions(ctx context.Context) {
	for name := range d.knownTrainers {
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
	for name := range d.knownTrainers {
		if !listed[name] {
			delete(d.versions, name)
			d.handle(ctx, TrainerRemoved{Trainer: name})
		}
	}
	d.knownTrainers = listed
	d.applyVersions(ctx)
}

// settingsOf returns the settings in a trainer's catalogue entry. The share is the entry's in-flight limit.
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

// submit passes an event to the driver's goroutine and waits until it has been applied.
func (d *Driver) submit(ctx context.Context, event Event) error {
	return d.await(ctx, request{event: event, done: make(chan struct{})})
}

// inspect calls read on the driver's goroutine and waits for it to return.
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

// requestPage requests a page from the scheduler of this host.
func (d *Driver) requestPage(ctx context.Context, fetch codec.FetchPage, wait time.Duration) (codec.SamplePage, error) {
	event := PageRequested{
		ID:      PageID(d.nextID.Add(1)),
		Trainer: fetch.Trainer,
		Step:    fetch.Step,
		Cursor:  fetch.Cursor,
		Version: fetch.WeightVersion,
		Until:   d.config.Timer.Now().Add(wait),
	}
	r := request{event: event, reply: make(chan ReplyPage, 1)}
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
		d.requests.Offer(request{event: PageAbandoned{ID: event.ID}})
		return codec.SamplePage{}, callerGone(ctx)
	case <-d.stopped:
		return codec.SamplePage{}, draining()
	}
}

// Status returns the status of the trainers that this host schedules, as of the last tick.
func (d *Driver) Status() []codec.TrainerStatus { return d.status.Load().trainers }

// HandOver hands over the trainers of this host to the next hosts, and waits until the running generations have ended and
// their samples are sent. From the start of the call, this host refuses declarations and page requests for its scheduler
// with the reason Draining. HandOver returns the context's error if the context ends first.
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
		return 0, errors.New("reward is missing")
	}
	return *response.Reward, nil
}
