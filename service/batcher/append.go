package batcher

import (
	"errors"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// appendResults retries a write of results until the store holds them or another host's chunk has taken the position.
func (d *Driver) appendResults(h *ownedJob, c Append) {
	h.appending.Lock()
	defer h.appending.Unlock()
	chunk := codec.BatchChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Results: c.Results}
	wait := minStoreBackoff
	// unknown is set once a write may have taken effect without a response.
	unknown := false
	for d.base.Err() == nil && d.stillOwns(h) {
		d.mu.Lock()
		number := h.chunks
		if h.appendingSince.IsZero() {
			h.appendingSince = time.Now()
		}
		d.mu.Unlock()
		began := time.Now()
		last, err := d.config.Keeper.Append(d.base, c.Job, number, chunk)
		unknown = unknown || err != nil && !errors.Is(err, connector.ErrUnavailable)
		if err == nil {
			d.mu.Lock()
			h.chunks++
			h.appendingSince = time.Time{}
			if last {
				h.confirmedAt = began
			}
			d.apply(time.Now(), Appended{Job: c.Job})
			d.mu.Unlock()
			d.config.Log.Info(logger.ResultsListed).Str("job", string(c.Job)).Int("chunk", number).Int("results", len(c.Results)).Send()
			return
		}
		if taken, ok := asPositionTaken(err); ok {
			d.resolveAppendConflict(h, taken)
			return
		}
		if !unknown {
			d.mu.Lock()
			h.appendingSince = time.Time{}
			d.mu.Unlock()
		}
		d.config.Log.Warn(logger.ResultsNotListed).Str("job", string(c.Job)).Int("chunk", number).Err(err).Send()
		d.sleep(wait)
		wait = min(2*wait, maxStoreBackoff)
	}
}

// saveTexts retries a write of unfinished texts until the store holds them or another host's chunk has taken the position.
func (d *Driver) saveTexts(h *ownedJob, c SaveTexts, number int) {
	chunk := codec.TextChunk{Writer: batchkeeper.NewWriter(d.config.Self.ID), Texts: c.Texts}
	wait := minStoreBackoff
	for d.base.Err() == nil && d.stillOwns(h) {
		err := d.config.Keeper.AppendTexts(d.base, c.Job, number, chunk)
		if err == nil {
			d.mu.Lock()
			h.textChunks = number + 1
			d.apply(time.Now(), TextsSaved{Job: c.Job})
			d.mu.Unlock()
			return
		}
		if _, ok := asPositionTaken(err); ok {
			d.config.Log.Warn(logger.TextsNotSaved).Str("job", string(c.Job)).Int("chunk", number).Err(err).Msg("another host has saved texts of this job; this host saves no more of them")
			d.handle(SaveConflict{Job: c.Job})
			return
		}
		d.config.Log.Warn(logger.TextsNotSaved).Str("job", string(c.Job)).Int("chunk", number).Err(err).Send()
		d.sleep(wait)
		wait = min(2*wait, maxStoreBackoff)
	}
}

// resolveAppendConflict reads the head again after another host has appended. If the head names another owner, this host
// drops the job; otherwise it applies the list from the store.
func (d *Driver) resolveAppendConflict(h *ownedJob, taken *batchkeeper.PositionTakenError) {
	id := h.head.ID
	for d.base.Err() == nil && d.stillOwns(h) {
		head, err := d.config.Keeper.Head(d.base, id)
		if err != nil {
			d.sleep(maxStoreBackoff)
			continue
		}
		if !d.owns(head) {
			d.config.Log.Warn(logger.JobLost).Str("job", string(id)).Str("owner", string(head.Owner)).Err(taken).Send()
			d.drop(id, head)
			return
		}
		results, chunks, err := d.readChain(d.base, id, nil)
		if err != nil {
			d.sleep(maxStoreBackoff)
			continue
		}
		d.mu.Lock()
		h.head = head
		h.chunks = chunks
		h.appendingSince = time.Time{}
		d.apply(time.Now(), AppendConflict{Job: id, Results: results})
		d.mu.Unlock()
		return
	}
}
