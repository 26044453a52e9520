package batcher

import (
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// usualPriority is the priority of jobs whose customer has none.
	usualPriority = 5
	// priorityStep is how much earlier a job is due for each level of its customer's priority. As time passes, a job of a lower
	// priority therefore comes before new ones of a higher priority; with ten levels this takes at most 18 seconds, which is less
	// than the age that jobs may reach.
	priorityStep = 2 * time.Second
)

// rank returns the priority of the job's customer, or the usual one.
func (j *job) rank() int {
	if j.customerPriority == nil {
		return usualPriority
	}
	return *j.customerPriority
}

// order returns the time by which jobs are ordered.
func (j *job) order() time.Time {
	return j.due().Add(time.Duration(j.rank()-usualPriority) * priorityStep)
}

// starter is a job in one pass of schedule; next is the position of its next item in startOrder.
type starter struct {
	job  *job
	next int
	// position is that of the job among all jobs.
	position int
}

// turns lets customers of one priority take turns: the next item is of the customer with the fewest runs for its model, so that each
// gets an equal part of the engines, and what one does not use goes to the others. A pass costs time in proportion to the runs, and
// each start to the customers with open jobs.
type turns struct {
	queues []*turnQueue
	runs   map[turnKey]int
}

// turnKey identifies jobs that take turns as one.
type turnKey struct {
	customer identifier.CustomerName
	model    identifier.ModelName
}

// turnQueue holds the jobs of one key in order.
type turnQueue struct {
	key  turnKey
	jobs []*starter
}

// newTurns returns nil if all open jobs are of one customer, which needs no turns.
func newTurns(open []*job, runs map[RunID]*run) *turns {
	t := &turns{runs: make(map[turnKey]int)}
	queues := make(map[turnKey]*turnQueue)
	several := false
	for position, j := range open {
		several = several || j.job.Customer != open[0].job.Customer
		key := turnKey{j.job.Customer, j.job.Model}
		if queues[key] == nil {
			queues[key] = &turnQueue{key: key}
			t.queues = append(t.queues, queues[key])
		}
		queues[key].jobs = append(queues[key].jobs, &starter{job: j, position: position})
	}
	if !several {
		return nil
	}
	for _, r := range runs {
		t.runs[turnKey{r.job.job.Customer, r.job.job.Model}]++
	}
	return t
}

// start calls startNext for the job whose turn it is, until none is left.
func (t *turns) start(startNext func(*starter) bool) {
	for q := t.next(); q != nil; q = t.next() {
		if startNext(q.jobs[0]) {
			t.runs[q.key]++
		} else {
			q.jobs = q.jobs[1:]
		}
	}
}

// next returns the queue whose turn it is, or nil: of the first jobs of each priority that of the customer with the fewest runs, and
// of these the first in the order of jobs.
func (t *turns) next() *turnQueue {
	byRank := make(map[int]*turnQueue)
	for _, q := range t.queues {
		if len(q.jobs) == 0 {
			continue
		}
		rank := q.jobs[0].job.rank()
		best := byRank[rank]
		if best == nil || t.runs[q.key] < t.runs[best.key] || t.runs[q.key] == t.runs[best.key] && q.jobs[0].position < best.jobs[0].position {
			byRank[rank] = q
		}
	}
	var first *turnQueue
	for _, q := range byRank {
		if first == nil || q.jobs[0].position < first.jobs[0].position {
			first = q
		}
	}
	return first
}
