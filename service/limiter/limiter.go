package limiter

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// Defaults of Config and constants of the limiter.
const (
	DefaultQueue            = 64
	DefaultTrainingFraction = 0.9
	DefaultRetryFraction    = 0.1
	DefaultRetryFloor       = 3
	DefaultRetryWindow      = time.Minute
	minRetryAfter           = time.Second
	maxRetryAfter           = 5 * time.Minute
	// smoothingFactor is the weight of a new duration in the moving average of an entry's durations.
	smoothingFactor = 0.2
	// noPool is the pool of an entry without one; its size is unknown, so it sets no limit.
	noPool           = identifier.PoolName("")
	classLive        = 0
	classTraining    = 1
	numberOfClasses  = 2
	tokensPerRequest = 1.0
	// windowParts is the number of parts into which Config.RetryWindow is divided; the window slides by one part at a time.
	windowParts = 6
	// fullShare is the share of a host that uses an entry's limits alone.
	fullShare = 1.0
	// retryBudgetTolerance absorbs rounding errors.
	retryBudgetTolerance = 1e-9
)

// Config configures a limiter; zero values mean the defaults.
type Config struct {
	// Queue is the maximum length of the queue of an entry that sets none.
	Queue int
	// TrainingFraction is the fraction of a pool's slots that training may use; the rest stays free for live callers.
	TrainingFraction float64
	// RetryFraction and RetryFloor bound an entry's retries within RetryWindow to RetryFraction times its requests plus RetryFloor.
	RetryFraction float64
	RetryFloor    int
	RetryWindow   time.Duration
}

// Limiter is the state machine; it is not safe for concurrent use.
type Limiter struct {
	config   Config
	entries  map[identifier.EntryName]*entry
	names    []identifier.EntryName
	pools    map[identifier.PoolName]*pool
	requests map[RequestID]*request
	// arrivals numbers the requests in order of arrival.
	arrivals uint64
}

type request struct {
	id       RequestID
	entry    *entry
	pool     *pool
	class    int
	rank     int
	priority int
	customer identifier.CustomerName
	// start is the virtual time at which the request may start.
	start    float64
	arrival  uint64
	deadline time.Time
	admitted time.Time
	running  bool
}

// New returns a limiter without limits; Configured sets them.
func New(config Config) *Limiter {
	if config.Queue <= 0 {
		config.Queue = DefaultQueue
	}
	if config.TrainingFraction <= 0 {
		config.TrainingFraction = DefaultTrainingFraction
	}
	if config.RetryFraction <= 0 {
		config.RetryFraction = DefaultRetryFraction
	}
	if config.RetryFloor <= 0 {
		config.RetryFloor = DefaultRetryFloor
	}
	if config.RetryWindow <= 0 {
		config.RetryWindow = DefaultRetryWindow
	}
	return &Limiter{
		config:   config,
		entries:  make(map[identifier.EntryName]*entry),
		pools:    make(map[identifier.PoolName]*pool),
		requests: make(map[RequestID]*request),
	}
}

// Handle applies one event and returns the commands that follow from it, those for other waiting requests included.
func (l *Limiter) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Configured:
		l.configure(now, e)
		return l.admitWaiting(now)
	case ShareSet:
		l.entry(e.Entry).setShare(now, e.Share)
		return l.admitWaiting(now)
	case PoolSized:
		l.pool(e.Pool).resize(e, l.config.TrainingFraction)
		return l.admitWaiting(now)
	case Arrived:
		return l.arrive(now, e)
	case CallerLeft:
		l.cancel(e.ID)
	case Finished:
		l.finish(now, e.ID)
		return l.admitWaiting(now)
	case Tick:
		return append(l.expire(now), l.admitWaiting(now)...)
	case RetryRequested:
		return l.requestRetry(now, e.Entry)
	}
	return nil
}

// Waiting returns the number of queued requests of all pools.
func (l *Limiter) Waiting() int {
	var sum int
	for _, p := range l.pools {
		sum += p.waiting[classLive] + p.waiting[classTraining]
	}
	return sum
}

func (l *Limiter) configure(now time.Time, e Configured) {
	for _, limits := range e.Entries {
		found := l.entry(limits.Entry)
		found.pool = limits.Pool
		found.setLimits(now, limits.Limits)
	}
}

func (l *Limiter) entry(name identifier.EntryName) *entry {
	found, ok := l.entries[name]
	if !ok {
		found = newEntry(name, l.config)
		l.entries[name] = found
		l.names = append(l.names, name)
		slices.Sort(l.names)
	}
	return found
}

func (l *Limiter) pool(name identifier.PoolName) *pool {
	found, ok := l.pools[name]
	if !ok {
		found = &pool{}
		l.pools[name] = found
	}
	return found
}

func (l *Limiter) arrive(now time.Time, e Arrived) []Command {
	target := l.entry(e.Entry)
	l.arrivals++
	r := &request{
		id: e.ID, entry: target, pool: l.pool(target.pool), class: classOf(e.Class), priority: e.Priority,
		rank: e.Rank, customer: e.Customer, arrival: l.arrivals, deadline: e.Deadline,
	}
	target.clock(r).stamp(r)
	target.retries.addRequest(now)
	wait := l.expectedWait(now, r)
	if wait == 0 && target.canRun(now) && r.pool.canRun(r.class) {
		target.clock(r).enter(r)
		l.admit(now, r)
		return []Command{Admitted{e.ID}}
	}
	if !r.deadline.IsZero() && now.Add(wait+target.expectedDuration).After(r.deadline) {
		return []Command{Refused{e.ID, refuser.DeadlineTooShort, bounded(wait)}}
	}
	if target.queued(r.class) < target.queueCapacity(r.class) {
		l.enqueue(r)
		return []Command{Queued{e.ID}}
	}
	displaced := target.displaced(r)
	if displaced == nil {
		return []Command{Refused{e.ID, target.fullReason(now), bounded(wait)}}
	}
	wait = l.expectedWait(now, displaced)
	l.withdraw(displaced)
	l.enqueue(r)
	return []Command{Queued{e.ID}, Refused{displaced.id, target.fullReason(now), bounded(wait)}}
}

func classOf(class codec.EntryClass) int {
	if class == codec.EntryClassTraining {
		return classTraining
	}
	return classLive
}

// expectedWait estimates how long a request would wait for a token and a slot of its entry and for a slot of its pool.
func (l *Limiter) expectedWait(now time.Time, r *request) time.Duration {
	ahead := r.entry.ahead(r)
	poolAhead := 0
	for class := classLive; class <= r.class; class++ {
		poolAhead += r.pool.waiting[class]
	}
	// The requests of the entry that run after this one do not delay it.
	poolAhead -= r.entry.queued(r.class) - ahead
	if _, waits := l.requests[r.id]; waits {
		poolAhead++
	}
	capacity := r.pool.limits[r.class]
	return max(
		r.entry.tokenWait(now, ahead),
		slotWait(r.entry.inFlight+ahead, r.entry.inFlightLimit, r.entry.expectedDuration),
		slotWait(r.pool.taken(r.class)+poolAhead, capacity, r.entry.expectedDuration),
	)
}

// slotWait estimates the time until a request gets one of the slots, when taken requests run or wait ahead of it and each
// takes the duration. Zero slots mean no limit.
func slotWait(taken, slots int, duration time.Duration) time.Duration {
	if slots <= 0 || taken < slots {
		return 0
	}
	return max(time.Duration(taken-slots+1)*duration/time.Duration(slots), time.Nanosecond)
}

// bounded limits an estimated wait to the values that callers get as Retry-After.
func bounded(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (l *Limiter) admit(now time.Time, r *request) {
	r.entry.admit(now)
	r.entry.clock(r).admit(r)
	r.pool.inFlight[r.class]++
	r.running = true
	r.admitted = now
	l.requests[r.id] = r
}

func (l *Limiter) enqueue(r *request) {
	r.entry.clock(r).enter(r)
	r.entry.insert(r)
	r.pool.waiting[r.class]++
	l.requests[r.id] = r
}

func (l *Limiter) dequeue(r *request) {
	r.entry.remove(r)
	r.pool.waiting[r.class]--
	delete(l.requests, r.id)
}

// withdraw removes a waiting request that does not run.
func (l *Limiter) withdraw(r *request) {
	l.dequeue(r)
	r.entry.clock(r).withdraw(r)
}

// cancel removes a waiting request; a running one stays until Finished.
func (l *Limiter) cancel(id RequestID) {
	if r, ok := l.requests[id]; ok && !r.running {
		l.withdraw(r)
	}
}

func (l *Limiter) finish(now time.Time, id RequestID) {
	r, ok := l.requests[id]
	if !ok || !r.running {
		asserter.Check(asserter.InFlightNeverNegative, false, "request %d finished without having been admitted", id)
		return
	}
	delete(l.requests, id)
	r.entry.inFlight--
	r.pool.inFlight[r.class]--
	r.entry.clock(r).charge(r, now.Sub(r.admitted), r.entry.expectedDuration)
	r.entry.updateExpectedDuration(now.Sub(r.admitted))
	asserter.Check(asserter.InFlightNeverNegative, r.entry.inFlight >= 0 && r.pool.inFlight[r.class] >= 0,
		"entry %s has %d requests in flight, its pool %d of the same class", r.entry.name, r.entry.inFlight, r.pool.inFlight[r.class])
}

// expire refuses the waiting requests that would no longer finish before their deadline.
func (l *Limiter) expire(now time.Time) []Command {
	var commands []Command
	for _, name := range l.names {
		e := l.entries[name]
		for _, r := range e.expired(now) {
			wait := l.expectedWait(now, r)
			l.withdraw(r)
			commands = append(commands, Refused{r.id, refuser.DeadlineTooShort, bounded(wait)})
		}
	}
	return commands
}

// admitWaiting admits waiting requests while the limits allow it, live ones first.
func (l *Limiter) admitWaiting(now time.Time) []Command {
	var commands []Command
	for {
		r := l.next(now)
		if r == nil {
			return commands
		}
		l.dequeue(r)
		r.entry.recordTurn(r)
		l.admit(now, r)
		commands = append(commands, Admitted{r.id})
	}
}

// next returns the waiting request to admit next, or nil. Live requests come before training requests. Within a class it is
// the first request with the best rank, and among those that of the entry that uses the smallest fraction of its own limit, so that entries share a pool in proportion
// to their limits.
func (l *Limiter) next(now time.Time) *request {
	for class := range numberOfClasses {
		var best *request
		for _, name := range l.names {
			e := l.entries[name]
			head := e.head(class)
			if head == nil || !e.canRun(now) || !head.pool.canRun(class) {
				continue
			}
			if best == nil || compareHeads(head, best) < 0 {
				best = head
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// compareHeads orders the first requests of two entries by their ranks, the usage of the entries, and arrival.
func compareHeads(a, b *request) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.entry.usage(), b.entry.usage()), cmp.Compare(a.arrival, b.arrival))
}
