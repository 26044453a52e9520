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
	// flushDelay is how long results are collected for one write. Each call to the store costs money, and trainers read
	// only twice a second.
	flushDelay = 250 * time.Millisecond
)

func (b *Batcher) confirmAppend(id identifier.BatchID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	for _, result := range j.pending[:j.inAppend] {
		j.results = append(j.results, result)
		if it, ok := j.byID[result.Item]; ok {
			it.releaseRequest()
		}
	}
	j.pending = slices.Clone(j.pending[j.inAppend:])
	j.inAppend = 0
	j.checkListedOnce()
	b.emit(NotifyReaders{Job: id})
}

// checkListedOnce asserts that no item is listed twice in the results.
func (j *job) checkListedOnce() {
	listed := make(map[identifier.ItemID]struct{}, len(j.results))
	for _, result := range j.results {
		_, twice := listed[result.Item]
		asserter.Check(asserter.ItemListedOnce, !twice, "job %s: item %s is listed twice", j.job.ID, result.Item)
		listed[result.Item] = struct{}{}
	}
}

// replaceResults applies the list from the store. Items listed there are finished, and their pending results are
// discarded.
func (b *Batcher) replaceResults(e AppendConflict) {
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
	b.emit(NotifyReaders{Job: e.Job})
}

// flush writes the pending results of each job after flushDelay, or at once if they complete a group, which is what trainers wait
// for, or if no item is unfinished.
func (b *Batcher) flush(now time.Time) {
	for id, j := range b.jobs {
		if j.inAppend > 0 || len(j.pending) == 0 || j.ended {
			continue
		}
		if now.Sub(j.pendingAt) < flushDelay && !j.groupCompleted && j.unfinished() > 0 {
			continue
		}
		if size := encodedSize(j.pending[0]); size > maxChunkBytes {
			// The store can't hold such a result, and it would keep back all others.
			b.emit(LogOversized{Job: id, Item: j.pending[0].Item, Size: size})
			j.pending[0] = codec.BatchResult{Item: j.pending[0].Item, State: codec.ResultStateDead}
		}
		j.inAppend = fittingResults(j.pending)
		j.groupCompleted = j.groupCompleted && j.inAppend < len(j.pending)
		j.pendingAt = now
		b.emit(Append{Job: id, Results: slices.Clone(j.pending[:j.inAppend])})
	}
}

func joinEvents(events []string) string { return strings.Join(events, "\n") }

// Page returns the results of a job from position after on, as pageOf does; known is false for a job that this host does
// not own.
func (b *Batcher) Page(id identifier.BatchID, after int, limit identifier.Bytes) (page codec.BatchPage, ended, known bool) {
	j, ok := b.jobs[id]
	if !ok {
		return codec.BatchPage{}, false, false
	}
	return pageOf(j.results, len(j.items), after, limit), j.ended, true
}

// Results returns the results of a job in the order of the list; the caller must not change them.
func (b *Batcher) Results(id identifier.BatchID) []codec.BatchResult {
	if j, ok := b.jobs[id]; ok {
		return j.results
	}
	return nil
}

// pageOf returns the results from position after on, up to about limit bytes in total, but at least one if there is any.
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

// resultOverhead is the assumed size of a result without its text.
const resultOverhead identifier.Bytes = 256

// Body returns the request body of an item, or its position if the body is in the store only. A job that has ended has no bodies;
// found is false then, and for a job that this host does not own.
func (b *Batcher) Body(id identifier.BatchID, item identifier.ItemID) (body []byte, position int, stored, found bool) {
	j, ok := b.jobs[id]
	if !ok || j.ended {
		return nil, 0, false, false
	}
	it, ok := j.byID[item]
	if !ok {
		return nil, 0, false, false
	}
	return it.spec.Body, it.position, it.bodyStored, true
}
