package measurer

import (
	"container/heap"
	"time"
)

// timedCall is a function that runs at a virtual time; sequence orders calls of the same time as they were added.
type timedCall struct {
	at       time.Time
	sequence int64
	run      func()
}

// callHeap has the earliest call first; it implements heap.Interface.
type callHeap []timedCall

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *callHeap) Push(x any) { *h = append(*h, x.(timedCall)) }

func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// queue runs calls in the order of their virtual time.
type queue struct {
	now      time.Time
	calls    callHeap
	sequence int64
}

func newQueue() *queue { return &queue{now: time.Unix(0, 0)} }

// after adds a call that runs when the given virtual time has passed.
func (q *queue) after(delay time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.calls, timedCall{at: q.now.Add(delay), sequence: q.sequence, run: run})
}

// runUntil runs calls until done returns true or the limit of virtual time is reached. It reports whether done returned
// true.
func (q *queue) runUntil(limit time.Duration, done func() bool) bool {
	end := q.now.Add(limit)
	for !done() {
		if len(q.calls) == 0 || q.calls[0].at.After(end) {
			return false
		}
		call := heap.Pop(&q.calls).(timedCall)
		q.now = call.at
		call.run()
	}
	return true
}
