package scheduler

import (
	"slices"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/deliverer"
	"celerygap.example/service/labeler"
)

// waiter is a page request that has not been served.
type waiter struct {
	request PageRequested
	cursor  deliverer.Cursor
	since   time.Time
}

func (s *Scheduler) addRequest(now time.Time, e PageRequested) {
	t := s.trainers[e.Trainer]
	if t == nil || t.steps[e.Step] == nil || t.released {
		s.refuse(e, refuser.NotRun(refuser.StepUnknown, 0, "trainer %s has no step %d on this host", e.Trainer, e.Step))
		return
	}
	st := t.steps[e.Step]
	cursor, err := deliverer.DecodeSized(e.Trainer, e.Step, len(st.slots), e.Cursor)
	if refusal, ok := refuser.As(err); ok {
		s.refuse(e, refusal)
		return
	}
	st.requestedAt = now
	st.wasRequested = true
	t.lastRequested = max(t.lastRequested, e.Step)
	s.raiseVersion(now, t, e.Version)
	s.applyCursor(now, st, cursor)
	s.supersede(now, e)
	s.waiting = append(s.waiting, &waiter{request: e, cursor: cursor, since: now})
}

// supersede replies to the earlier page requests for the step of a new one. A step has one reader, so the callers of the
// earlier requests are gone or have repeated them.
func (s *Scheduler) supersede(now time.Time, e PageRequested) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		return w.request.Trainer == e.Trainer && w.request.Step == e.Step && s.reply(now, w, true)
	})
}

func (s *Scheduler) refuse(e PageRequested, refusal *refuser.Refusal) {
	s.emit(ReplyPage{ID: e.ID, Trainer: e.Trainer, Refusal: refusal})
}

// applyCursor sets which slots are held. Only the trainer's cursor determines that: slots that it no longer holds are
// generated again.
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
		if w.request.ID != id {
			return false
		}
		s.addIdle(now, w)
		return true
	})
}

// addIdle adds the wait of a page request to the idle time of its trainer and returns it.
func (s *Scheduler) addIdle(now time.Time, w *waiter) time.Duration {
	waited := now.Sub(w.since)
	if t := s.trainers[w.request.Trainer]; t != nil {
		t.idle += waited
	}
	return waited
}

// hasWaiter reports whether a page request waits for the step.
func (s *Scheduler) hasWaiter(name identifier.EntryName, number identifier.StepNumber) bool {
	return slices.ContainsFunc(s.waiting, func(w *waiter) bool { return w.request.Trainer == name && w.request.Step == number })
}

// replyWaiting replies to the page requests for which there is something to deliver, and to those whose wait has ended.
func (s *Scheduler) replyWaiting(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return s.reply(now, w, !now.Before(w.request.Until)) })
}

func (s *Scheduler) replyReleased(now time.Time, name identifier.EntryName) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.request.Trainer == name && s.reply(now, w, true) })
}

// reply replies to a page request and reports whether it did. If there is nothing to deliver, it replies only if final is
// true, every missing slot was refused permanently, or the step has ended.
func (s *Scheduler) reply(now time.Time, w *waiter, final bool) bool {
	t := s.trainers[w.request.Trainer]
	if t == nil || t.steps[w.request.Step] == nil {
		s.addIdle(now, w)
		s.refuse(w.request, refuser.NotRun(refuser.StepUnknown, 0,
			"step %d of trainer %s has ended", w.request.Step, w.request.Trainer))
		return true
	}
	st := t.steps[w.request.Step]
	built := s.buildPage(now, t, st, w)
	if len(built.Page.Samples) == 0 && !built.Page.Complete {
		if refusal := st.blockingRefusal(); refusal != nil {
			s.addIdle(now, w)
			s.refuse(w.request, refusal)
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
		// A repeated request may state an older version than the trainer has published since.
		Version: max(w.request.Version, t.version),
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
		s.regenerate(now, t, st, index)
	}
	return built
}

func (s *Scheduler) send(now time.Time, t *trainer, st *step, w *waiter, built deliverer.PageBuilt) {
	reply := ReplyPage{ID: w.request.ID, Trainer: t.name, Page: built.Page, Waited: s.addIdle(now, w)}
	for i := range built.Page.Samples {
		staleness := labeler.Staleness(built.Page.Samples[i].Segments, max(w.request.Version, t.version))
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
