package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// saveInterval is the time between two saves of a job's texts. Without saves, long texts of up to about 200 events and
	// 7 seconds would start again when all processes end at the same time.
	saveInterval = time.Second
	// minSavedEvents is the length from which a text is saved: a shorter one is generated again in less than a second.
	minSavedEvents = 16
)

// save emits SaveTexts with what was added to the long texts of each job.
func (b *Batcher) save(now time.Time) {
	for id, j := range b.jobs {
		if j.ended || !j.routed || j.savingStopped || len(j.saving) > 0 || now.Sub(j.savedAt) < saveInterval {
			continue
		}
		var texts []codec.SavedText
		left := maxChunkBytes
		for _, it := range j.items {
			if it.state == itemFinished || len(it.events) < minSavedEvents || it.savedAll && len(it.events) == it.saved {
				continue
			}
			size := encodedTextSize(it.events[it.saved:])
			if size > left {
				continue
			}
			left -= size
			texts = append(texts, codec.SavedText{
				Item: it.spec.ID, After: it.saved, Events: slices.Clone(it.events[it.saved:]), Versions: slices.Clone(it.versions), Origin: it.origin,
				Complete: it.complete, Score: it.score,
			})
			if j.saving == nil {
				j.saving = make(map[*item]savedState)
			}
			j.saving[it] = savedState{restarts: it.restarts, events: len(it.events)}
		}
		if len(texts) > 0 {
			j.savedAt = now
			b.emit(SaveTexts{Job: id, Texts: texts})
		}
	}
}

// confirmSave records what the store holds. A text that was cleared since the save was emitted counts as not saved: its
// next save starts at event 0 and so replaces the stored text.
func (b *Batcher) confirmSave(id identifier.BatchID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for it, state := range j.saving {
		if it.restarts == state.restarts {
			it.saved = state.events
			it.savedAll = !it.complete
		}
	}
	j.saving = nil
}

func (b *Batcher) stopSaving(id identifier.BatchID) {
	if j, ok := b.jobs[id]; ok {
		j.saving = nil
		j.savingStopped = true
	}
}
