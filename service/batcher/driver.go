package batcher

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
)

const (
	// tickInterval is how late a decision about time may be.
	tickInterval = 50 * time.Millisecond
	// DefaultSettleTime covers the time in which hosts that start together find each other.
	DefaultSettleTime = 4 * time.Second
	// DefaultReviewInterval keeps the reviews, beside those after a change of members, to few calls to the store.
	DefaultReviewInterval = 3 * time.Second
	// frozenAfter is the pause of this process after which it may have lost jobs.
	frozenAfter = time.Second
	// appendPause is the wait before a write of results is repeated; firstAppendPause the one after the first failure.
	firstAppendPause = 100 * time.Millisecond
	appendPause      = 500 * time.Millisecond
	// pageBytes bounds a page of results.
	pageBytes identifier.Bytes = 900 << 10
)

// DriverConfig configures a Driver.
type DriverConfig struct {
	Self codec.Member
	// Incarnation tells this process from earlier ones of the host.
	Incarnation identifier.Incarnation
	Keeper      *batchkeeper.Keeper
	Runner      connector.ItemRunner
	// Rewards sends the reward calls.
	Rewards connector.PlainCaller
	// Match finds the route of a request.
	Match func(host, path string) (codec.Entry, bool)
	// MakeReward turns a reward call into a request; Score reads the score from its response.
	MakeReward func(codec.RewardCall) connector.PlainRequest
	Score      func(connector.PlainResponse) string
	Catalogue  connector.Catalogue
	Upstreams  connector.Upstreams
	Members    connector.Members
	// MembersChanged gets a value after the live hosts changed.
	MembersChanged <-chan struct{}
	Peers          connector.Peers
	Timer          *timer.Service
	Log            *logger.Logger
	// KeepResults is how long results are kept after a job was submitted.
	KeepResults time.Duration
	// SettleTime is how long after its start a host leaves the jobs of others alone: until it knows the other hosts,
	// every owner seems to be gone. ReviewInterval is the time between two looks for jobs whose owner is gone. Zero
	// means the defaults.
	SettleTime     time.Duration
	ReviewInterval time.Duration
}

// Driver owns a Batcher and implements connector.Batches.
type Driver struct {
	config  DriverConfig
	work    *grouper.Group
	reviews chan struct{}
	// exact asks the next review for a list that is not stale.
	exact     atomic.Bool
	startedAt time.Time

	mu      sync.Mutex
	machine *Batcher
	held    map[identifier.BatchID]*holding
	stops   map[RunID]context.CancelCauseFunc
	// owners remembers the heads of jobs that other hosts own.
	owners   map[identifier.BatchID]batchkeeper.Head
	chains   map[identifier.BatchID]*chain
	draining bool
	base     context.Context
	cancel   context.CancelFunc
}

// holding is what the driver keeps of a job that this host owns.
type holding struct {
	head   batchkeeper.Head
	job    codec.BatchJob
	chunks int
	// texts is the number of chunks of saved texts.
	texts int
	// changed is closed and replaced whenever the list of results grows or the job ends.
	changed chan struct{}
	// appending is held by the one write of results that may be on its way.
	appending sync.Mutex
}

var _ connector.Batches = (*Driver)(nil)

// NewDriver returns a Driver and registers its methods with the peers.
func NewDriver(config DriverConfig) *Driver {
	config.SettleTime = cmp.Or(config.SettleTime, DefaultSettleTime)
	config.ReviewInterval = cmp.Or(config.ReviewInterval, DefaultReviewInterval)
	base, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), reviews: make(chan struct{}, 1), machine: New(),
		held: make(map[identifier.BatchID]*holding), stops: make(map[RunID]context.CancelCauseFunc),
		owners: make(map[identifier.BatchID]batchkeeper.Head), chains: make(map[identifier.BatchID]*chain),
		base: base, cancel: cancel, startedAt: time.Now(),
	}
	d.exact.Store(true)
	config.Peers.Handle(methodSubmit, d.serveSubmit)
	config.Peers.Handle(methodTake, d.serveTake)
	config.Peers.Handle(methodRead, d.serveRead)
	config.Peers.Handle(methodBody, d.serveBody)
	config.Peers.Handle(methodEnd, d.serveEnd)
	config.Peers.Handle(methodOwner, d.serveOwner)
	return d
}

// EnginesChanged takes over the usable engines of all pools.
func (d *Driver) EnginesChanged(engines map[identifier.PoolName][]codec.ListedHost) {
	d.handle(EnginesChanged{Engines: engines})
}

// Run advances the time of the state machine and looks after jobs whose owner is gone, until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.cancel()
	ticks, stopTicks := d.config.Timer.Subscribe(tickInterval)
	defer stopTicks()
	reviews, stopReviews := d.config.Timer.Subscribe(d.config.ReviewInterval)
	defer stopReviews()
	catalogues := d.config.Catalogue.Subscribe()
	d.work.Go(func() { d.reviewLoop(ctx) })
	d.askReview()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			if pauseBetween(lastTick, now) > frozenAfter {
				d.exact.Store(true)
				d.askReview()
			}
			lastTick = now
			d.tick()
		case <-catalogues:
			d.applyRoutes()
		case <-reviews:
			d.askReview()
		case <-d.config.MembersChanged:
			d.askReview()
		}
	}
}

// pauseBetween is the time between two ticks, by the time of day if that is longer: the monotonic clock stands still while
// a machine is suspended.
func pauseBetween(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// tick is skipped while this host owns no job, so that an idle host does not work 20 times a second.
func (d *Driver) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.held) > 0 {
		d.perform(d.machine.Handle(time.Now(), Tick{}))
	}
}

func (d *Driver) applyRoutes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.machine.Handle(time.Now(), d.routes()))
}

// routes finds the entry in effect of each job that this host owns; the mutex must be held.
func (d *Driver) routes() RoutesChanged {
	event := RoutesChanged{Entries: make(map[identifier.BatchID]codec.Entry, len(d.held))}
	for id, h := range d.held {
		if entry, ok := d.config.Match(h.job.Host, h.job.Path); ok && entry.Batch != nil {
			event.Entries[id] = entry
		}
	}
	return event
}

func (d *Driver) handle(event Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.machine.Handle(time.Now(), event))
}

// perform carries out commands; the mutex must be held, so nothing here may wait.
func (d *Driver) perform(commands []Command) {
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
			d.work.Go(func() { d.reward(c) })
		case Append:
			if h, ok := d.held[c.Job]; ok {
				d.work.Go(func() { d.appendResults(h, c) })
			}
		case SaveTexts:
			if h, ok := d.held[c.Job]; ok {
				number := h.texts
				d.work.Go(func() { d.saveTexts(h, c, number) })
			}
		case Changed:
			if h, ok := d.held[c.Job]; ok {
				close(h.changed)
				h.changed = make(chan struct{})
			}
		}
	}
}

// stoppedError is the cause of a run that this host ended.
type stoppedError StopReason

// Error returns the reason.
func (e stoppedError) Error() string { return "run stopped: " + string(e) }

func (d *Driver) run(ctx context.Context, c StartRun) {
	started := time.Now()
	upstream := connector.Upstream{
		ID: c.Engine.ID, Address: c.Engine.Address, Zone: c.Engine.Zone, Region: c.Engine.Region,
		Leaving: c.Engine.State == codec.HostStateLeaving,
	}
	events := 0
	var longest time.Duration
	last := started
	err := d.config.Runner.Run(ctx, connector.ItemRun{
		Upstream: upstream, Item: c.Item, Host: c.Host, After: c.After,
		OnEvent: func(event connector.RunEvent) error {
			events++
			now := time.Now()
			longest = max(longest, now.Sub(last))
			last = now
			d.handle(EventReceived{Run: c.Run, Event: event})
			return ctx.Err()
		},
	})
	d.mu.Lock()
	if stop, ok := d.stops[c.Run]; ok {
		stop(nil)
		delete(d.stops, c.Run)
	}
	d.perform(d.machine.Handle(time.Now(), RunEnded{Run: c.Run, Err: err}))
	d.mu.Unlock()
	d.logRun(c, runFigures{took: time.Since(started), events: events, longestGap: longest}, err)
	if evidence := evidenceOf(err); evidence != "" {
		d.config.Upstreams.Report(c.Engine.ID, evidence)
	}
}

// runFigures are what a run's log line tells of its course.
type runFigures struct {
	took       time.Duration
	events     int
	longestGap time.Duration
}

func (d *Driver) logRun(c StartRun, figures runFigures, err error) {
	line := d.config.Log.Info(logger.ItemRunEnded)
	if err != nil {
		line = d.config.Log.Warn(logger.ItemRunEnded).Str("failure", string(connector.FailureOf(err))).Err(err)
	}
	line.Str("request", string(c.Item.ID)).Str("job", string(c.Job)).Str("upstream", string(c.Engine.ID)).
		Uint64("run", uint64(c.Run)).Int64("after", int64(c.After)).Int("events", figures.events).
		Dur("took", figures.took).Dur("longest_gap", figures.longestGap).Send()
}

// evidenceOf says what a run showed about its engine; a run that this host ended shows nothing.
func evidenceOf(err error) connector.Evidence {
	if err == nil {
		return connector.EvidenceResponded
	}
	switch connector.FailureOf(err) {
	case connector.FailureConnect:
		return connector.EvidenceConnectFailed
	case connector.FailureLeaving:
		return connector.EvidenceLeaving
	case connector.FailureNotStarted:
		return connector.EvidenceRefused
	default:
		return ""
	}
}

// reward sends one reward call; the plain services' own rules on retries apply to it.
func (d *Driver) reward(c StartReward) {
	event := RewardEnded{Job: c.Job, Item: c.Item}
	entry, ok := d.config.Match(c.Call.Host, c.Call.Path)
	if ok {
		event.Limit = defaultMaxAttempts
		if entry.Route.MaxAttempts > 0 {
			event.Limit = entry.Route.MaxAttempts
		}
		request := d.config.MakeReward(c.Call)
		request.Entry = entry.Name
		response, err := d.config.Rewards.Call(d.base, request)
		event.Failures = response.Failures
		if err == nil {
			event.Score = d.config.Score(response)
		}
	}
	line := d.config.Log.Info(logger.RewardEnded)
	if event.Score == "" {
		line = d.config.Log.Warn(logger.RewardEnded)
	}
	line.Str("request", c.Call.ID).Str("job", string(c.Job)).Str("item", string(c.Item)).Bool("routed", ok).
		Int("failures", event.Failures).Bool("scored", event.Score != "").Send()
	d.handle(event)
}

// appendResults writes results until the store holds them or another host's chunk stands in their place.
func (d *Driver) appendResults(h *holding, c Append) {
	h.appending.Lock()
	defer h.appending.Unlock()
	chunk := codec.BatchChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Results: c.Results}
	wait := firstAppendPause
	for d.base.Err() == nil && d.holds(h) {
		d.mu.Lock()
		number := h.chunks
		d.mu.Unlock()
		err := d.config.Keeper.Append(d.base, c.Job, number, chunk)
		if err == nil {
			d.mu.Lock()
			h.chunks++
			d.perform(d.machine.Handle(time.Now(), Appended{Job: c.Job}))
			d.mu.Unlock()
			d.config.Log.Info(logger.ResultsListed).Str("job", string(c.Job)).Int("chunk", number).Int("results", len(c.Results)).Send()
			return
		}
		if taken, ok := asTaken(err); ok {
			d.resolveTaken(h, taken)
			return
		}
		d.config.Log.Warn(logger.ResultsNotListed).Str("job", string(c.Job)).Int("chunk", number).Err(err).Send()
		d.sleep(wait)
		wait = min(2*wait, appendPause)
	}
}

// saveTexts writes a chunk of unfinished texts until the store holds it or another host has written in its place.
func (d *Driver) saveTexts(h *holding, c SaveTexts, number int) {
	chunk := codec.TextChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Texts: c.Texts}
	wait := firstAppendPause
	for d.base.Err() == nil && d.holds(h) {
		err := d.config.Keeper.AppendTexts(d.base, c.Job, number, chunk)
		if err == nil {
			d.mu.Lock()
			h.texts = number + 1
			d.perform(d.machine.Handle(time.Now(), TextsSaved{Job: c.Job}))
			d.mu.Unlock()
			return
		}
		if _, ok := asTaken(err); ok {
			d.config.Log.Warn(logger.TextsNotSaved).Str("job", string(c.Job)).Int("chunk", number).Err(err).Msg("another host saves texts of this job")
			d.handle(SavingEnded{Job: c.Job})
			return
		}
		d.config.Log.Warn(logger.TextsNotSaved).Str("job", string(c.Job)).Int("chunk", number).Err(err).Send()
		d.sleep(wait)
		wait = min(2*wait, appendPause)
	}
}

func (d *Driver) sleep(wait time.Duration) {
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-d.base.Done():
	case <-pause.C:
	}
}

func (d *Driver) holds(h *holding) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held[h.head.ID] == h
}

// resolveTaken reads the head and the list again after another host has appended: the head says who owns the job.
func (d *Driver) resolveTaken(h *holding, taken *batchkeeper.TakenError) {
	id := h.head.ID
	for d.base.Err() == nil && d.holds(h) {
		head, err := d.config.Keeper.Head(d.base, id)
		if err != nil {
			d.sleep(appendPause)
			continue
		}
		if !d.owns(head) {
			d.config.Log.Warn(logger.JobLost).Str("job", string(id)).Str("owner", string(head.Owner)).Err(taken).Send()
			d.drop(id, head)
			return
		}
		results, chunks, err := d.readChain(d.base, id)
		if err != nil {
			d.sleep(appendPause)
			continue
		}
		d.mu.Lock()
		h.head = head
		h.chunks = chunks
		d.perform(d.machine.Handle(time.Now(), Superseded{Job: id, Results: results}))
		d.mu.Unlock()
		return
	}
}

// drop forgets a job that another host owns.
func (d *Driver) drop(id identifier.BatchID, head batchkeeper.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.held[id]
	if !ok {
		return
	}
	d.perform(d.machine.Handle(time.Now(), JobDropped{Job: id}))
	close(h.changed)
	h.changed = make(chan struct{})
	delete(d.held, id)
	d.owners[id] = head
}

// home is the live host that should own new jobs of a model, so that its jobs share one view of their engines.
func (d *Driver) home(job codec.BatchJob, without ...identifier.HostID) codec.Member {
	key := string(job.Model)
	if key == "" {
		key = string(job.ID)
	}
	return d.homeOf(key, without...)
}

func (d *Driver) homeOf(key string, without ...identifier.HostID) codec.Member {
	home, ok := elector.Choose(key, d.config.Members.Live(), without...)
	if !ok {
		return d.config.Members.Self()
	}
	return home
}

func (d *Driver) liveMember(id identifier.HostID) (codec.Member, bool) {
	return elector.Find(id, d.config.Members.Live())
}
