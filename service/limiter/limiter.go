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

// Defaults of Config.
const (
	DefaultQueue         = 64
	DefaultTrainingPart  = 0.9
	DefaultRetryPart     = 0.1
	DefaultRetryFloor    = 3
	DefaultRetryWindow   = time.Minute
	minRetryAfter        = time.Second
	maxRetryAfter        = 5 * time.Minute
	durationWeight       = 0.2
	unlimitedPoolName    = identifier.PoolName("")
	classLive            = 0
	classTraining        = 1
	numberOfClasses      = 2
	tokenPerRequest      = 1.0
	windowParts          = 6
	shareOfWholeFleet    = 1.0
	retryBudgetTolerance = 1e-9
)

// Config configures a limiter; zero values mean the defaults.
type Config struct {
	// Queue is the length of the queue of an entry that sets none.
	Queue int
	// TrainingPart is the part of a pool's capacity that training may use; the rest stays free for live callers.
	TrainingPart float64
	// RetryPart and RetryFloor bound the repeats in RetryWindow to RetryPart of the requests plus RetryFloor.
	RetryPart   float64
	RetryFloor  int
	RetryWindow time.Duration
}

// Limiter is a state machine and not safe for concurrent use.
type Limiter struct {
	config   Config
	entries  map[identifier.EntryName]*entry
	names    []identifier.EntryName
	pools    map[identifier.PoolName]*pool
	requests map[RequestID]*request
	arrivals uint64
}

type request struct {
	id       RequestID
	entry    *entry
	pool     *pool
	class    int
	priority int
	arrival  uint64
	deadline time.Time
	admitted time.Time
	running  bool
}

// New returns a limiter.
func New(config Config) *Limiter {
	if config.Queue <= 0 {
		config.Queue = DefaultQueue
	}
	if config.TrainingPart <= 0 {
		config.TrainingPart = DefaultTrainingPart
	}
	if config.RetryPart <= 0 {
		config.RetryPart = DefaultRetryPart
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

// Handle processes one event.
func (l *Limiter) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Configured:
		l.configure(now, e)
		return l.grant(now)
	case ShareSet:
		l.entry(e.Entry).setShare(now, e.Share)
		return l.grant(now)
	case PoolSized:
		l.pool(e.Pool).resize(e, l.config.TrainingPart)
		return l.grant(now)
	case Arrived:
		return l.arrive(now, e)
	case CallerLeft:
		l.leave(e.ID)
	case Finished:
		l.finish(now, e.ID)
		return l.grant(now)
	case Tick:
		return append(l.expire(now), l.grant(now)...)
	case RetryAsked:
		return l.askRetry(now, e.Entry)
	}
	return nil
}

// Waiting returns the number of waiting requests.
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
		arrival: l.arrivals, deadline: e.Deadline,
	}
	target.retries.addRequest(now)
	wait := l.expectedWait(now, r)
	if wait == 0 && target.canRun(now) && r.pool.canRun(r.class) {
		l.admit(now, r)
		return []Command{Admitted{e.ID}}
	}
	if !r.deadline.IsZero() && now.Add(wait+target.expected).After(r.deadline) {
		return []Command{Refused{e.ID, refuser.DeadlineTooShort, bounded(wait)}}
	}
	if target.queued(r.class) >= target.queuePlaces(r.class) {
		return []Command{Refused{e.ID, target.fullReason(now), bounded(wait)}}
	}
	l.enqueue(r)
	return []Command{Queued{e.ID}}
}

func classOf(class codec.EntryClass) int {
	if class == codec.EntryClassTraining {
		return classTraining
	}
	return classLive
}

// expectedWait estimates how long a request would wait for a token, a place of its entry and a place of its pool.
func (l *Limiter) expectedWait(now time.Time, r *request) time.Duration {
	ahead := r.entry.ahead(r)
	poolAhead := 0
	for class := classLive; class <= r.class; class++ {
		poolAhead += r.pool.waiting[class]
	}
	capacity := r.pool.limits[r.class]
	return max(
		r.entry.tokenWait(now, ahead),
		placeWait(r.entry.inFlight+ahead, r.entry.inFlightLimit, r.entry.expected),
		placeWait(r.pool.taken(r.class)+poolAhead, capacity, r.entry.expected),
	)
}

// placeWait is the time until one of places is free for a request that has taken ones before it.
func placeWait(taken, places int, duration time.Duration) time.Duration {
	if places <= 0 || taken < places {
		return 0
	}
	return max(time.Duration(taken-places+1)*duration/time.Duration(places), time.Nanosecond)
}

func bounded(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (l *Limiter) admit(now time.Time, r *request) {
	r.entry.take(now)
	r.pool.inFlight[r.class]++
	r.running = true
	r.admitted = now
	l.requests[r.id] = r
}

func (l *Limiter) enqueue(r *request) {
	r.entry.insert(r)
	r.pool.waiting[r.class]++
	l.requests[r.id] = r
}

func (l *Limiter) dequeue(r *request) {
	r.entry.remove(r)
	r.pool.waiting[r.class]--
	delete(l.requests, r.id)
}

func (l *Limiter) leave(id RequestID) {
	if r, ok := l.requests[id]; ok && !r.running {
		l.dequeue(r)
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
	r.entry.learn(now.Sub(r.admitted))
	asserter.Check(asserter.InFlightNeverNegative, r.entry.inFlight >= 0 && r.pool.inFlight[r.class] >= 0,
		"entry %s: %d in flight, its pool: %d", r.entry.name, r.entry.inFlight, r.pool.inFlight[r.class])
}

// expire refuses the waiting requests that can no longer be finished before their deadline.
func (l *Limiter) expire(now time.Time) []Command {
	var commands []Command
	for _, name := range l.names {
		e := l.entries[name]
		for _, r := range e.expired(now) {
			wait := l.expectedWait(now, r)
			l.dequeue(r)
			commands = append(commands, Refused{r.id, refuser.DeadlineTooShort, bounded(wait)})
		}
	}
	return commands
}

// grant admits waiting requests while there is room, live callers first.
func (l *Limiter) grant(now time.Time) []Command {
	var commands []Command
	for {
		r := l.next(now)
		if r == nil {
			return commands
		}
		l.dequeue(r)
		l.admit(now, r)
		commands = append(commands, Admitted{r.id})
	}
}

// next returns the waiting request that runs next: of the first class that has any, the head of the entry that uses the
// smallest part of its own limit, so that entries share a pool in proportion to their limits.
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

func compareHeads(a, b *request) int {
	return cmp.Or(cmp.Compare(a.entry.usage(), b.entry.usage()), cmp.Compare(a.arrival, b.arrival))
}
