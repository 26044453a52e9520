package permitter

import (
	"strconv"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// needsRecord reports whether an item can be decided only by writing a record.
func (s *Shard) needsRecord(now time.Time, waiting *item) bool {
	if waiting.completion != nil {
		return true
	}
	record := s.chain.lookup(identity{entry: waiting.request.Entry, key: waiting.request.Key}, now)
	return record == nil || record.NotRun
}

// window returns how long the record of an item may wait to be written together with others.
func (s *Shard) window(waiting *item) time.Duration {
	if waiting.completion != nil {
		return s.config.CompletionWindow
	}
	return s.config.BatchWindow
}

// schedule makes the next write due no later than the end of the item's window.
func (s *Shard) schedule(now time.Time, waiting *item) {
	if s.needsRecord(now, waiting) {
		s.flushAt = earlier(s.flushAt, waiting.at.Add(s.window(waiting)))
	}
}

// flush writes one batch if the window of an item has passed and the store does not throttle.
func (s *Shard) flush(now time.Time) {
	if s.flushAt.IsZero() || now.Before(s.flushAt) || now.Before(s.throttledUntil) {
		return
	}
	s.put(now)
}

func (s *Shard) put(now time.Time) {
	if s.chain.full() {
		s.chain.advance()
	}
	batch := s.collect(now)
	tail := s.chain.tail
	records := make([]codec.PermitRecord, 0, len(tail.Value.Records)+len(batch))
	records = append(records, tail.Value.Records...)
	records = append(records, batch...)
	s.batchID = string(s.config.Host) + "-" + strconv.FormatUint(s.config.Rand.Uint64(), 36)
	s.expected = tail.Version
	s.phase = phaseWriting
	s.flushAt = time.Time{}
	value := codec.PermitSegment{Version: tail.Version + 1, BatchID: s.batchID, Records: records}
	s.emit(Put{Number: tail.Number, Expected: tail.Version, Value: value})
}

// collect returns the records of the next batch, at most one grant for each key.
func (s *Shard) collect(now time.Time) []codec.PermitRecord {
	var batch []codec.PermitRecord
	var bytes identifier.Bytes
	taken := make(map[identity]bool)
	for _, waiting := range s.queue {
		if len(batch) >= maxBatch || bytes >= FullBytes {
			break
		}
		if !s.needsRecord(now, waiting) {
			continue
		}
		record := s.record(now, waiting)
		id := identityOf(&record)
		if !record.Completed && taken[id] {
			continue
		}
		taken[id] = true
		waiting.inBatch = true
		bytes += size(&record)
		batch = append(batch, record)
	}
	return batch
}

func (s *Shard) record(now time.Time, waiting *item) codec.PermitRecord {
	if waiting.request != nil {
		request := waiting.request
		return codec.PermitRecord{
			Entry: request.Entry, Key: request.Key, Fingerprint: request.Fingerprint,
			PermitID: request.PermitID, Host: request.From, GrantedAt: now.Round(0).UTC(),
		}
	}
	completion := waiting.completion
	record := codec.PermitRecord{
		Entry: completion.Entry, Key: completion.Key, PermitID: completion.PermitID, Host: completion.From,
		GrantedAt: now.Round(0).UTC(), Completed: true, NotRun: completion.NotRun, Answer: completion.Answer,
	}
	known := s.chain.index[identityOf(&record)]
	if known != nil && known.PermitID == record.PermitID {
		record.Fingerprint = known.Fingerprint
		record.GrantedAt = known.GrantedAt
	}
	return record
}
