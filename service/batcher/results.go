package batcher

import (
	"slices"
	"strings"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// flushDelay gathers results for one write: each call to the store is paid for, and trainers read twice a second.
	flushDelay = 250 * time.Millisecond
)

func (b *Batcher) appended(id identifier.BatchID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	j.results = append(j.results, j.pending[:j.inAppend]...)
	j.pending = slices.Clone(j.pending[j.inAppend:])
	j.inAppend = 0
	j.checkList()
	b.emit(Changed{Job: id})
}

// checkList asserts that no item stands twice in the list of results.
func (j *job) checkList() {
	listed := make(map[identifier.ItemID]struct{}, len(j.results))
	for _, result := range j.results {
		_, twice := listed[result.Item]
		asserter.Check(asserter.ItemListedOnce, !twice, "job %s: item %s stands twice", j.job.ID, result.Item)
		listed[result.Item] = struct{}{}
	}
}

// supersede takes over the store's list; items that are listed there are finished, whatever was pending for them.
func (b *Batcher) supersede(e Superseded) {
	j, ok := b.jobs[e.Job]
	if !ok {
		return
	}
	j.results = e.Results
	j.inAppend = 0
	listed := make(map[identifier.ItemID]struct{}, len(j.results))
	for _, result := range j.results {
		listed[result.Item] = struct{}{}
	}
	j.pending = slices.DeleteFunc(j.pending, func(result codec.BatchResult) bool {
		_, ok := listed[result.Item]
		return ok
	})
	for _, it := range j.items {
		if _, ok := listed[it.spec.ID]; ok && it.run != nil {
			b.stop(it.run, StopJobEnded)
		}
	}
	j.markListed()
	b.emit(Changed{Job: e.Job})
}

// flush writes the decided results of each job, gathered for a moment unless nothing else is to come.
func (b *Batcher) flush(now time.Time) {
	for id, j := range b.jobs {
		if j.inAppend > 0 || len(j.pending) == 0 || j.ended {
			continue
		}
		if now.Sub(j.pendingAt) < flushDelay && j.unfinished() > 0 {
			continue
		}
		j.inAppend = len(j.pending)
		j.pendingAt = now
		b.emit(Append{Job: id, Results: slices.Clone(j.pending)})
	}
}

func joinEvents(events []string) string { return strings.Join(events, "\n") }

// Page returns results of a job from a position on; known is false for a job that this host does not hold.
func (b *Batcher) Page(id identifier.BatchID, after int, limit identifier.Bytes) (page codec.BatchPage, ended, known bool) {
	j, ok := b.jobs[id]
	if !ok {
		return codec.BatchPage{}, false, false
	}
	return pageOf(j.results, len(j.items), after, limit), j.ended, true
}

// pageOf returns the results from a position on, at least one if there is any, and about limit bytes at most.
func pageOf(results []codec.BatchResult, total, after int, limit identifier.Bytes) codec.BatchPage {
	page := codec.BatchPage{Total: total, Results: []codec.BatchResult{}, Next: after}
	var size identifier.Bytes
	for after >= 0 && page.Next < len(results) {
		result := results[page.Next]
		size += identifier.Bytes(len(result.Text)) + resultOverhead
		if len(page.Results) > 0 && size > limit {
			break
		}
		page.Results = append(page.Results, result)
		page.Next++
	}
	return page
}

// resultOverhead is the size of a result without its text.
const resultOverhead identifier.Bytes = 256

// Body returns the body of an item of a job that has not ended.
func (b *Batcher) Body(id identifier.BatchID, item identifier.ItemID) (body []byte, found, known bool) {
	j, ok := b.jobs[id]
	if !ok {
		return nil, false, false
	}
	it, ok := j.byID[item]
	if !ok || j.ended {
		return nil, false, true
	}
	return it.spec.Body, true, true
}
