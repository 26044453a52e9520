package scheduler

import (
	"time"

	"celerygap.example/lib/refuser"
)

func (s *Scheduler) fillScores(now time.Time) {
	for _, name := range s.trainerNames() {
		t := s.trainers[name]
		for _, st := range t.ordered() {
			if st.counts[slotUnscored] > 0 {
				s.startScores(now, t, st)
			}
		}
	}
}

func (s *Scheduler) startScores(now time.Time, t *trainer, st *step) {
	for index := range st.slots {
		if len(s.scoring) >= s.config.MaxScoring {
			return
		}
		sl := &st.slots[index]
		if sl.state != slotUnscored || now.Before(sl.notBefore) {
			continue
		}
		s.scoring[sl.scoreRef] = &attempt{ref: sl.scoreRef}
		st.set(index, slotScoring)
		s.emit(StartScore{
			Ref:     sl.scoreRef,
			Attempt: sl.sample.Attempt,
			Entry:   t.settings.ScorerEntry,
			Prompt:  st.prompt(index),
			Text:    sl.sample.Text,
		})
	}
}

// endScoring removes a call to the scorer that ended. The slot is nil if the sample is no longer needed.
func (s *Scheduler) endScoring(ref Ref) (*trainer, *step, *slot) {
	if _, ok := s.scoring[ref]; !ok {
		return nil, nil, nil
	}
	delete(s.scoring, ref)
	t := s.trainers[ref.Trainer]
	if t == nil || t.steps[ref.Step] == nil {
		return nil, nil, nil
	}
	st := t.steps[ref.Step]
	sl := &st.slots[ref.Slot]
	if sl.state != slotScoring || sl.scoreRef != ref {
		return nil, nil, nil
	}
	return t, st, sl
}

func (s *Scheduler) scored(e Scored) {
	t, st, sl := s.endScoring(e.Ref)
	if sl == nil {
		return
	}
	sl.sample.Reward = e.Reward
	sl.failures = 0
	sl.refusal = nil
	s.finish(t, st, e.Ref.Slot)
}

// scoreFailed schedules another call to the scorer with the same idempotency key. After the reason OutcomeUnknown no further
// call can return the score: the scorer is not idempotent, or an error response is stored under the key. The slot is then
// generated again, and the new sample has a new key.
func (s *Scheduler) scoreFailed(now time.Time, e ScoreFailed) {
	t, st, sl := s.endScoring(e.Ref)
	if sl == nil {
		return
	}
	sl.failures++
	delay := s.backoff(sl.failures, e.Refusal)
	if e.Refusal.Reason == refuser.OutcomeUnknown {
		sl.sample = nil
		s.retryAfter(now, t, st, e.Ref.Slot, "", delay)
		return
	}
	if permanent(e.Refusal.Reason) {
		sl.refusal = e.Refusal
		delay = max(delay, blockedRetryDelay)
	}
	sl.notBefore = now.Add(delay)
	st.set(e.Ref.Slot, slotUnscored)
}
