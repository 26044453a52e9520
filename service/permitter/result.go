package permitter

import (
	"time"

	"celerygap.example/lib/refuser"
)

func (s *Shard) listed(event Listed) {
	if s.phase != phaseListing {
		return
	}
	if event.Result != StoreOK {
		s.refuseAll(refuser.StoreUnavailable)
		s.reset()
		return
	}
	s.chain.load(event.Segments)
	s.clearBatch()
	s.phase = phaseReady
}

// written handles the result of Put.
func (s *Shard) written(now time.Time, event Written) {
	if s.phase != phaseWriting {
		return
	}
	switch event.Result {
	case StoreOK:
		s.confirmBatch(event.Segment)
	case StoreConflict:
		s.clearBatch()
		s.catchUp(now, event.Segment)
	case StoreThrottled:
		s.clearBatch()
		s.phase = phaseReady
		s.throttledUntil = now.Add(storeRetryPause)
		s.refuseOlder(now.Add(-s.config.StoreWait))
	case StoreOutcomeUnknown:
		s.markRecorded()
		s.startRead(now, true)
	case StoreUnavailable, StoreMissing:
		s.clearBatch()
		s.phase = phaseReady
		s.refuseUndecided(now)
	}
}

// confirmBatch applies a segment that this owner wrote. A recreated segment shows that this owner's chain is outdated, so it
// lists the segments again.
func (s *Shard) confirmBatch(segment Segment) {
	if segment.recreated() {
		s.markRecorded()
		s.list()
		return
	}
	s.chain.replaceTail(segment)
	for _, waiting := range s.queue {
		waiting.written = waiting.written || waiting.inBatch
		waiting.inBatch = false
	}
	s.phase = phaseReady
}

// catchUp continues from the current tail after a write conflicted with that of another owner.
func (s *Shard) catchUp(now time.Time, current Segment) {
	if current.Version == 0 || current.recreated() {
		s.list()
		return
	}
	s.follow(now, current)
}

// follow replaces the tail by a segment from the store, and reads the next segment if the tail is full.
func (s *Shard) follow(now time.Time, current Segment) {
	s.chain.replaceTail(current)
	if !s.chain.full() {
		s.phase = phaseReady
		return
	}
	s.chain.advance()
	s.expected = 0
	s.startRead(now, false)
}

// startRead makes a read of the tail due; resolving is set if it is to find out whether the last write took effect.
func (s *Shard) startRead(now time.Time, resolving bool) {
	s.phase = phaseReading
	s.resolving = resolving
	s.readAt = now
}

// sendRead emits the read of the tail when it is due.
func (s *Shard) sendRead(now time.Time) {
	if s.readAt.IsZero() || now.Before(s.readAt) {
		return
	}
	s.readAt = time.Time{}
	s.emit(Get{Number: s.chain.tail.Number})
}

func (s *Shard) fetched(now time.Time, event Fetched) {
	if s.phase != phaseReading {
		return
	}
	switch event.Result {
	case StoreOK:
		s.segmentFetched(now, event.Segment)
	case StoreMissing:
		s.clearBatch()
		s.segmentMissing()
	case StoreThrottled:
		s.readAt = now.Add(storeRetryPause)
		s.refuseOlder(now.Add(-s.config.StoreWait))
	case StoreUnavailable, StoreOutcomeUnknown, StoreConflict:
		s.readAt = now.Add(storeRetryPause)
		s.refuseAll(refuser.StoreUnavailable)
	}
}

func (s *Shard) segmentMissing() {
	if s.expected != 0 {
		s.list()
		return
	}
	s.phase = phaseReady
}

func (s *Shard) segmentFetched(now time.Time, segment Segment) {
	switch {
	case segment.recreated():
		s.clearBatch()
		s.list()
	case s.resolving && segment.Value.BatchID == s.batchID:
		s.confirmBatch(segment)
	default:
		// This includes an unchanged segment: if the write is still in flight, either it or the next write will conflict.
		s.clearBatch()
		s.follow(now, segment)
	}
}

func (s *Shard) deleted(event Deleted) {
	s.deleting = false
	gone := event.Result == StoreOK || event.Result == StoreMissing || event.Result == StoreConflict
	if gone && len(s.chain.closed) > 0 && s.chain.closed[0].number == event.Number {
		s.chain.closed = s.chain.closed[1:]
	}
}

// clearBatch returns the items of the last write to the queue: each is decided again and, if needed, written again.
func (s *Shard) clearBatch() {
	for _, waiting := range s.queue {
		waiting.inBatch = false
	}
}

// markRecorded marks the items of the last write, whose records may be stored without their callers being granted a permit.
func (s *Shard) markRecorded() {
	for _, waiting := range s.queue {
		waiting.recorded = waiting.recorded || waiting.inBatch
	}
}

// refuse ends an item with a refusal. The request is not run, since its permit is not granted.
func (s *Shard) refuse(waiting *item, reason refuser.Reason) {
	if waiting.completion != nil {
		s.emit(Confirm{Token: waiting.token, Reason: string(reason)})
		return
	}
	s.emit(Reply{Token: waiting.token, Reply: refused(reason, waiting.recorded)})
}

func (s *Shard) refuseWhere(reason refuser.Reason, matches func(*item) bool) {
	kept := s.queue[:0]
	for _, waiting := range s.queue {
		if matches(waiting) {
			s.refuse(waiting, reason)
			continue
		}
		kept = append(kept, waiting)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

func (s *Shard) refuseAll(reason refuser.Reason) {
	s.refuseWhere(reason, func(*item) bool { return true })
}

func (s *Shard) refuseOlder(than time.Time) {
	s.refuseWhere(refuser.StoreUnavailable, func(waiting *item) bool { return !waiting.at.After(than) })
}

// refuseUndecided refuses the items that need the store; requests that wait for a running request of the same key stay.
func (s *Shard) refuseUndecided(now time.Time) {
	s.refuseWhere(refuser.StoreUnavailable, func(waiting *item) bool { return s.needsRecord(now, waiting) })
}

func (s *Shard) release() {
	s.refuseAll(movedReason)
	s.reset()
}

func (s *Shard) reset() {
	s.phase = phaseIdle
	s.chain = newChain(&s.config)
	s.queue = nil
	s.released = false
	s.deleting = false
	s.flushAt, s.throttledUntil, s.readAt, s.pollAt, s.housekeepAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

func (s *Shard) housekeep(now time.Time) {
	if now.Before(s.housekeepAt) {
		return
	}
	s.housekeepAt = now.Add(housekeepingInterval)
	s.chain.prune(now)
	// The last existing segment is kept, since it shows a new owner where the chain continues.
	if s.deleting || len(s.chain.closed) == 0 || (s.chain.tail.Version == 0 && len(s.chain.closed) == 1) {
		return
	}
	oldest := s.chain.closed[0]
	if now.Sub(oldest.newest) > s.config.Retention+deleteMargin {
		s.deleting = true
		s.emit(Delete{Number: oldest.number, Expected: oldest.version})
	}
}

// flushTime returns when the next write is due, or the zero time if none is scheduled.
func (s *Shard) flushTime() time.Time {
	if !s.flushAt.IsZero() && s.flushAt.Before(s.throttledUntil) {
		return s.throttledUntil
	}
	return s.flushAt
}

// setTimer requests a timer for the next step that depends on the time, if any.
func (s *Shard) setTimer(now time.Time) {
	var at time.Time
	switch s.phase {
	case phaseReady:
		at = earlier(earlier(s.flushTime(), s.pollAt), s.housekeepAt)
	case phaseReading:
		at = s.readAt
	case phaseListing:
		if len(s.queue) > 0 {
			at = s.queue[0].at.Add(s.config.StoreWait)
		}
	case phaseIdle, phaseWriting:
	}
	if at.IsZero() {
		return
	}
	if at.Before(now) {
		at = now
	}
	s.emit(SetTimer{At: at})
}
