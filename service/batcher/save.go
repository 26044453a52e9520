package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// saveInterval is the time between two saves of a job's texts. It answers the load in which all processes end at once
	// while long texts, of up to some 200 events and seven seconds, are under way: without it they start again.
	saveInterval = time.Second
	// longText is the number of events from which a text is saved: shorter ones are generated again in less than a second.
	longText = 16
)

// save writes what was added to the long texts of each job.
func (b *Batcher) save(now time.Time) {
	for id, j := range b.jobs {
		if j.ended || !j.routed || j.noSaving || len(j.saving) > 0 || now.Sub(j.savedAt) < saveInterval {
			continue
		}
		var texts []codec.SavedText
		for _, it := range j.items {
			if it.state == itemFinished || len(it.events) < longText || it.savedAll && len(it.events) == it.saved {
				continue
			}
			texts = append(texts, codec.SavedText{
				Item: it.spec.ID, After: it.saved, Events: slices.Clone(it.events[it.saved:]), Versions: slices.Clone(it.versions),
				Complete: it.complete, Score: it.score,
			})
			if j.saving == nil {
				j.saving = make(map[*item]savedState)
			}
			j.saving[it] = savedState{start: it.start, events: len(it.events)}
		}
		if len(texts) > 0 {
			j.savedAt = now
			b.emit(SaveTexts{Job: id, Texts: texts})
		}
	}
}

// textsSaved notes what the store holds. A text that was cleared meanwhile has nothing saved: its next save says that
// all before is void.
func (b *Batcher) textsSaved(id identifier.BatchID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for it, state := range j.saving {
		if it.start == state.start {
			it.saved = state.events
			it.savedAll = !it.complete
		}
	}
	j.saving = nil
}

func (b *Batcher) endSaving(id identifier.BatchID) {
	if j, ok := b.jobs[id]; ok {
		j.saving = nil
		j.noSaving = true
	}
}
