package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/deliverer"
)

// Config configures a Scheduler.
type Config struct {
	// MaxRunning is the largest number of generations that run at the same time.
	MaxRunning int
	// MaxScoring is the largest number of calls to scorers that run at the same time.
	MaxScoring int
	// Page limits the size of pages.
	Page deliverer.Config
	// StragglerShare is the share of a step that must be done before its slow slots get a duplicate attempt.
	StragglerShare float64
	// StragglerFactor times the median chunk interval is the time without a chunk after which a slot counts as slow.
	StragglerFactor float64
	// StragglerFloor is the shortest time without a chunk after which a slot counts as slow.
	StragglerFloor time.Duration
	// Retention is how long a delivered step is kept after its last page request, in case that request is repeated.
	Retention time.Duration
	// RetryDelay is the delay before the first retry of a failed attempt; it doubles with each failure up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// Rand supplies the jitter of retry delays.
	Rand *rand.Rand
}

// DefaultConfig returns the configuration with which a celerygap host runs; random supplies the jitter.
func DefaultConfig(random *rand.Rand) Config {
	const (
		maxRunning      = 512
		maxScoring      = 64
		pageSamples     = 256
		pageBytes       = identifier.Bytes(1 << 20)
		stragglerShare  = 0.9
		stragglerFactor = 3
		stragglerFloor  = 2 * time.Second
		retention       = 10 * time.Minute
		retryDelay      = 200 * time.Millisecond
		maxRetryDelay   = 15 * time.Second
	)
	return Config{
		MaxRunning:      maxRunning,
		MaxScoring:      maxScoring,
		Page:            deliverer.Config{MaxSamples: pageSamples, MaxBytes: pageBytes},
		StragglerShare:  stragglerShare,
		StragglerFactor: stragglerFactor,
		StragglerFloor:  stragglerFloor,
		Retention:       retention,
		RetryDelay:      retryDelay,
		MaxRetryDelay:   maxRetryDelay,
		Rand:            random,
	}
}

// Settings are the settings of one trainer from the catalogue.
type Settings struct {
	ModelEntry     identifier.EntryName
	ScorerEntry    identifier.EntryName
	StalenessBound int64
	IdleWeight     float64
	MaxTokens      identifier.Tokens
	// Share is the trainer's weight among the trainers of this host.
	Share float64
	// MaxRunning is the largest number of running generations of the trainer; zero means no limit besides Config.MaxRunning.
	MaxRunning int
	// Deadline is the longest duration of one generation; zero means no limit.
	Deadline time.Duration
}

// Scheduler is the state machine that decides when each slot of the declared steps is generated, scored and delivered.
// A slot is the place of one sample in a step. Its methods must not be called concurrently.
type Scheduler struct {
	config    Config
	deliverer *deliverer.Deliverer
	trainers  map[identifier.EntryName]*trainer
	// running has each attempt whose end has not been reported. Cancelled attempts are included, because they occupy an
	// engine until they end.
	running map[Ref]*attempt
	// scoring has each call to a scorer whose end has not been reported.
	scoring  map[Ref]*attempt
	waiting  []*waiter
	commands []Command
}

// New returns a scheduler without trainers.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:    config,
		deliverer: deliverer.New(config.Page),
		trainers:  make(map[identifier.EntryName]*trainer),
		running:   make(map[Ref]*attempt),
		scoring:   make(map[Ref]*attempt),
	}
}

// Handle applies one event and returns the commands that follow from it.
func (s *Scheduler) Handle(now time.Time, event Event) []Command {
	s.commands = nil
	refill := s.apply(now, event)
	if refill {
		s.replyWaiting(now)
		s.fill(now)
	}
	return s.commands
}

// apply applies one event and reports whether Handle must then reply to waiting page requests and start work.
func (s *Scheduler) apply(now time.Time, event Event) bool {
	switch e := event.(type) {
	case TrainerConfigured:
		s.trainer(e.Trainer).configure(e.Settings)
	case TrainerRemoved:
		s.remove(e.Trainer)
	case StepDeclared:
		s.declare(now, e)
	case WeightsAnnounced:
		s.raiseVersion(now, s.trainer(e.Trainer), e.Version)
	case ChunkArrived:
		s.recordProgress(now, e)
		return false
	case Generated:
		s.generated(now, e)
	case GenerationFailed:
		s.generationFailed(now, e)
	case Scored:
		s.scored(e)
	case ScoreFailed:
		s.scoreFailed(now, e)
	case PageRequested:
		s.addRequest(now, e)
	case PageAbandoned:
		s.abandon(now, e.ID)
	case SamplesAdopted:
		s.adopt(e)
	case TrainerReleased:
		s.release(now, e.Trainer)
	case Tick:
		s.tick(now)
	}
	return true
}

func (s *Scheduler) emit(command Command) { s.commands = append(s.commands, command) }

func (s *Scheduler) trainer(name identifier.EntryName) *trainer {
	t, ok := s.trainers[name]
	if !ok {
		t = newTrainer(name)
		s.trainers[name] = t
	}
	return t
}

// trainerNames returns the names in sorted order, so that equal events produce equal commands.
func (s *Scheduler) trainerNames() []identifier.EntryName {
	return slices.Sorted(maps.Keys(s.trainers))
}

// Declaration returns the declaration of a step, or nil if the step is not known.
func (s *Scheduler) Declaration(name identifier.EntryName, number identifier.StepNumber) *codec.StepDeclaration {
	st := s.step(name, number)
	if st == nil {
		return nil
	}
	declaration := st.declaration
	return &declaration
}

// Finished returns the finished samples of a step, without those that the trainer is known to hold.
func (s *Scheduler) Finished(name identifier.EntryName, number identifier.StepNumber) []codec.Sample {
	st := s.step(name, number)
	if st == nil {
		return nil
	}
	return st.finished()
}

func (s *Scheduler) step(name identifier.EntryName, number identifier.StepNumber) *step {
	t, ok := s.trainers[name]
	if !ok {
		return nil
	}
	return t.steps[number]
}

// ScheduledTrainers returns the trainers that have steps on this host and were not released to another one.
func (s *Scheduler) ScheduledTrainers() []identifier.EntryName {
	var names []identifier.EntryName
	for _, name := range s.trainerNames() {
		if t := s.trainers[name]; len(t.steps) > 0 && !t.released {
			names = append(names, name)
		}
	}
	return names
}

// Running returns the number of generations whose end has not been reported, cancelled ones included.
func (s *Scheduler) Running() int { return len(s.running) }

// Busy reports whether a generation runs, or a sample waits for its score or is being scored.
func (s *Scheduler) Busy() bool {
	for _, t := range s.trainers {
		if t.running > 0 || t.inProgress() {
			return true
		}
	}
	return false
}

// Status returns the status of each trainer in ScheduledTrainers.
func (s *Scheduler) Status() []codec.TrainerStatus {
	var list []codec.TrainerStatus
	for _, name := range s.ScheduledTrainers() {
		list = append(list, s.trainers[name].status())
	}
	return list
}

func (s *Scheduler) declare(now time.Time, e StepDeclared) {
	t := s.trainer(e.Trainer)
	t.released = false
	if t.steps[e.Declaration.Step] != nil {
		return
	}
	st := newStep(e.Trainer, e.Declaration, now)
	t.steps[st.number] = st
	s.raiseVersion(now, t, e.Declaration.WeightVersion)
	if cursor, err := deliverer.DecodeSized(e.Trainer, st.number, len(st.slots), e.Cursor); err == nil {
		s.applyCursor(now, st, cursor)
	}
	for _, index := range e.Running {
		if index >= 0 && index < len(st.slots) {
			st.slots[index].notBefore = now.Add(handOverGrace)
		}
	}
	for _, copies := range e.Copies {
		s.adoptInto(t, st, copies.Fingerprint, copies.Samples)
	}
}

// raiseVersion applies a newer weight version. Finished and running samples that exceed the staleness bound with it are
// generated again. Completely sent steps are left unchanged: a trainer does not confirm the last page, and if it requests
// that page again, the staleness is checked then.
func (s *Scheduler) raiseVersion(now time.Time, t *trainer, version identifier.WeightVersion) {
	if version <= t.version {
		return
	}
	t.version = version
	for _, st := range t.open() {
		for index := range st.slots {
			s.dropTooOld(now, t, st, index)
		}
	}
}

func (s *Scheduler) dropTooOld(now time.Time, t *trainer, st *step, index int) {
	sl := &st.slots[index]
	if sl.sample != nil && t.tooOld(sl.sample.Segments) {
		s.regenerate(now, t, st, index)
		return
	}
	for _, a := range slices.Clone(sl.attempts) {
		if a.versionKnown && int64(t.version-a.oldest) > t.settings.StalenessBound {
			s.cancel(sl, a)
			s.emit(Retried{Trainer: t.name, Reason: retryTooOld})
		}
	}
	if sl.state == slotRunning && len(sl.attempts) == 0 {
		st.set(index, slotPending)
	}
}

func (s *Scheduler) remove(name identifier.EntryName) {
	t, ok := s.trainers[name]
	if !ok {
		return
	}
	for _, st := range t.ordered() {
		s.dropStep(t, st)
	}
	delete(s.trainers, name)
}

func (s *Scheduler) dropStep(t *trainer, st *step) {
	for index := range st.slots {
		s.cancelAll(&st.slots[index])
	}
	delete(t.steps, st.number)
}

func (s *Scheduler) tick(now time.Time) {
	for _, name := range s.trainerNames() {
		t := s.trainers[name]
		t.probeWindow(now)
		s.endSteps(now, t)
		if t.released && t.running == 0 && !t.inProgress() {
			s.remove(name)
		}
	}
}

// endSteps removes the steps that were sent completely, or precede a requested step, once their last page request is older
// than the retention.
func (s *Scheduler) endSteps(now time.Time, t *trainer) {
	for _, st := range t.ordered() {
		done := st.sentComplete || st.number < t.lastRequested
		if !done || now.Sub(st.requestedAt) < s.config.Retention {
			continue
		}
		s.dropStep(t, st)
		s.emit(StepEnded{Trainer: t.name, Step: st.number, Complete: st.sentComplete})
	}
}

func (s *Scheduler) release(now time.Time, name identifier.EntryName) {
	t, ok := s.trainers[name]
	if !ok || t.released {
		return
	}
	t.released = true
	released := Released{Trainer: name}
	for _, st := range t.ordered() {
		if st.sentComplete {
			continue
		}
		released.Steps = append(released.Steps, ReleasedStep{
			Declaration: st.declaration, Samples: st.finished(), Running: st.inProgress(),
		})
	}
	s.emit(released)
	s.replyReleased(now, name)
}

func (s *Scheduler) adopt(e SamplesAdopted) {
	if st := s.step(e.Trainer, e.Step); st != nil {
		s.adoptInto(s.trainers[e.Trainer], st, e.Fingerprint, e.Samples)
	}
}

// adoptInto takes samples that another host finished. Samples of another declaration of the step are ignored.
func (s *Scheduler) adoptInto(t *trainer, st *step, fingerprint identifier.Fingerprint, samples []codec.Sample) {
	if st.fingerprint != fingerprint {
		return
	}
	for _, sample := range samples {
		index := st.slotOf(sample)
		if index < 0 || t.tooOld(sample.Segments) {
			continue
		}
		sl := &st.slots[index]
		if sl.state == slotHeld || sl.state == slotFinished {
			continue
		}
		s.cancelAll(sl)
		sl.sample = &sample
		st.set(index, slotFinished)
	}
}
