package scheduler

import (
	"slices"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/deliverer"
	"celerygap.example/service/labeler"
)

// waiter is a page request that found nothing to deliver.
type waiter struct {
	ask    PageAsked
	cursor deliverer.Cursor
	since  time.Time
}

func (s *Scheduler) ask(now time.Time, e PageAsked) {
	t := s.trainers[e.Trainer]
	if t == nil || t.steps[e.Step] == nil || t.released {
		s.refuse(e, refuser.NotRun(refuser.StepUnknown, 0, "trainer %s has no step %d here", e.Trainer, e.Step))
		return
	}
	st := t.steps[e.Step]
	cursor, err := deliverer.DecodeSized(e.Trainer, e.Step, len(st.slots), e.Cursor)
	if refusal, ok := refuser.As(err); ok {
		s.refuse(e, refusal)
		return
	}
	st.asked = now
	st.wasAsked = true
	t.lastAsked = max(t.lastAsked, e.Step)
	s.raise(now, t, e.Version)
	s.applyCursor(now, st, cursor)
	s.supersede(now, e)
	s.waiting = append(s.waiting, &waiter{ask: e, cursor: cursor, since: now})
}

// supersede answers the earlier page requests for a step. A step has one reader, so their callers are gone or repeat.
func (s *Scheduler) supersede(now time.Time, e PageAsked) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		return w.ask.Trainer == e.Trainer && w.ask.Step == e.Step && s.reply(now, w, true)
	})
}

func (s *Scheduler) refuse(e PageAsked, refusal *refuser.Refusal) {
	s.emit(ReplyPage{ID: e.ID, Trainer: e.Trainer, Refusal: refusal})
}

// applyCursor takes what the trainer holds from its cursor, which is the only authority on it.
func (s *Scheduler) applyCursor(now time.Time, st *step, cursor deliverer.Cursor) {
	for index := range st.slots {
		sl := &st.slots[index]
		switch {
		case cursor.Holds(index) && sl.state != slotHeld:
			s.cancelAll(sl)
			sl.sample = nil
			sl.refusal = nil
			st.set(index, slotHeld)
		case !cursor.Holds(index) && sl.state == slotHeld:
			sl.notBefore = now
			st.set(index, slotPending)
		}
	}
	st.sentComplete = cursor.Complete()
}

func (s *Scheduler) abandon(now time.Time, id PageID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if w.ask.ID != id {
			return false
		}
		s.addIdle(now, w)
		return true
	})
}

func (s *Scheduler) addIdle(now time.Time, w *waiter) time.Duration {
	waited := now.Sub(w.since)
	if t := s.trainers[w.ask.Trainer]; t != nil {
		t.idle += waited
	}
	return waited
}

// awaited reports whether a page request waits for the step.
func (s *Scheduler) awaited(name identifier.EntryName, number identifier.StepNumber) bool {
	return slices.ContainsFunc(s.waiting, func(w *waiter) bool { return w.ask.Trainer == name && w.ask.Step == number })
}

// replyWaiting answers the page requests that have something to deliver or have waited long enough.
func (s *Scheduler) replyWaiting(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return s.reply(now, w, !now.Before(w.ask.Until)) })
}

func (s *Scheduler) replyReleased(now time.Time, name identifier.EntryName) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.ask.Trainer == name && s.reply(now, w, true) })
}

// reply answers a page request and returns true, unless there is nothing to deliver and it may still wait.
func (s *Scheduler) reply(now time.Time, w *waiter, final bool) bool {
	t := s.trainers[w.ask.Trainer]
	if t == nil || t.steps[w.ask.Step] == nil {
		s.addIdle(now, w)
		s.refuse(w.ask, refuser.NotRun(refuser.StepUnknown, 0, "step %d of trainer %s ended", w.ask.Step, w.ask.Trainer))
		return true
	}
	st := t.steps[w.ask.Step]
	built := s.buildPage(now, t, st, w)
	if len(built.Page.Samples) == 0 && !built.Page.Complete {
		if refusal := st.blocked(); refusal != nil {
			s.addIdle(now, w)
			s.refuse(w.ask, refusal)
			return true
		}
		if !final {
			return false
		}
	}
	s.send(now, t, st, w, built)
	return true
}

func (s *Scheduler) buildPage(now time.Time, t *trainer, st *step, w *waiter) deliverer.PageBuilt {
	request := deliverer.PageRequested{
		Trainer: t.name,
		Cursor:  w.cursor,
		// A repeated request may name an older version than the trainer has by now.
		Version: max(w.ask.Version, t.version),
		Bound:   t.settings.StalenessBound,
	}
	if st.counts[slotFinished] > 0 {
		for index := range st.slots {
			if sl := &st.slots[index]; sl.state == slotFinished {
				request.Candidates = append(request.Candidates, deliverer.Candidate{Slot: index, Sample: sl.sample})
			}
		}
	}
	built := s.deliverer.Handle(now, request)[0].(deliverer.PageBuilt)
	for _, index := range built.TooOld {
		s.again(now, t, st, index)
	}
	return built
}

func (s *Scheduler) send(now time.Time, t *trainer, st *step, w *waiter, built deliverer.PageBuilt) {
	reply := ReplyPage{ID: w.ask.ID, Trainer: t.name, Page: built.Page, Waited: s.addIdle(now, w)}
	for i := range built.Page.Samples {
		staleness := labeler.Staleness(built.Page.Samples[i].Segments, max(w.ask.Version, t.version))
		reply.Staleness = append(reply.Staleness, staleness)
		t.delivered++
		t.stalenessSum += staleness
	}
	if built.Page.Complete {
		if !st.sentComplete {
			t.adjustDepth(now)
		}
		st.sentComplete = true
		t.training = true
		t.trainedAt = t.version
	}
	s.emit(reply)
}
