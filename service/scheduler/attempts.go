package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

const (
	temperature = 1.0
	// blockedRetryDelay is the shortest delay before a slot is retried after a permanent refusal.
	blockedRetryDelay = time.Minute
	// handOverGrace is how long a slot waits for the sample that the former owner is still generating. A longer wait would
	// delay the step if that host fails.
	handOverGrace = 30 * time.Second
)

// Fingerprint returns a hash of the parts of a declaration that determine its samples: number, group size, token limit and
// prompts.
func Fingerprint(declaration codec.StepDeclaration) identifier.Fingerprint {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d/%d/%d", declaration.Step, declaration.GroupSize, declaration.MaxTokens)
	for _, prompt := range declaration.Prompts {
		_, _ = fmt.Fprintf(digest, "/%d/%s", len(prompt), prompt)
	}
	return identifier.Fingerprint(fmt.Sprintf("%016x", digest.Sum64()))
}

// baseSeedOf returns the seed of a step's first slot. Each slot keeps its seed over all attempts. With the same weights, a
// further attempt samples the same response, so neither duplicates nor regenerated samples favour short responses.
func baseSeedOf(name identifier.EntryName, number identifier.StepNumber) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", name, number))
}

// fill starts calls to scorers, attempts and duplicates until the limits are reached or nothing is left to start.
func (s *Scheduler) fill(now time.Time) {
	s.fillScores(now)
	exhausted := make(map[*trainer]bool)
	for len(s.running) < s.config.MaxRunning {
		t := s.leastLoaded(now, exhausted)
		if t == nil {
			break
		}
		if !s.startNext(now, t) {
			exhausted[t] = true
		}
	}
	s.startDuplicates(now)
}

// leastLoaded returns the trainer with the fewest running generations relative to its share, or nil if none may start one.
func (s *Scheduler) leastLoaded(now time.Time, exhausted map[*trainer]bool) *trainer {
	var best *trainer
	for _, name := range s.trainerNames() {
		t := s.trainers[name]
		if exhausted[t] || t.full(now) || !t.configured || t.released {
			continue
		}
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	return best
}

func (t *trainer) load() float64 { return float64(t.running) / t.settings.Share }

// startNext starts the next slot of a trainer and reports whether there was one. Steps with a waiting page request come
// first, then the others by number; within a step, slots start in order, so group by group.
func (s *Scheduler) startNext(now time.Time, t *trainer) bool {
	open := t.open()
	for _, position := range s.startOrder(t, open) {
		ahead := s.versionsAhead(t, open, position)
		if ahead > t.depth.value {
			continue
		}
		if index := open[position].nextPending(now); index >= 0 {
			s.start(now, t, open[position], index, ahead)
			return true
		}
	}
	return false
}

// versionsAhead returns how many weight versions the trainer is expected to publish before it consumes an open step.
func (s *Scheduler) versionsAhead(t *trainer, open []*step, position int) int64 {
	if s.hasWaiter(t.name, open[position].number) {
		return 0
	}
	ahead := int64(position)
	if t.training && t.trainedAt == t.version && !open[0].wasRequested {
		ahead++
	}
	return ahead
}

// startOrder returns the positions of the open steps in the order in which their slots are started.
func (s *Scheduler) startOrder(t *trainer, open []*step) []int {
	var awaited, others []int
	for position, st := range open {
		if s.hasWaiter(t.name, st.number) {
			awaited = append(awaited, position)
			continue
		}
		others = append(others, position)
	}
	return append(awaited, others...)
}

func (st *step) nextPending(now time.Time) int {
	if st.counts[slotPending] == 0 {
		return -1
	}
	for index := range st.slots {
		if sl := &st.slots[index]; sl.state == slotPending && !now.Before(sl.notBefore) {
			return index
		}
	}
	return -1
}

func (s *Scheduler) start(now time.Time, t *trainer, st *step, index int, ahead int64) {
	sl := &st.slots[index]
	sl.started++
	ref := Ref{Trainer: t.name, Step: st.number, Slot: index, Attempt: sl.started}
	a := &attempt{ref: ref, trainer: t, lastProgress: now}
	request := connector.GenerateRequest{
		Entry:       t.settings.ModelEntry,
		Prompt:      st.prompt(index),
		MaxTokens:   st.maxTokens(t.settings),
		Temperature: temperature,
		Seed:        st.seed(index),
		Class:       codec.EntryClassTraining,
		Priority:    -int(ahead),
		MinVersion:  max(0, t.version+identifier.WeightVersion(ahead-t.settings.StalenessBound)),
		Sound:       true,
	}
	if t.settings.Deadline > 0 {
		request.Deadline = now.Add(t.settings.Deadline)
	}
	for _, other := range sl.attempts {
		if other.upstream != "" {
			request.Avoid = append(request.Avoid, other.upstream)
		}
	}
	sl.attempts = append(sl.attempts, a)
	s.running[a.ref] = a
	t.running++
	st.set(index, slotRunning)
	s.emit(StartGeneration{Ref: a.ref, Request: request})
}

func (st *step) maxTokens(settings Settings) identifier.Tokens {
	if st.declaration.MaxTokens > 0 && (settings.MaxTokens == 0 || st.declaration.MaxTokens < settings.MaxTokens) {
		return st.declaration.MaxTokens
	}
	return settings.MaxTokens
}

// startDuplicates starts a second attempt for slots that make no progress near the end of their step.
func (s *Scheduler) startDuplicates(now time.Time) {
	for _, name := range s.trainerNames() {
		t := s.trainers[name]
		if t.released || !t.configured {
			continue
		}
		open := t.open()
		for position, st := range open {
			if st.counts[slotRunning] == 0 || st.generatedShare() < s.config.StragglerShare {
				continue
			}
			s.duplicateSlow(now, t, st, s.versionsAhead(t, open, position))
		}
	}
}

func (s *Scheduler) duplicateSlow(now time.Time, t *trainer, st *step, ahead int64) {
	limit := s.stragglerTimeout(st)
	for index := range st.slots {
		sl := &st.slots[index]
		if len(s.running) >= s.config.MaxRunning || t.full(now) {
			return
		}
		if sl.state != slotRunning || len(sl.attempts) != 1 || now.Before(sl.notBefore) {
			continue
		}
		if now.Sub(sl.attempts[0].lastProgress) < limit {
			continue
		}
		s.start(now, t, st, index, ahead)
		s.emit(Retried{Trainer: t.name, Reason: refuser.RetryStraggler})
	}
}

// stragglerTimeout returns the time without a chunk after which a slot of the step counts as slow.
func (s *Scheduler) stragglerTimeout(st *step) time.Duration {
	const median = 50
	interval := time.Duration(st.intervals.ValueAtQuantile(median)) * time.Microsecond
	return max(s.config.StragglerFloor, time.Duration(s.config.StragglerFactor*float64(interval)))
}

func (s *Scheduler) recordProgress(now time.Time, e ChunkArrived) {
	a, ok := s.running[e.Ref]
	if !ok || a.cancelled {
		return
	}
	t := s.trainers[e.Ref.Trainer]
	st := t.steps[e.Ref.Step]
	if a.chunks > 0 {
		_ = st.intervals.RecordValue(min(max(now.Sub(a.lastProgress).Microseconds(), lowestInterval), highestInterval))
	}
	a.chunks++
	a.lastProgress = now
	a.upstream = e.Upstream
	if !a.versionKnown || e.Version < a.oldest {
		a.oldest = e.Version
		a.versionKnown = true
	}
}

// endAttempt removes an attempt whose generation ended. The slot is nil if the result is no longer needed.
func (s *Scheduler) endAttempt(ref Ref) (*trainer, *step, *slot) {
	a, ok := s.running[ref]
	if !ok {
		return nil, nil, nil
	}
	delete(s.running, ref)
	a.trainer.running--
	t := s.trainers[ref.Trainer]
	if a.cancelled || t == nil || t.steps[ref.Step] == nil {
		return nil, nil, nil
	}
	st := t.steps[ref.Step]
	sl := &st.slots[ref.Slot]
	sl.attempts = slices.DeleteFunc(sl.attempts, func(other *attempt) bool { return other == a })
	return t, st, sl
}

func (s *Scheduler) generated(now time.Time, e Generated) {
	t, st, sl := s.endAttempt(e.Ref)
	if sl == nil || sl.state != slotRunning {
		return
	}
	if t.tooOld(e.Sample.Segments) {
		s.retryAfter(now, t, st, e.Ref.Slot, retryTooOld, 0)
		return
	}
	s.cancelAll(sl)
	t.recordSuccess(s.config.MaxRunning)
	sl.failures = 0
	sl.refusal = nil
	sl.notBefore = now
	e.Sample.Group = e.Ref.Slot / st.declaration.GroupSize
	e.Sample.Index = e.Ref.Slot % st.declaration.GroupSize
	sl.sample = &e.Sample
	if t.settings.ScorerEntry == "" {
		s.finish(t, st, e.Ref.Slot)
		return
	}
	sl.scoreRef = e.Ref
	st.set(e.Ref.Slot, slotUnscored)
}

func (s *Scheduler) finish(t *trainer, st *step, index int) {
	st.set(index, slotFinished)
	s.emit(SampleFinished{
		Trainer:     t.name,
		Fingerprint: st.fingerprint,
		Sample:      *st.slots[index].sample,
		Released:    t.released,
	})
}

func (s *Scheduler) generationFailed(now time.Time, e GenerationFailed) {
	t, st, sl := s.endAttempt(e.Ref)
	if sl == nil || sl.state != slotRunning {
		return
	}
	if overloaded(e.Refusal) {
		t.shrinkWindow(now, max(e.Refusal.RetryAfter, s.config.RetryDelay))
		s.retryAfter(now, t, st, e.Ref.Slot, "", 0)
		return
	}
	sl.failures++
	sl.refusal = nil
	delay := s.backoff(sl.failures, e.Refusal)
	if permanent(e.Refusal.Reason) {
		sl.refusal = e.Refusal
		delay = max(delay, blockedRetryDelay)
	}
	s.retryAfter(now, t, st, e.Ref.Slot, "", delay)
}

// retryAfter makes a slot pending again unless another attempt of it still runs.
func (s *Scheduler) retryAfter(now time.Time, t *trainer, st *step, index int, reason refuser.RetryReason, delay time.Duration) {
	sl := &st.slots[index]
	sl.notBefore = now.Add(delay)
	if reason != "" {
		s.emit(Retried{Trainer: t.name, Reason: reason})
	}
	if len(sl.attempts) == 0 {
		st.set(index, slotPending)
	}
}

// regenerate discards the sample of a slot because it exceeds the staleness bound, and makes the slot pending.
func (s *Scheduler) regenerate(now time.Time, t *trainer, st *step, index int) {
	sl := &st.slots[index]
	sl.sample = nil
	sl.scoreRef = Ref{}
	sl.notBefore = now
	st.sentComplete = false
	st.set(index, slotPending)
	s.emit(Retried{Trainer: t.name, Reason: retryTooOld})
}

func (s *Scheduler) backoff(failures int, refusal *refuser.Refusal) time.Duration {
	const maxDoublings = 10
	delay := min(s.config.MaxRetryDelay, s.config.RetryDelay<<min(failures-1, maxDoublings))
	if refusal.Reason != refuser.RetryBudgetSpent {
		// The retry budget limits retries within one request. The next attempt of a slot is a new request, so waiting for
		// the budget's window would only delay the step.
		delay = max(delay, refusal.RetryAfter)
	}
	return delay + time.Duration(s.config.Rand.Int64N(int64(delay/4)+1))
}

// permanent reports whether a retry of the same request is expected to be refused for the same reason.
func permanent(reason refuser.Reason) bool {
	switch reason {
	case refuser.CrashesUpstreams, refuser.InvalidRequest, refuser.BodyTooLarge, refuser.UnknownEntry:
		return true
	}
	return false
}

func (s *Scheduler) cancel(sl *slot, a *attempt) {
	a.cancelled = true
	sl.attempts = slices.DeleteFunc(sl.attempts, func(other *attempt) bool { return other == a })
	s.emit(CancelGeneration{Ref: a.ref})
}

func (s *Scheduler) cancelAll(sl *slot) {
	for _, a := range slices.Clone(sl.attempts) {
		s.cancel(sl, a)
	}
}
