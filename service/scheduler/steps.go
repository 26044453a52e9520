package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/labeler"
)

const retryTooOld = refuser.RetrySampleTooOld

type slotState uint8

// The states of a slot. A slot is held if the trainer has its sample according to the trainer's cursor. slotStates is the
// number of states.
const (
	slotPending slotState = iota
	slotRunning
	slotUnscored
	slotScoring
	slotFinished
	slotHeld
	slotStates
)

type slot struct {
	state    slotState
	attempts []*attempt
	// started is the number of attempts so far, and so the number of the last one.
	started  int
	failures int
	// notBefore delays the next attempt or score after a refusal.
	notBefore time.Time
	sample    *codec.Sample
	// scoreRef identifies the attempt that produced the sample while it has no reward.
	scoreRef Ref
	// refusal is the last refusal if it was a permanent one.
	refusal *refuser.Refusal
}

type attempt struct {
	ref          Ref
	trainer      *trainer
	lastProgress time.Time
	chunks       int
	oldest       identifier.WeightVersion
	versionKnown bool
	upstream     identifier.UpstreamID
	cancelled    bool
}

type step struct {
	number      identifier.StepNumber
	declaration codec.StepDeclaration
	fingerprint identifier.Fingerprint
	slots       []slot
	counts      [slotStates]int
	// requestedAt is the time of the last page request or, without one, of the declaration.
	requestedAt  time.Time
	wasRequested bool
	baseSeed     uint64
	// sentComplete reports whether the trainer was sent all samples that it did not hold.
	sentComplete bool
	intervals    *hdrhistogram.Histogram
}

// The range of the chunk intervals that a step records, in microseconds, and their precision in decimal digits.
const (
	lowestInterval  = 1
	highestInterval = int64(10 * time.Minute / time.Microsecond)
	intervalDigits  = 2
)

func newStep(name identifier.EntryName, declaration codec.StepDeclaration, now time.Time) *step {
	total := len(declaration.Prompts) * declaration.GroupSize
	st := &step{
		number:      declaration.Step,
		declaration: declaration,
		fingerprint: Fingerprint(declaration),
		slots:       make([]slot, total),
		requestedAt: now,
		baseSeed:    baseSeedOf(name, declaration.Step),
		intervals:   hdrhistogram.New(lowestInterval, highestInterval, intervalDigits),
	}
	st.counts[slotPending] = total
	return st
}

func (st *step) set(index int, state slotState) {
	sl := &st.slots[index]
	st.counts[sl.state]--
	sl.state = state
	st.counts[state]++
}

// seed returns the seed of a slot. Slots of a group share the prompt, so equal seeds would give equal samples.
func (st *step) seed(index int) int64 {
	return int64((st.baseSeed + uint64(index)) & math.MaxInt64)
}

func (st *step) prompt(index int) string {
	return st.declaration.Prompts[index/st.declaration.GroupSize]
}

// slotOf returns the slot of a sample, or -1 if the sample's group or index is out of range.
func (st *step) slotOf(sample codec.Sample) int {
	size := st.declaration.GroupSize
	if sample.Group < 0 || sample.Index < 0 || sample.Index >= size || sample.Group >= len(st.declaration.Prompts) {
		return -1
	}
	return sample.Group*size + sample.Index
}

func (st *step) finished() []codec.Sample {
	var samples []codec.Sample
	for index := range st.slots {
		if sl := &st.slots[index]; sl.state == slotFinished {
			samples = append(samples, *sl.sample)
		}
	}
	return samples
}

// inProgress returns the slots that are being generated, wait for a score or are being scored.
func (st *step) inProgress() []int {
	var slots []int
	for index := range st.slots {
		if state := st.slots[index].state; state == slotRunning || state == slotUnscored || state == slotScoring {
			slots = append(slots, index)
		}
	}
	return slots
}

// inProgress reports whether a slot of the trainer is being generated, waits for a score or is being scored.
func (t *trainer) inProgress() bool {
	for _, st := range t.steps {
		if st.counts[slotRunning]+st.counts[slotUnscored]+st.counts[slotScoring] > 0 {
			return true
		}
	}
	return false
}

// generatedShare returns the share of slots that need no further generation.
func (st *step) generatedShare() float64 {
	rest := st.counts[slotPending] + st.counts[slotRunning]
	return 1 - float64(rest)/float64(len(st.slots))
}

// blockingRefusal returns a refusal if every slot that the trainer does not hold was refused permanently, else nil.
func (st *step) blockingRefusal() *refuser.Refusal {
	var refusal *refuser.Refusal
	for index := range st.slots {
		sl := &st.slots[index]
		if sl.state == slotHeld {
			continue
		}
		if sl.refusal == nil {
			return nil
		}
		refusal = sl.refusal
	}
	return refusal
}

type trainer struct {
	name     identifier.EntryName
	settings Settings
	// configured reports whether the settings from the catalogue are known; nothing starts before.
	configured    bool
	steps         map[identifier.StepNumber]*step
	version       identifier.WeightVersion
	lastRequested identifier.StepNumber
	// training reports whether a step was sent completely. That happened at version trainedAt last, and the trainer is
	// expected to publish a newer one.
	training  bool
	trainedAt identifier.WeightVersion
	running   int
	released  bool
	window    window
	depth     depth

	idle         time.Duration
	delivered    int64
	stalenessSum int64
}

func newTrainer(name identifier.EntryName) *trainer {
	return &trainer{name: name, steps: make(map[identifier.StepNumber]*step)}
}

func (t *trainer) configure(settings Settings) {
	if settings.Share <= 0 {
		settings.Share = 1
	}
	t.settings = settings
	t.configured = true
	t.limitDepth()
}

// ordered returns the steps in the order of their numbers.
func (t *trainer) ordered() []*step {
	list := make([]*step, 0, len(t.steps))
	for _, number := range slices.Sorted(maps.Keys(t.steps)) {
		list = append(list, t.steps[number])
	}
	return list
}

// open returns the steps that were not sent completely, in the order of their numbers.
func (t *trainer) open() []*step {
	return slices.DeleteFunc(t.ordered(), func(st *step) bool { return st.sentComplete })
}

func (t *trainer) tooOld(segments []codec.Segment) bool {
	return labeler.Staleness(segments, t.version) > t.settings.StalenessBound
}

func (t *trainer) status() codec.TrainerStatus {
	status := codec.TrainerStatus{Name: t.name, WeightVersion: t.version, Idle: identifier.Duration(t.idle)}
	if t.delivered > 0 {
		status.Staleness = float64(t.stalenessSum) / float64(t.delivered)
	}
	shown := t.open()
	if all := t.ordered(); len(shown) == 0 && len(all) > 0 {
		shown = all[len(all)-1:]
	}
	if len(shown) > 0 {
		status.Step = shown[0].number
		status.Held = shown[0].counts[slotHeld]
		status.Total = len(shown[0].slots)
	}
	return status
}
