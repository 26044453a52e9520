package limiter

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// lowerRankTurn is the number of admissions of a better rank after which a request of another rank is admitted, so that none
	// starves. lowerRankPlaces is the fraction of the queue that is kept for them.
	lowerRankTurn   = 7
	lowerRankPlaces = 8
	// minCharge and maxCharge bound what one request counts against the share of its customer, in requests of usual duration. Without
	// the upper bound, one stalled request would keep its customer waiting for as long as it stalled.
	minCharge, maxCharge = 0.1, 32
	// maxClockCustomers is the number of customers of a clock above which those without a backlog are forgotten.
	maxClockCustomers = 256
)

// clock keeps the virtual time of the requests of one rank of a queue: start-time fair queueing. Each customer's requests start at
// distances of what its requests cost, so that customers with a backlog are served in turn, and one without begins at the time of
// the request that was admitted last, neither with credit for the past nor in debt.
type clock struct {
	now       float64
	customers map[identifier.CustomerName]customerClock
}

// customerClock holds the virtual time at which the next request of a customer may start, the start of its last one, before which no
// later one may start, and the number of its waiting requests.
type customerClock struct {
	next, last float64
	waiting    int
}

func newClock() *clock { return &clock{customers: make(map[identifier.CustomerName]customerClock)} }

// stamp sets the virtual start of an arriving request.
func (c *clock) stamp(r *request) {
	own := c.customers[r.customer]
	r.start = max(c.now, own.next, own.last)
}

// enter records that a stamped request is queued or runs.
func (c *clock) enter(r *request) {
	if len(c.customers) >= maxClockCustomers {
		for name, own := range c.customers {
			if own.next <= c.now && own.last <= c.now && own.waiting == 0 {
				delete(c.customers, name)
			}
		}
	}
	own := c.customers[r.customer]
	own.next, own.last = r.start+1, r.start
	c.customers[r.customer] = own
}

// queue adds to the number of a customer's waiting requests.
func (c *clock) queue(r *request, change int) {
	own := c.customers[r.customer]
	own.waiting += change
	c.customers[r.customer] = own
}

// withdraw takes back what a request that did not run counted.
func (c *clock) withdraw(r *request) {
	own, ok := c.customers[r.customer]
	if ok {
		own.next--
		c.customers[r.customer] = own
	}
}

// admit advances the virtual time to the start of an admitted request.
func (c *clock) admit(r *request) { c.now = max(c.now, r.start) }

// charge corrects the cost of a finished request from one to what it took, relative to the usual duration.
func (c *clock) charge(r *request, taken, usual time.Duration) {
	own, ok := c.customers[r.customer]
	if !ok || usual <= 0 {
		return
	}
	own.next += min(max(float64(taken)/float64(usual), minCharge), maxCharge) - 1
	c.customers[r.customer] = own
}

// clockKey identifies a clock of an entry.
type clockKey struct{ class, rank int }

func (e *entry) clock(r *request) *clock {
	key := clockKey{r.class, r.rank}
	found, ok := e.clocks[key]
	if !ok {
		found = newClock()
		e.clocks[key] = found
	}
	return found
}

// before reports whether a runs before b, a request of the same entry and class: better ranks first, then higher priorities, then the
// customers in turn, then in order of arrival.
func before(a, b *request) bool {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank), cmp.Compare(b.priority, a.priority), cmp.Compare(a.start, b.start), cmp.Compare(a.arrival, b.arrival),
	) < 0
}

// head returns the waiting request of a class that runs first, or nil. After some admissions of the best rank it is the oldest one of
// the others.
func (e *entry) head(class int) *request {
	queue := e.waiting[class]
	if len(queue) == 0 {
		return nil
	}
	if e.passed[class] < lowerRankTurn || queue[len(queue)-1].rank == queue[0].rank {
		return queue[0]
	}
	var oldest *request
	for _, r := range queue {
		if r.rank > queue[0].rank && (oldest == nil || r.arrival < oldest.arrival) {
			oldest = r
		}
	}
	return oldest
}

// recordTurn counts the admissions that passed waiting requests of lower ranks.
func (e *entry) recordTurn(r *request) {
	queue := e.waiting[r.class]
	if len(queue) > 0 && queue[len(queue)-1].rank > r.rank {
		e.passed[r.class]++
		return
	}
	e.passed[r.class] = 0
}

// displaced returns the waiting request that leaves a full queue for an arriving one, or nil: the newest of the customer with the most
// waiting requests among those of the lowest rank. It belongs to a lower rank that has more than the places kept for it, or to the
// arriving one's rank if that customer has more requests waiting than the arriving one's would have. If the arriving request has a
// lower rank for which the places are not taken, it belongs to the best rank.
func (e *entry) displaced(r *request) *request {
	queue := e.waiting[r.class]
	customers := e.clock(r).customers
	_, known := customers[r.customer]
	if len(queue) == 0 || known && len(customers) == 1 && queue[0].rank == r.rank && queue[len(queue)-1].rank == r.rank {
		return nil
	}
	kept := max(1, e.queueCapacity(r.class)/lowerRankPlaces)
	lowest := queue[len(queue)-1].rank
	lower := len(queue) - e.countRank(r.class, r.rank+1)
	switch {
	case lower > kept:
		return e.newestOfLargest(r.class, lowest)
	case r.rank > queue[0].rank && len(queue)-e.countRank(r.class, r.rank) < kept:
		return e.newestOfLargest(r.class, queue[0].rank)
	}
	largest := e.newestOfLargest(r.class, r.rank)
	if largest != nil && customers[largest.customer].waiting > customers[r.customer].waiting+1 {
		return largest
	}
	return nil
}

// countRank returns the number of waiting requests of a class with a better rank than the given one.
func (e *entry) countRank(class, rank int) int {
	at, _ := slices.BinarySearchFunc(e.waiting[class], rank, func(r *request, rank int) int { return cmp.Compare(r.rank, rank) })
	return at
}

// newestOfLargest returns the newest request of the customer that has the most requests of a class and rank waiting, or nil. Ties go to
// the customer whose request would run last.
func (e *entry) newestOfLargest(class, rank int) *request {
	var found *request
	most := 0
	customers := e.clocks[clockKey{class, rank}].customers
	for _, r := range e.waiting[class][e.countRank(class, rank):e.countRank(class, rank+1)] {
		waiting := customers[r.customer].waiting
		switch {
		case found != nil && r.customer == found.customer:
			if r.arrival > found.arrival {
				found = r
			}
		case waiting >= most:
			found, most = r, waiting
		}
	}
	return found
}
