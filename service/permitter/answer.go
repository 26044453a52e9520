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
		s.refuseAll(refuser.StoreDown)
		s.reset()
		return
	}
	s.chain.load(event.Segments)
	s.unbatch()
	s.phase = phaseReady
}

// stored handles the result of Put.
func (s *Shard) stored(now time.Time, event Written) {
	if s.phase != phaseWriting {
		return
	}
	switch event.Result {
	case StoreOK:
		s.confirmBatch(event.Segment)
	case StoreConflict:
		s.unbatch()
		s.catchUp(now, event.Segment)
	case StoreThrottled:
		s.unbatch()
		s.phase = phaseReady
		s.holdUntil = now.Add(storeRetryPause)
		s.refuseOlder(now.Add(-s.config.StoreWait))
	case StoreOutcomeUnknown:
		s.markRecorded()
		s.read(now, true)
	case StoreDown, StoreMissing:
		s.unbatch()
		s.phase = phaseReady
		s.refuseUndecided(now)
	}
}

// confirmBatch adopts a segment that this owner wrote. If it is void, this owner's knowledge is outdated: it starts over.
func (s *Shard) confirmBatch(segment Segment) {
	if segment.void() {
		s.markRecorded()
		s.list()
		return
	}
	s.chain.adopt(segment)
	for _, waiting := range s.queue {
		waiting.written = waiting.written || waiting.inBatch
		waiting.inBatch = false
	}
	s.phase = phaseReady
}

// catchUp continues from a state of the tail that another owner wrote.
func (s *Shard) catchUp(now time.Time, current Segment) {
	if current.Version == 0 || current.void() {
		s.list()
		return
	}
	s.follow(now, current)
}

func (s *Shard) follow(now time.Time, current Segment) {
	s.chain.adopt(current)
	if !s.chain.full() {
		s.phase = phaseReady
		return
	}
	s.chain.advance()
	s.expected = 0
	s.read(now, false)
}

func (s *Shard) read(now time.Time, resolving bool) {
	s.phase = phaseReading
	s.resolving = resolving
	s.readAt = now
}

func (s *Shard) repeatRead(now time.Time) {
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
		s.fetchedSegment(now, event.Segment)
	case StoreMissing:
		s.unbatch()
		s.fetchedNothing()
	case StoreThrottled:
		s.readAt = now.Add(storeRetryPause)
		s.refuseOlder(now.Add(-s.config.StoreWait))
	case StoreDown, StoreOutcomeUnknown, StoreConflict:
		s.readAt = now.Add(storeRetryPause)
		s.refuseAll(refuser.StoreDown)
	}
}

func (s *Shard) fetchedNothing() {
	if s.expected != 0 {
		s.list()
		return
	}
	s.phase = phaseReady
}

func (s *Shard) fetchedSegment(now time.Time, segment Segment) {
	switch {
	case segment.void():
		s.unbatch()
		s.list()
	case s.resolving && segment.Value.BatchID == s.batchID:
		s.confirmBatch(segment)
	default:
		// An unchanged segment, too: a write that is still on its way then conflicts with the next one, or wins and
		// makes the next one conflict.
		s.unbatch()
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

// unbatch puts the items of the last write back: their records are to be judged and, if needed, written again.
func (s *Shard) unbatch() {
	for _, waiting := range s.queue {
		waiting.inBatch = false
	}
}

func (s *Shard) markRecorded() {
	for _, waiting := range s.queue {
		waiting.recorded = waiting.recorded || waiting.inBatch
	}
}

// refuse answers an item finally; nothing runs, since its permit is not granted.
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
	s.refuseWhere(refuser.StoreDown, func(waiting *item) bool { return !waiting.at.After(than) })
}

// refuseUndecided refuses the items that need the store; requests that wait for a running one stay.
func (s *Shard) refuseUndecided(now time.Time) {
	s.refuseWhere(refuser.StoreDown, func(waiting *item) bool { return s.needsRecord(now, waiting) })
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
	s.flushAt, s.holdUntil, s.readAt, s.pollAt, s.keepHouse = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

func (s *Shard) housekeep(now time.Time) {
	if now.Before(s.keepHouse) {
		return
	}
	s.keepHouse = now.Add(housekeepingInterval)
	s.chain.prune(now)
	// The last existing segment stays: it tells a new owner where the chain continues.
	if s.deleting || len(s.chain.closed) == 0 || (s.chain.tail.Version == 0 && len(s.chain.closed) == 1) {
		return
	}
	oldest := s.chain.closed[0]
	if now.Sub(oldest.newest) > s.config.Retention+deleteMargin {
		s.deleting = true
		s.emit(Delete{Number: oldest.number, Expected: oldest.version})
	}
}

// flushTime returns when the next write is due, or the zero time.
func (s *Shard) flushTime() time.Time {
	if !s.flushAt.IsZero() && s.flushAt.Before(s.holdUntil) {
		return s.holdUntil
	}
	return s.flushAt
}

func (s *Shard) wake(now time.Time) {
	var at time.Time
	switch s.phase {
	case phaseReady:
		at = earlier(earlier(s.flushTime(), s.pollAt), s.keepHouse)
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
