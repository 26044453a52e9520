package inferrer

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
)

// generate produces tokens while there are streams; an idle engine has no timer subscription.
func (e *Engine) generate(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			e.generateBatch(ctx)
		}
	}
}

func (e *Engine) generateBatch(ctx context.Context) {
	ticks, cancel := e.timer.Subscribe(timer.DefaultResolution)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			busy, crashing := e.step(time.Now())
			if crashing {
				e.Crash()
			}
			if !busy {
				return
			}
		}
	}
}

// step starts queued streams and produces the tokens that are due. It reports whether streams remain, and whether it
// stopped at a prompt with the crash marker.
func (e *Engine) step(now time.Time) (busy, crashing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return false, false
	}
	e.fillSlots(now)
	interval := e.config.TokenInterval + time.Duration(max(0, len(e.running)-1))*e.config.BatchInterval
	for _, s := range slices.Clone(e.running) {
		if e.faults.Freeze {
			s.producedUntil = later(s.producedUntil, now)
			continue
		}
		if now.Before(s.producedUntil) {
			continue
		}
		if e.crashing(s) {
			return true, true
		}
		e.advance(now, interval, s)
	}
	e.crossChunks()
	return len(e.running)+len(e.queued) > 0, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Engine) fillSlots(now time.Time) {
	for len(e.running) < e.config.Slots && len(e.queued) > 0 {
		s := heap.Pop(&e.queued).(*stream)
		s.run.start(now)
		s.producedUntil = now.Add(e.prefill(now, s))
		e.running = append(e.running, s)
		s.notify()
	}
}

// advance produces the tokens that are due by now and ends the stream after its last token or at its truncation point.
func (e *Engine) advance(now time.Time, interval time.Duration, s *stream) {
	due := identifier.Tokens(now.Sub(s.producedUntil) / interval)
	end := min(s.next+due, s.end)
	if end == s.next && s.next != s.end {
		return
	}
	s.producedUntil = s.producedUntil.Add(time.Duration(due) * interval)
	if s.truncateAt >= 0 && end >= s.truncateAt {
		if s.truncateAt > s.next {
			s.emit(s.truncateAt, e.version(s.request.Model))
		}
		e.end(s, RunTruncated)
		return
	}
	s.emit(end, e.version(s.request.Model))
	if end == s.end {
		e.end(s, RunFinished)
	}
}

// version returns the served version of a model, or 0 if the engine does not have the model.
func (e *Engine) version(name identifier.ModelName) identifier.WeightVersion {
	if m, ok := e.models[name]; ok {
		return m.serving
	}
	return 0
}

// crossChunks swaps the newest pending chunks of two streams if the fault Cross is set.
func (e *Engine) crossChunks() {
	if e.faults.Cross <= 0 {
		return
	}
	var first *stream
	for _, s := range e.running {
		if len(s.pending) == 0 {
			continue
		}
		if first == nil {
			first = s
			continue
		}
		a, b := len(first.pending)-1, len(s.pending)-1
		first.pending[a], s.pending[b] = s.pending[b], first.pending[a]
		e.faults.Cross--
		return
	}
}

// admit queues a stream or returns the reason for its refusal; nothing of a refused request runs.
func (e *Engine) admit(request codec.EngineRequest) (*stream, refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalOf(request); reason != refusalNone {
		e.record.addRefusal(request.AttemptID)
		return nil, reason
	}
	s := e.newStream(request)
	e.applyFaults(s)
	s.run = e.record.addRun(s)
	e.streams[request.AttemptID] = s
	heap.Push(&e.queued, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, refusalNone
}

func (e *Engine) refusalOf(request codec.EngineRequest) refusal {
	if e.leaving || e.down {
		return refusalLeaving
	}
	if _, ok := e.models[request.Model]; !ok {
		return refusalUnknownModel
	}
	if _, ok := e.streams[request.AttemptID]; ok {
		return refusalDuplicate
	}
	if len(e.queued) >= e.config.Queue {
		return refusalFull
	}
	return refusalNone
}

// applyFaults marks a new stream for truncation if the fault Truncate or Cut is set.
func (e *Engine) applyFaults(s *stream) {
	middle := s.next + (s.end-s.next)/2
	if e.faults.Truncate > 0 {
		e.faults.Truncate--
		s.truncateAt = middle
	} else if e.faults.Cut > 0 {
		e.faults.Cut--
		s.truncateAt = middle
		s.cut = true
	}
}

// end records the final state of a stream and removes it from the queue or the batch; its handler still sends the
// pending chunks.
func (e *Engine) end(s *stream, state RunState) {
	if s.ended {
		return
	}
	s.ended = true
	s.run.end(state)
	delete(e.streams, s.request.AttemptID)
	e.queued.remove(s)
	e.running = slices.DeleteFunc(e.running, func(other *stream) bool { return other == s })
	e.kvCaches.addEnded(s)
	s.notify()
}
