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

// Config configures the decisions of a scheduler.
type Config struct {
	// MaxRunning bounds the generations that run at once.
	MaxRunning int
	// MaxScoring bounds the calls to scorers that run at once.
	MaxScoring int
	// Page bounds the pages.
	Page deliverer.Config
	// StragglerShare is the done share of a step from which slow slots are started a second time.
	StragglerShare float64
	// StragglerFactor times the median chunk interval is the silence after which a slot counts as slow.
	StragglerFactor float64
	// StragglerFloor is the shortest silence after which a slot counts as slow.
	StragglerFloor time.Duration
	// Retention is how long a delivered step is kept for a repeated request of its last page.
	Retention time.Duration
	// RetryDelay is the delay before the first repeat of a refused attempt; it doubles up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// Rand spreads the retries.
	Rand *rand.Rand
}

// DefaultConfig returns the configuration of the service program.
func DefaultConfig(random *rand.Rand) Config {
	const (
		maxRunning     = 512
		maxScoring     = 64
		pageSamples    = 256
		pageBytes      = identifier.Bytes(1 << 20)
		stragglerShare = 0.9
		stragglerRatio = 3
		stragglerFloor = 2 * time.Second
		retention      = 10 * time.Minute
		retryDelay     = 200 * time.Millisecond
		maxRetryDelay  = 15 * time.Second
	)
	return Config{
		MaxRunning:      maxRunning,
		MaxScoring:      maxScoring,
		Page:            deliverer.Config{MaxSamples: pageSamples, MaxBytes: pageBytes},
		StragglerShare:  stragglerShare,
		StragglerFactor: stragglerRatio,
		StragglerFloor:  stragglerFloor,
		Retention:       retention,
		RetryDelay:      retryDelay,
		MaxRetryDelay:   maxRetryDelay,
		Rand:            random,
	}
}

// Settings are the catalogue's settings of one trainer.
type Settings struct {
	ModelEntry     identifier.EntryName
	ScorerEntry    identifier.EntryName
	StalenessBound int64
	IdleWeight     float64
	MaxTokens      identifier.Tokens
	// Share is the trainer's weight among the trainers of this host.
	Share float64
	// MaxRunning bounds the trainer's running generations; zero means no bound of its own.
	MaxRunning int
	// Deadline bounds one generation.
	Deadline time.Duration
}

// Scheduler decides when each slot of the declared steps is generated, scored and delivered.
type Scheduler struct {
	config    Config
	deliverer *deliverer.Deliverer
	trainers  map[identifier.EntryName]*trainer
	// live has each attempt whose end is not known yet, cancelled ones included, so that the bound holds.
	live map[Ref]*attempt
	// scoring has each call to a scorer whose end is not known yet.
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
		live:      make(map[Ref]*attempt),
		scoring:   make(map[Ref]*attempt),
	}
}

// Handle applies one event and returns what to do about it.
func (s *Scheduler) Handle(now time.Time, event Event) []Command {
	s.commands = nil
	refill := s.apply(now, event)
	if refill {
		s.replyWaiting(now)
		s.fill(now)
	}
	return s.commands
}

// apply changes the state and reports whether work may be started or pages answered because of it.
func (s *Scheduler) apply(now time.Time, event Event) bool {
	switch e := event.(type) {
	case TrainerConfigured:
		s.trainer(e.Trainer).configure(e.Settings)
	case TrainerRemoved:
		s.remove(e.Trainer)
	case StepDeclared:
		s.declare(now, e)
	case WeightsAnnounced:
		s.raise(now, s.trainer(e.Trainer), e.Version)
	case ChunkArrived:
		s.progress(now, e)
		return false
	case Generated:
		s.generated(now, e)
	case GenerationFailed:
		s.generationFailed(now, e)
	case Scored:
		s.scored(e)
	case ScoreFailed:
		s.scoreFailed(now, e)
	case PageAsked:
		s.ask(now, e)
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

// names returns the trainers in a fixed order, so that a run can be repeated.
func (s *Scheduler) names() []identifier.EntryName {
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

// Finished returns the finished samples of a step that the trainer is not known to hold.
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

// Scheduled returns the trainers that have open steps on this host.
func (s *Scheduler) Scheduled() []identifier.EntryName {
	var names []identifier.EntryName
	for _, name := range s.names() {
		if t := s.trainers[name]; len(t.steps) > 0 && !t.released {
			names = append(names, name)
		}
	}
	return names
}

// Running returns the number of generations whose end is not known yet.
func (s *Scheduler) Running() int { return len(s.live) }

// Busy reports whether a generation runs or a sample waits for its score.
func (s *Scheduler) Busy() bool {
	for _, t := range s.trainers {
		if t.running > 0 || t.underway() {
			return true
		}
	}
	return false
}

// Status returns the state of each trainer that has steps on this host.
func (s *Scheduler) Status() []codec.TrainerStatus {
	var list []codec.TrainerStatus
	for _, name := range s.Scheduled() {
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
	s.raise(now, t, e.Declaration.WeightVersion)
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

// raise applies a newer weight version; finished and running samples that it makes too old are generated again. Steps
// that were sent completely are left alone: a trainer does not confirm the last page, and if it asks for it again, the
// staleness is checked then.
func (s *Scheduler) raise(now time.Time, t *trainer, version identifier.WeightVersion) {
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
		s.again(now, t, st, index)
		return
	}
	for _, a := range slices.Clone(sl.attempts) {
		if a.labelled && int64(t.version-a.oldest) > t.settings.StalenessBound {
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
	for _, name := range s.names() {
		t := s.trainers[name]
		t.grow(now)
		s.endSteps(now, t)
		if t.released && t.running == 0 && !t.underway() {
			s.remove(name)
		}
	}
}

// endSteps forgets steps that were delivered, or passed over by a later one, and not asked for during the retention.
func (s *Scheduler) endSteps(now time.Time, t *trainer) {
	for _, st := range t.ordered() {
		done := st.sentComplete || st.number < t.lastAsked
		if !done || now.Sub(st.asked) < s.config.Retention {
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
			Declaration: st.declaration, Samples: st.finished(), Running: st.underway(),
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

// adoptInto takes samples that another host finished; those of another declaration of the step are ignored.
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
