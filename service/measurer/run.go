package measurer

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/labeler"
	"celerygap.example/service/scheduler"
)

const (
	pageLatency  = 15 * time.Millisecond
	pageWait     = 10 * time.Second
	scoreLatency = 300 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// warmUp is the number of steps before the measured ones.
	warmUp   = 12
	runLimit = 12 * time.Hour

	// Lengths are log-normal, in tokens.
	medianLength = 300
	lengthSpread = 0.8
	longest      = 2048
	meanSamples  = 200_000
)

// policy is a scheduling decision under measurement.
type policy interface {
	Handle(now time.Time, event scheduler.Event) []scheduler.Command
}

// Result has the figures of one run.
type Result struct {
	// IdleShare is the mean over the trainers of waiting time over total time.
	IdleShare float64
	// Staleness has the versions between a sample's oldest token and its delivery.
	Staleness *hdrhistogram.Histogram
	// Useful is the share of delivered tokens among the tokens produced for slots that need no further work.
	Useful float64
	// Requested and Delivered have the lengths that were drawn for the slots and those that were delivered.
	Requested *hdrhistogram.Histogram
	Delivered *hdrhistogram.Histogram
	// Duplicates, TooOld and StepTime describe what happened.
	Duplicates int
	TooOld     int
	StepTime   time.Duration
}

// client is a trainer that reads steps, trains and publishes weights.
type client struct {
	name     identifier.EntryName
	step     identifier.StepNumber
	declared identifier.StepNumber
	version  identifier.WeightVersion
	cursor   string
	since    time.Time
	idle     time.Duration
	began    time.Time
	ended    time.Time
}

// run is one simulated time line.
type run struct {
	scenario Scenario
	queue    *queue
	fleet    *fleet
	policy   policy
	clients  map[identifier.EntryName]*client
	asked    map[scheduler.PageID]*client
	nextPage scheduler.PageID
	training time.Duration
	seed     uint64

	delivered identifier.Tokens
	result    Result
}

// Run measures one scenario with one seed.
func Run(scenario Scenario, seed uint64) (Result, error) {
	r := newRun(scenario, seed)
	for _, name := range sortedNames(r.clients) {
		r.begin(r.clients[name])
	}
	if !r.queue.runUntil(runLimit, r.done) {
		return Result{}, fmt.Errorf("%s, seed %d: not all steps were delivered in %s", scenario.Name(), seed, runLimit)
	}
	r.summarize()
	return r.result, nil
}

func newRun(scenario Scenario, seed uint64) *run {
	q := newQueue()
	r := &run{
		scenario: scenario, queue: q, seed: seed,
		clients:  make(map[identifier.EntryName]*client),
		asked:    make(map[scheduler.PageID]*client),
		training: scenario.trainingTime(),
		result: Result{
			Staleness: hdrhistogram.New(1, 1000, 3),
			Requested: hdrhistogram.New(1, longest, 3),
			Delivered: hdrhistogram.New(1, longest, 3),
		},
	}
	r.fleet = newFleet(q, rand.New(rand.NewPCG(seed, 1)), scenario.Placement, scenario.Deployment.Engines)
	r.fleet.lengthOf = r.length
	r.fleet.emit = r.emit
	r.policy = r.newPolicy(seed)
	for i := range scenario.Deployment.Trainers {
		name := identifier.EntryName(fmt.Sprintf("trainer-%d", i))
		r.clients[name] = &client{name: name, step: 1, version: 1}
		r.emit(scheduler.TrainerConfigured{Trainer: name, Settings: scenario.Deployment.settings()})
		for _, e := range r.fleet.engines {
			e.serving[name] = 1
		}
	}
	if scenario.Condition == Crashes {
		r.fleet.crashEveryMinute()
	}
	r.tick()
	return r
}

func (r *run) newPolicy(seed uint64) policy {
	slots := r.scenario.Deployment.Engines * engineSlots
	if r.scenario.Policy == Synchronous {
		return newSynchronous(slots)
	}
	config := scheduler.DefaultConfig(rand.New(rand.NewPCG(seed, 2)))
	config.MaxRunning = slots
	return scheduler.New(config)
}

// length draws the length of a slot. An engine that honours seeds draws the same one for each attempt.
func (r *run) length(ref scheduler.Ref, _ int64) identifier.Tokens {
	if r.scenario.HonourSeeds {
		ref.Attempt = 1
	}
	digest := fnv.New64a()
	_, _ = fmt.Fprintf(digest, "%d/%v", r.seed, ref)
	return drawLength(rand.New(rand.NewPCG(digest.Sum64(), r.seed)))
}

func drawLength(random *rand.Rand) identifier.Tokens {
	length := medianLength * math.Exp(random.NormFloat64()*lengthSpread)
	return identifier.Tokens(min(max(length, 1), longest))
}

// meanLength returns the mean of the drawn lengths, from a fixed sample.
func meanLength() float64 {
	random := rand.New(rand.NewPCG(1, 1))
	var sum identifier.Tokens
	for range meanSamples {
		sum += drawLength(random)
	}
	return float64(sum) / meanSamples
}

func (r *run) tick() {
	r.queue.after(tickInterval, func() {
		r.emit(scheduler.Tick{})
		r.tick()
	})
}

func (r *run) emit(event scheduler.Event) {
	for _, command := range r.policy.Handle(r.queue.now, event) {
		r.perform(command)
	}
}

func (r *run) perform(command scheduler.Command) {
	switch c := command.(type) {
	case scheduler.StartGeneration:
		r.fleet.start(c)
	case scheduler.CancelGeneration:
		r.fleet.cancel(c.Ref)
	case scheduler.StartScore:
		r.queue.after(scoreLatency, func() { r.emit(scheduler.Scored{Ref: c.Ref}) })
	case scheduler.ReplyPage:
		r.queue.after(pageLatency, func() { r.receive(c) })
	case scheduler.Retried:
		r.count(c)
	}
}

func (r *run) count(c scheduler.Retried) {
	switch c.Reason {
	case "straggler_duplicate":
		r.result.Duplicates++
	case "sample_too_old":
		r.result.TooOld++
	}
}

// begin declares the next steps and asks for the first page of the present one.
func (r *run) begin(c *client) {
	c.since = r.queue.now
	last := c.step
	if r.scenario.Policy == RunAhead {
		last += identifier.StepNumber(r.scenario.Deployment.Bound)
	}
	for c.declared < last {
		c.declared++
		r.emit(scheduler.StepDeclared{Trainer: c.name, Declaration: r.declaration(c)})
	}
	r.fetch(c)
}

func (r *run) declaration(c *client) codec.StepDeclaration {
	d := r.scenario.Deployment
	return codec.StepDeclaration{
		Step: c.declared, GroupSize: d.GroupSize, Prompts: make([]string, d.Groups), WeightVersion: c.version,
	}
}

func (r *run) fetch(c *client) {
	r.nextPage++
	r.asked[r.nextPage] = c
	r.emit(scheduler.PageAsked{
		ID: r.nextPage, Trainer: c.name, Step: c.step, Cursor: c.cursor, Version: c.version, Until: r.queue.now.Add(pageWait),
	})
}

func (r *run) receive(reply scheduler.ReplyPage) {
	c := r.asked[reply.ID]
	delete(r.asked, reply.ID)
	for _, sample := range reply.Page.Samples {
		r.take(c, sample)
	}
	c.cursor = reply.Page.NextCursor
	if !reply.Page.Complete {
		r.queue.after(pageLatency, func() { r.fetch(c) })
		return
	}
	r.endStep(c)
}

func (r *run) take(c *client, sample codec.Sample) {
	r.delivered += sample.Tokens
	if c.step <= warmUp || !c.ended.IsZero() {
		return
	}
	slot := sample.Group*r.scenario.Deployment.GroupSize + sample.Index
	first := scheduler.Ref{Trainer: c.name, Step: c.step, Slot: slot, Attempt: 1}
	_ = r.result.Delivered.RecordValue(int64(sample.Tokens))
	_ = r.result.Requested.RecordValue(int64(r.length(first, 0)))
	_ = r.result.Staleness.RecordValue(labeler.Staleness(sample.Segments, c.version))
}

func (r *run) endStep(c *client) {
	if c.step == warmUp {
		c.began = r.queue.now
	}
	if c.step > warmUp && c.ended.IsZero() {
		c.idle += r.queue.now.Sub(c.since)
	}
	if c.step == identifier.StepNumber(warmUp+r.scenario.Steps) {
		c.ended = r.queue.now
	}
	c.step++
	c.cursor = ""
	r.queue.after(r.training, func() { r.publish(c) })
}

// publish announces new weights. The synchronous trainer waits until all engines serve them.
func (r *run) publish(c *client) {
	c.version++
	r.emit(scheduler.WeightsAnnounced{Trainer: c.name, Version: c.version})
	r.fleet.swap(c.name, c.version)
	c.since = r.queue.now
	r.beginWhenReady(c, r.queue.now)
}

func (r *run) beginWhenReady(c *client, since time.Time) {
	if r.scenario.Policy == Synchronous && !r.fleet.servingAll(c.name, c.version) {
		r.queue.after(tickInterval, func() { r.beginWhenReady(c, since) })
		return
	}
	r.begin(c)
	c.since = since
}

func (r *run) done() bool {
	for _, c := range r.clients {
		if c.ended.IsZero() {
			return false
		}
	}
	return true
}

func (r *run) summarize() {
	var unfinished identifier.Tokens
	for _, s := range r.fleet.live {
		unfinished += s.tokens
	}
	for _, c := range r.clients {
		total := c.ended.Sub(c.began)
		r.result.IdleShare += c.idle.Seconds() / total.Seconds() / float64(len(r.clients))
		r.result.StepTime += total / time.Duration(r.scenario.Steps*len(r.clients))
		unfinished += r.held(c)
	}
	r.result.Useful = float64(r.delivered) / float64(r.fleet.produced-unfinished)
}

// held returns the tokens of finished samples that still wait for delivery.
func (r *run) held(c *client) identifier.Tokens {
	var tokens identifier.Tokens
	switch p := r.policy.(type) {
	case *scheduler.Scheduler:
		for step := c.step; step <= c.declared; step++ {
			for _, sample := range p.Finished(c.name, step) {
				tokens += sample.Tokens
			}
		}
	case *synchronous:
		for _, sample := range p.steps[c.name].samples {
			if p.steps[c.name].declaration.Step >= c.step {
				tokens += sample.Tokens
			}
		}
	}
	return tokens
}

func sortedNames[V any](m map[identifier.EntryName]V) []identifier.EntryName {
	return slices.Sorted(maps.Keys(m))
}
