package batcher

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/matcher"
	"celerygap.example/service/reserver"
)

const (
	// tickInterval is the time between two ticks, and so the longest delay of the state machine's time-based rules.
	tickInterval = 50 * time.Millisecond
	// DefaultSettleTime covers the time in which hosts that start together discover each other.
	DefaultSettleTime = 4 * time.Second
	// DefaultReviewInterval limits the calls to the store by periodic reviews; changes of members cause further reviews.
	DefaultReviewInterval = 3 * time.Second
	// DefaultResultsSettle is how long after a host has shown a result others may lack it, unless the settings say otherwise.
	DefaultResultsSettle = time.Second
	// freezeThreshold is the pause of this process, seen between two ticks, above which the jobs are reviewed with a current
	// list, because other hosts may have taken them over.
	freezeThreshold = time.Second
	// minStoreBackoff is the wait after the first failed write of results or texts, which doubles with each further failure
	// up to maxStoreBackoff. Failed reads are repeated after maxStoreBackoff.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 500 * time.Millisecond
	// pageBytes is the approximate size limit of a page of results.
	pageBytes identifier.Bytes = 900 << 10
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Self codec.Member
	// Incarnation distinguishes this process from earlier ones of the host.
	Incarnation identifier.Incarnation
	Keeper      *batchkeeper.Keeper
	Runner      connector.ItemRunner
	// Rewards is the client for reward calls.
	Rewards connector.PlainCaller
	// Routes returns the routes of the catalogue in effect, or nil while there is none.
	Routes func() *matcher.Matcher
	// MakeReward converts a reward call to a request; Score extracts the score from its response, or returns "" if there
	// is none.
	MakeReward func(codec.RewardCall) connector.PlainRequest
	Score      func(connector.PlainResponse) string
	Catalogue  connector.Catalogue
	Upstreams  connector.Upstreams
	// Pacer keeps the runs within the limits that engines name; nil means that they name none.
	Pacer   Pacer
	Members connector.Members
	// Settled reports whether Members holds most of the live hosts; nil means that it always does.
	Settled func() bool
	// FirstStart means that no earlier process of this host can own jobs, because the whole system starts for the first time.
	FirstStart bool
	// MembersChanged receives a value after the live members changed.
	MembersChanged <-chan struct{}
	Peers          connector.Peers
	Timer          *timer.Service
	Log            *logger.Logger
	// Meter may be nil.
	Meter *meter.Meter
	// Memory is the account to which jobs are charged; nil means no limit.
	Memory *reserver.Account
	// KeepResults bounds how long results are kept: a job that has ended is removed after twice this time since its submission.
	// Zero keeps all jobs.
	KeepResults time.Duration
	// SettleTime is how long after its start a host adopts no jobs of others: until it knows the other hosts, every owner
	// appears to be gone. ReviewInterval is the time between two periodic reviews for jobs whose owner is gone. Zero means
	// the defaults.
	SettleTime     time.Duration
	ReviewInterval time.Duration
	// ResultsSettle is how long after a host has shown a result others may lack it. Zero means DefaultResultsSettle.
	ResultsSettle time.Duration
}

// Driver feeds events to a Batcher, executes its commands and implements connector.Batches. It is safe for concurrent use.
type Driver struct {
	config  DriverConfig
	work    *grouper.Group
	reviews chan struct{}
	// currentListNeeded makes the next review read a current list instead of a stale one.
	currentListNeeded atomic.Bool
	startedAt         time.Time

	mu      sync.Mutex
	machine *Batcher
	owned   map[identifier.BatchID]*ownedJob
	stops   map[RunID]context.CancelCauseFunc
	// headCache holds the last known heads of jobs that other hosts own; doubted holds the versions of heads whose owner did not
	// confirm that it owns the job.
	headCache map[identifier.BatchID]batchkeeper.Head
	doubted   map[identifier.BatchID]int64
	// customers holds the customers of jobs of other hosts, which never change.
	customers map[identifier.BatchID]identifier.CustomerName
	// adopting holds the jobs that are being adopted on request.
	adopting map[identifier.BatchID]struct{}
	// rooms holds the memory that is reserved for jobs that this host is about to own; a job that it opens takes its room over.
	rooms   map[*room]identifier.Bytes
	unowned placements
	// outgrown holds the memory that jobs need at least, for which this host had none once it had read a part of their texts and results.
	outgrown map[identifier.BatchID]identifier.Bytes
	// loads bounds the jobs that are being read from the store.
	loads *semaphore.Weighted
	// lists shares the lists of all heads that other hosts request.
	lists    *sharedRead[[]batchkeeper.Head]
	chains   map[identifier.BatchID]*cachedChain
	draining bool
	// waitingReads counts the reads that wait at the owners of jobs.
	waitingReads atomic.Int64
	// shown holds the number of results that this host has shown of each job.
	shown map[identifier.BatchID]int
	// forwarding holds the jobs whose ends are being forwarded to their owners.
	forwarding map[identifier.BatchID]struct{}
	// lastTick is the time of the last tick, which shows whether this process was paused. reviewDue is set from a pause until
	// the jobs have been compared with a current list; startsHeld is set from a pause until it is known which of them may go on.
	lastTick   time.Time
	reviewDue  bool
	startsHeld bool
	// membersChangedAt is when the live members changed last, and currentListAt when a current list was read last.
	membersChangedAt time.Time
	currentListAt    time.Time
	// bodyBytes is the memory that bodies of open jobs take, as of chargedAt and with what was added since.
	bodyBytes identifier.Bytes
	chargedAt time.Time
	parts     partCache
	base      context.Context
	cancel    context.CancelFunc
}

// ownedJob is the driver's state of a job that this host owns.
type ownedJob struct {
	head batchkeeper.Head
	job  codec.BatchJob
	// route is the job's route as it was logged last.
	route  jobRoute
	chunks int
	// textChunks is the number of chunks of saved texts in the store.
	textChunks int
	// appendingSince is when the write of results in progress began; it is zero without one, and after a write that certainly had
	// no effect.
	appendingSince time.Time
	// confirmedAt is the latest time at which this host's list was certainly all that the store held; beyond reads what the store
	// holds after the list.
	confirmedAt time.Time
	beyond      *sharedRead[[]codec.BatchResult]
	// partItems holds the number of items in each part of the job in the store.
	partItems []int
	// memory is what the job takes. measuredEnded is set once that was measured after its end, from which on it hardly changes.
	memory        *reserver.Reservation
	measuredEnded bool
	// changed is closed and replaced whenever the list of results changes or the job ends.
	changed chan struct{}
	// rewards is the context of the job's reward calls, which stopRewards ends.
	rewards     context.Context
	stopRewards context.CancelFunc
	// appending is locked during a write of results, so that there is at most one at a time.
	appending sync.Mutex
}

var _ connector.Batches = (*Driver)(nil)

// NewDriver returns a Driver and registers its JSON-RPC methods with config.Peers; Run starts it.
func NewDriver(config DriverConfig) *Driver {
	config.SettleTime = cmp.Or(config.SettleTime, DefaultSettleTime)
	config.ReviewInterval = cmp.Or(config.ReviewInterval, DefaultReviewInterval)
	config.ResultsSettle = cmp.Or(config.ResultsSettle, DefaultResultsSettle)
	base, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), reviews: make(chan struct{}, 1), machine: New(Config{Pacer: config.Pacer}),
		owned: make(map[identifier.BatchID]*ownedJob), stops: make(map[RunID]context.CancelCauseFunc),
		headCache: make(map[identifier.BatchID]batchkeeper.Head), doubted: make(map[identifier.BatchID]int64),
		customers:  make(map[identifier.BatchID]identifier.CustomerName),
		forwarding: make(map[identifier.BatchID]struct{}), shown: make(map[identifier.BatchID]int),
		adopting: make(map[identifier.BatchID]struct{}), rooms: make(map[*room]identifier.Bytes), outgrown: make(map[identifier.BatchID]identifier.Bytes), loads: semaphore.NewWeighted(loadUnits),
		unowned: placements{pending: make(map[identifier.BatchID]batchkeeper.Head), waiting: make(map[identifier.BatchID]struct{})},
		chains:  make(map[identifier.BatchID]*cachedChain),
		base:    base, cancel: cancel, startedAt: time.Now(), parts: partCache{keeper: config.Keeper},
	}
	d.lists = newSharedRead(d.work, func() ([]batchkeeper.Head, error) { return d.config.Keeper.Heads(d.base, false) })
	config.Peers.Handle(methodSubmit, d.serveSubmit)
	config.Peers.Handle(methodTake, d.serveTake)
	config.Peers.Handle(methodRead, d.serveRead)
	config.Peers.Handle(methodBody, d.serveBody)
	config.Peers.Handle(methodEnd, d.serveEnd)
	config.Peers.Handle(methodOwner, d.serveOwner)
	config.Peers.Handle(methodLocate, d.serveLocate)
	config.Peers.Handle(methodAdopt, d.serveAdopt)
	config.Peers.Handle(methodOwned, d.serveOwned)
	return d
}

// EnginesChanged replaces the usable engines of all pools.
func (d *Driver) EnginesChanged(engines map[identifier.PoolName][]codec.ListedHost) {
	d.handle(EnginesChanged{Engines: engines})
}

// LoadReported passes on the load that an engine has stated in a response, unless this host runs no items.
func (d *Driver) LoadReported(id identifier.UpstreamID, load codec.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.owned) > 0 {
		d.machine.Handle(time.Now(), LoadReported{Engine: id, Load: load})
	}
}

// Run sends ticks and changes of routes to the state machine and reviews jobs whose owner may be gone, until ctx ends. It
// returns nil after all runs and writes have ended.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.cancel()
	ticks, stopTicks := d.config.Timer.Subscribe(tickInterval)
	defer stopTicks()
	reviews, stopReviews := d.config.Timer.Subscribe(d.config.ReviewInterval)
	defer stopReviews()
	catalogues := d.config.Catalogue.Subscribe()
	d.work.Go(func() { d.reviewLoop(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			d.tick(now)
		case <-catalogues:
			d.applyRoutes()
		case <-reviews:
			d.requestReviewByDuty()
		case <-d.config.MembersChanged:
			d.noteMembersChanged()
			d.requestReviewByDuty()
		}
	}
}

// pauseBetween returns the time between two ticks, by the wall clock if that is longer: the monotonic clock stops while a
// machine is suspended.
func pauseBetween(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// tick sends a Tick only while this host owns jobs, so that an idle host does not run the state machine 20 times a second.
func (d *Driver) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdAfterPause(now)
	d.lastTick = now
	if len(d.owned) > 0 {
		d.apply(time.Now(), Tick{})
		d.chargeJobs(now)
	}
}

// apply sends an event to the state machine and executes its commands; d.mu must be held. Events can come before the first tick
// after a pause.
func (d *Driver) apply(now time.Time, event Event) {
	d.holdAfterPause(now)
	d.execute(d.machine.Handle(now, event))
}

func (d *Driver) applyRoutes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(time.Now(), d.routes())
}

func (d *Driver) handle(event Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(time.Now(), event)
}

// execute starts the work of each command. d.mu must be held, so nothing here may block.
func (d *Driver) execute(commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case StartRun:
			ctx, stop := context.WithCancelCause(d.base)
			d.stops[c.Run] = stop
			d.work.Go(func() { d.run(ctx, c) })
		case StopRun:
			if stop, ok := d.stops[c.Run]; ok {
				stop(&connector.UpstreamError{Failure: connector.FailureCancelled, Err: stoppedError(c.Reason)})
			}
			d.config.Log.Info(logger.ItemRunStopped).Uint64("run", uint64(c.Run)).Str("reason", string(c.Reason)).Send()
		case StartReward:
			if h, ok := d.owned[c.Job]; ok {
				d.work.Go(func() { d.reward(h.rewards, c) })
			}
		case StopRewards:
			if h, ok := d.owned[c.Job]; ok {
				h.stopRewards()
			}
		case Append:
			if h, ok := d.owned[c.Job]; ok {
				d.work.Go(func() { d.appendResults(h, c) })
			}
		case SaveTexts:
			if h, ok := d.owned[c.Job]; ok {
				number := h.textChunks
				d.work.Go(func() { d.saveTexts(h, c, number) })
			}
		case LogRestart:
			d.config.Log.Info(logger.ItemTextRestarted).Str("request", string(c.Item)).Str("job", string(c.Job)).Str("pool", string(c.Origin.Pool)).
				Str("software", string(c.Origin.Software)).Int("events", c.Events).Send()
		case LogOversized:
			d.config.Log.Warn(logger.ResultTooLarge).Str("request", string(c.Item)).Str("job", string(c.Job)).Int64("bytes", int64(c.Size)).Send()
		case NotifyReaders:
			if h, ok := d.owned[c.Job]; ok {
				close(h.changed)
				h.changed = make(chan struct{})
			}
		}
	}
}

// stoppedError is the cancellation cause of a run that this host stopped.
type stoppedError StopReason

// Error includes the StopReason.
func (e stoppedError) Error() string { return "run stopped: " + string(e) }

func (d *Driver) run(ctx context.Context, c StartRun) {
	started := time.Now()
	upstream := connector.Upstream{
		ID: c.Engine.ID, Address: c.Engine.Address, Zone: c.Engine.Zone, Region: c.Engine.Region,
		Software: c.Engine.Software, StartedAt: c.Engine.StartedAt, Leaving: c.Engine.State == codec.HostStateLeaving,
	}
	events := 0
	var longest time.Duration
	last := started
	request := connector.ItemRun{
		Upstream: upstream, Host: c.Host, After: c.After,
		Customer: c.Customer, KeysRequired: d.config.Catalogue.Current().KeysRequired, Priority: c.Priority,
		OnEvent: func(event connector.RunEvent) error {
			events++
			now := time.Now()
			longest = max(longest, now.Sub(last))
			last = now
			d.handle(EventReceived{Run: c.Run, Event: event})
			return ctx.Err()
		},
	}
	// The run may have been stopped before it began.
	err := context.Cause(ctx)
	if err == nil {
		request.Item, err = d.itemOf(ctx, c)
	}
	if err == nil {
		err = d.config.Runner.Run(ctx, request)
	}
	d.mu.Lock()
	if stop, ok := d.stops[c.Run]; ok {
		stop(nil)
		delete(d.stops, c.Run)
	}
	d.apply(time.Now(), RunEnded{Run: c.Run, Err: err})
	d.mu.Unlock()
	d.logRun(c, runStats{duration: time.Since(started), events: events, longestInterval: longest}, err)
	if evidence := evidenceOf(err); evidence != "" {
		d.config.Upstreams.Report(c.Engine.ID, evidence)
	}
}

// runStats are the measurements of a run for its log line.
type runStats struct {
	duration        time.Duration
	events          int
	longestInterval time.Duration
}

func (d *Driver) logRun(c StartRun, stats runStats, err error) {
	line := d.config.Log.Info(logger.ItemRunEnded)
	if err != nil {
		line = d.config.Log.Warn(logger.ItemRunEnded).Str("failure", string(connector.FailureOf(err))).Err(err)
	}
	if c.Expected > 0 {
		line.Dur("expected", c.Expected)
	}
	line.Str("request", string(c.Item.ID)).Str("job", string(c.Job)).Str("upstream", string(c.Engine.ID)).
		Str("software", string(c.Engine.Software)).Uint64("run", uint64(c.Run)).Int64("after", int64(c.After)).Int("events", stats.events).
		Dur("took", stats.duration).Dur("longest_gap", stats.longestInterval).Send()
}

// evidenceOf returns the evidence that a run gives about the state of its engine, or "" if it gives none, as for a run that
// this host stopped.
func evidenceOf(err error) connector.Evidence {
	if err == nil {
		return connector.EvidenceResponded
	}
	switch connector.FailureOf(err) {
	case connector.FailureConnectFailed:
		return connector.EvidenceConnectFailed
	case connector.FailureLeaving:
		return connector.EvidenceLeaving
	case connector.FailureNotStarted:
		return connector.EvidenceRefused
	default:
		return ""
	}
}

// reward sends one reward call, with the retries that the route of the plain service allows, and handles its outcome. No further
// attempt is sent after the end of ctx.
func (d *Driver) reward(ctx context.Context, c StartReward) {
	event := RewardEnded{Job: c.Job, Item: c.Item}
	var entry codec.Entry
	routes, ok := d.config.Routes(), false
	if routes != nil {
		entry, ok = routes.Match(c.Call.Host, c.Call.Path)
	}
	if ok {
		event.Limit = defaultMaxAttempts
		if entry.Route.MaxAttempts > 0 {
			event.Limit = entry.Route.MaxAttempts
		}
		request := d.config.MakeReward(c.Call)
		request.Entry, request.Route = entry.Name, entry.Route
		request.Sound = true
		response, err := d.config.Rewards.Call(ctx, request)
		event.Failures = response.Failures
		if err == nil {
			event.Score = d.config.Score(response)
		}
	}
	line := d.config.Log.Info(logger.RewardEnded)
	if event.Score == "" && ctx.Err() == nil {
		line = d.config.Log.Warn(logger.RewardEnded)
	}
	line.Str("request", c.Call.ID).Str("job", string(c.Job)).Str("item", string(c.Item)).Bool("routed", ok).
		Int("failures", event.Failures).Bool("scored", event.Score != "").Bool("stopped", ctx.Err() != nil).Send()
	d.handle(event)
}

func (d *Driver) sleep(wait time.Duration) {
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-d.base.Done():
	case <-pause.C:
	}
}

func (d *Driver) stillOwns(h *ownedJob) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owned[h.head.ID] == h
}

// drop removes a job from this host's state, because another host owns it or it has expired, and caches its head.
func (d *Driver) drop(id identifier.BatchID, head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.owned[id]; ok {
		d.dropLocked(h, head)
	}
}

// dropLocked is drop with d.mu held.
func (d *Driver) dropLocked(h *ownedJob, head batchkeeper.Head) {
	id := h.head.ID
	d.execute(d.machine.Handle(time.Now(), JobDropped{Job: id}))
	close(h.changed)
	h.changed = make(chan struct{})
	h.memory.Release()
	delete(d.owned, id)
	d.headCache[id] = head
}
