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
	// warmUpSteps is the number of steps of each trainer before the measured ones.
	warmUpSteps = 12
	// runLimit bounds the virtual time of a run.
	runLimit = 12 * time.Hour

	// Lengths are log-normal, in tokens; lengthSpread is the standard deviation of their logarithm.
	medianLength = 300
	lengthSpread = 0.8
	maxLength    = 2048
	// meanSamples is the number of lengths drawn to compute their mean.
	meanSamples = 200_000
)

// policy is a state machine that schedules generation and is measured.
type policy interface {
	Handle(now time.Time, event scheduler.Event) []scheduler.Command
}

// Result has the results of one run.
type Result struct {
	// IdleShare is the share of the measured time in which a trainer waits for samples, as the mean over the trainers.
	IdleShare float64
	// Staleness has, for each sample, how many weight versions its oldest token is behind the trainer at delivery.
	Staleness *hdrhistogram.Histogram
	// Useful is the share of delivered tokens among all generated ones, without those of samples that are unfinished or
	// not yet delivered when the run ends.
	Useful float64
	// Requested has the lengths drawn for the first attempts of the delivered slots, Delivered those of the samples.
	Requested *hdrhistogram.Histogram
	Delivered *hdrhistogram.Histogram
	// Duplicates counts second attempts beside a slow one, TooOld the samples and attempts discarded as too old.
	Duplicates int
	TooOld     int
	// StepTime is the mean time of a measured step.
	StepTime time.Duration
}

// trainer is a simulated trainer, which reads steps, trains and publishes weights.
type trainer struct {
	name     identifier.EntryName
	step     identifier.StepNumber
	declared identifier.StepNumber
	version  identifier.WeightVersion
	cursor   string
	// waitingSince is when the trainer began to wait for the current step, idle the sum of its waits in the measured
	// steps.
	waitingSince time.Time
	idle         time.Duration
	// measuredFrom and ended limit the measured steps.
	measuredFrom time.Time
	ended        time.Time
}

// run is one simulation in virtual time.
type run struct {
	scenario Scenario
	queue    *queue
	fleet    *fleet
	policy   policy
	trainers map[identifier.EntryName]*trainer
	// pageRequests has the trainers that wait for the response to a page request.
	pageRequests map[scheduler.PageID]*trainer
	nextPage     scheduler.PageID
	// training is the time that a trainer takes to train on a step.
	training time.Duration
	seed     uint64

	deliveredTokens identifier.Tokens
	result          Result
}

// Run simulates one scenario with one seed. It returns an error if not all steps are delivered within 12 virtual hours.
func Run(scenario Scenario, seed uint64) (Result, error) {
	r := newRun(scenario, seed)
	for _, name := range sortedNames(r.trainers) {
		r.begin(r.trainers[name])
	}
	if !r.queue.runUntil(runLimit, r.done) {
		return Result{}, fmt.Errorf("%s, seed %d: not all steps were delivered within %s of virtual time", scenario.Name(), seed, runLimit)
	}
	r.summarize()
	return r.result, nil
}

func newRun(scenario Scenario, seed uint64) *run {
	q := newQueue()
	r := &run{
		scenario: scenario, queue: q, seed: seed,
		trainers:     make(map[identifier.EntryName]*trainer),
		pageRequests: make(map[scheduler.PageID]*trainer),
		training:     scenario.trainingTime(),
		result: Result{
			Staleness: hdrhistogram.New(1, 1000, 3),
			Requested: hdrhistogram.New(1, maxLength, 3),
			Delivered: hdrhistogram.New(1, maxLength, 3),
		},
	}
	r.fleet = newFleet(q, rand.New(rand.NewPCG(seed, 1)), scenario.Placement, scenario.Deployment.Engines)
	r.fleet.lengthOf = r.length
	r.fleet.emit = r.emit
	r.policy = r.newPolicy(seed)
	for i := range scenario.Deployment.Trainers {
		name := identifier.EntryName(fmt.Sprintf("trainer-%d", i))
		r.trainers[name] = &trainer{name: name, step: 1, version: 1}
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

// length draws the length of an attempt. Engines that honour seeds draw the same one for each attempt of a slot.
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
	return identifier.Tokens(min(max(length, 1), maxLength))
}

// meanLength returns the mean of lengths drawn with a fixed seed.
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
		r.execute(command)
	}
}

func (r *run) execute(command scheduler.Command) {
	switch c := command.(type) {
	case scheduler.StartGeneration:
		r.fleet.start(c)
	case scheduler.CancelGeneration:
		r.fleet.cancel(c.Ref)
	case scheduler.StartScore:
		r.queue.after(scoreLatency, func() { r.emit(scheduler.Scored{Ref: c.Ref}) })
	case scheduler.ReplyPage:
		r.queue.after(pageLatency, func() { r.receivePage(c) })
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

// begin declares steps, as far ahead as the policy allows, and requests the first page of the current one.
func (r *run) begin(t *trainer) {
	t.waitingSince = r.queue.now
	last := t.step
	if r.scenario.Policy == RunAhead {
		last += identifier.StepNumber(r.scenario.Deployment.Bound)
	}
	for t.declared < last {
		t.declared++
		r.emit(scheduler.StepDeclared{Trainer: t.name, Declaration: r.declaration(t)})
	}
	r.requestPage(t)
}

func (r *run) declaration(t *trainer) codec.StepDeclaration {
	d := r.scenario.Deployment
	return codec.StepDeclaration{
		Step: t.declared, GroupSize: d.GroupSize, Prompts: make([]string, d.Groups), WeightVersion: t.version,
	}
}

func (r *run) requestPage(t *trainer) {
	r.nextPage++
	r.pageRequests[r.nextPage] = t
	r.emit(scheduler.PageRequested{
		ID: r.nextPage, Trainer: t.name, Step: t.step, Cursor: t.cursor, Version: t.version, Until: r.queue.now.Add(pageWait),
	})
}

func (r *run) receivePage(reply scheduler.ReplyPage) {
	t := r.pageRequests[reply.ID]
	delete(r.pageRequests, reply.ID)
	for _, sample := range reply.Page.Samples {
		r.recordSample(t, sample)
	}
	t.cursor = reply.Page.NextCursor
	if !reply.Page.Complete {
		r.queue.after(pageLatency, func() { r.requestPage(t) })
		return
	}
	r.endStep(t)
}

// recordSample adds a delivered sample to the result if its step is measured.
func (r *run) recordSample(t *trainer, sample codec.Sample) {
	r.deliveredTokens += sample.Tokens
	if t.step <= warmUpSteps || !t.ended.IsZero() {
		return
	}
	slot := sample.Group*r.scenario.Deployment.GroupSize + sample.Index
	first := scheduler.Ref{Trainer: t.name, Step: t.step, Slot: slot, Attempt: 1}
	_ = r.result.Delivered.RecordValue(int64(sample.Tokens))
	_ = r.result.Requested.RecordValue(int64(r.length(first, 0)))
	_ = r.result.Staleness.RecordValue(labeler.Staleness(sample.Segments, t.version))
}

func (r *run) endStep(t *trainer) {
	if t.step == warmUpSteps {
		t.measuredFrom = r.queue.now
	}
	if t.step > warmUpSteps && t.ended.IsZero() {
		t.idle += r.queue.now.Sub(t.waitingSince)
	}
	if t.step == identifier.StepNumber(warmUpSteps+r.scenario.Steps) {
		t.ended = r.queue.now
	}
	t.step++
	t.cursor = ""
	r.queue.after(r.training, func() { r.publish(t) })
}

// publish announces new weights and begins the next step; with the synchronous policy only when all engines serve them.
func (r *run) publish(t *trainer) {
	t.version++
	r.emit(scheduler.WeightsAnnounced{Trainer: t.name, Version: t.version})
	r.fleet.swap(t.name, t.version)
	t.waitingSince = r.queue.now
	r.beginWhenReady(t, r.queue.now)
}

func (r *run) beginWhenReady(t *trainer, since time.Time) {
	if r.scenario.Policy == Synchronous && !r.fleet.servingAll(t.name, t.version) {
		r.queue.after(tickInterval, func() { r.beginWhenReady(t, since) })
		return
	}
	r.begin(t)
	t.waitingSince = since
}

func (r *run) done() bool {
	for _, t := range r.trainers {
		if t.ended.IsZero() {
			return false
		}
	}
	return true
}

func (r *run) summarize() {
	var unfinished identifier.Tokens
	for _, s := range r.fleet.unfinished {
		unfinished += s.tokens
	}
	for _, t := range r.trainers {
		total := t.ended.Sub(t.measuredFrom)
		r.result.IdleShare += t.idle.Seconds() / total.Seconds() / float64(len(r.trainers))
		r.result.StepTime += total / time.Duration(r.scenario.Steps*len(r.trainers))
		unfinished += r.undelivered(t)
	}
	r.result.Useful = float64(r.deliveredTokens) / float64(r.fleet.producedTokens-unfinished)
}

// undelivered returns the tokens of a trainer's finished samples that are not yet delivered.
func (r *run) undelivered(t *trainer) identifier.Tokens {
	var tokens identifier.Tokens
	switch p := r.policy.(type) {
	case *scheduler.Scheduler:
		for step := t.step; step <= t.declared; step++ {
			for _, sample := range p.Finished(t.name, step) {
				tokens += sample.Tokens
			}
		}
	case *synchronous:
		for _, sample := range p.steps[t.name].samples {
			if p.steps[t.name].declaration.Step >= t.step {
				tokens += sample.Tokens
			}
		}
	}
	return tokens
}

func sortedNames[V any](m map[identifier.EntryName]V) []identifier.EntryName {
	return slices.Sorted(maps.Keys(m))
}
