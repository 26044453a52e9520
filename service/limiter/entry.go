package limiter

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

const (
	// minLiveQueue is the capacity of the live queue of an entry without a queue limit while few of its requests run.
	minLiveQueue = 8
	// queuedPerRunning is the number of live requests that such an entry queues for each of its running requests.
	queuedPerRunning = 1
)

// entry is the state of one catalogue entry on this host.
type entry struct {
	name identifier.EntryName
	pool identifier.PoolName
	// limits are those over all hosts; share is the fraction of them that this host may use.
	limits codec.Limits
	share  float64
	// bucket is nil without a rate limit.
	bucket   *rate.Limiter
	inFlight int
	// inFlightLimit and queueLimit are this host's parts of the limits; zero means that none is set.
	inFlightLimit int
	queueDefault  int
	queueLimit    int
	waiting       [numberOfClasses][]*request
	// clocks hold the virtual times by which customers take turns; passed counts the admissions since one of a lower rank, while
	// requests of lower ranks wait.
	clocks map[clockKey]*clock
	passed [numberOfClasses]int
	// expectedDuration is the moving average of the time that admitted requests take.
	expectedDuration time.Duration
	retries          *retryBudget
}

func newEntry(name identifier.EntryName, config Config) *entry {
	e := &entry{
		name: name, pool: noPool, share: fullShare,
		queueDefault: config.Queue, clocks: make(map[clockKey]*clock),
		retries: newRetryBudget(config),
	}
	return e
}

func (e *entry) setLimits(now time.Time, limits codec.Limits) {
	e.limits = limits
	e.apply(now)
}

func (e *entry) setShare(now time.Time, share float64) {
	if share <= 0 || share > fullShare {
		return
	}
	e.share = share
	e.apply(now)
}

// apply derives this host's limits from the limits over all hosts and its share of them.
func (e *entry) apply(now time.Time) {
	e.inFlightLimit = e.part(e.limits.InFlight)
	e.queueLimit = e.part(e.limits.Queue)
	e.applyRate(now)
}

// part returns this host's part of a limit; it is at least one for a limit that is set, and zero for one that is not.
func (e *entry) part(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(limit)*e.share)))
}

func (e *entry) applyRate(now time.Time) {
	if e.limits.RequestsPerSecond <= 0 {
		e.bucket = nil
		return
	}
	perSecond := rate.Limit(e.limits.RequestsPerSecond * e.share)
	burst := e.part(e.limits.Burst)
	if burst == 0 {
		burst = max(1, int(math.Ceil(float64(perSecond))))
	}
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(perSecond, burst)
		return
	}
	e.bucket.SetLimitAt(now, perSecond)
	e.bucket.SetBurstAt(now, burst)
}

func (e *entry) hasToken(now time.Time) bool {
	return e.bucket == nil || e.bucket.TokensAt(now) >= tokensPerRequest
}

func (e *entry) hasSlot() bool {
	return e.inFlightLimit == 0 || e.inFlight < e.inFlightLimit
}

func (e *entry) canRun(now time.Time) bool { return e.hasSlot() && e.hasToken(now) }

// admit takes a token and a slot.
func (e *entry) admit(now time.Time) {
	if e.bucket != nil {
		e.bucket.AllowN(now, 1)
	}
	e.inFlight++
}

// tokenWait returns the time until there is a token for a request with that many others ahead of it.
func (e *entry) tokenWait(now time.Time, ahead int) time.Duration {
	if e.bucket == nil {
		return 0
	}
	missing := float64(ahead) + tokensPerRequest - e.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(e.bucket.Limit()) * float64(time.Second))
}

// fullReason returns the refusal's reason when the queue is full: the limit for which the queued requests wait.
func (e *entry) fullReason(now time.Time) refuser.Reason {
	if !e.hasToken(now) {
		return refuser.RateLimited
	}
	return refuser.QueueFull
}

// usage returns the fraction of the in-flight limit that is used.
func (e *entry) usage() float64 {
	return float64(e.inFlight) / math.Max(1, float64(e.inFlightLimit))
}

// updateExpectedDuration adds the duration of a finished request to the moving average.
func (e *entry) updateExpectedDuration(taken time.Duration) {
	if e.expectedDuration == 0 {
		e.expectedDuration = taken
		return
	}
	e.expectedDuration += time.Duration(smoothingFactor * float64(taken-e.expectedDuration))
}

// queued returns the number of waiting requests that count against the queue capacity of a class. Training requests do not
// count against that of live ones, so they cannot fill the queue for live callers.
func (e *entry) queued(class int) int {
	if class == classLive {
		return len(e.waiting[classLive])
	}
	return len(e.waiting[classLive]) + len(e.waiting[classTraining])
}

// queueCapacity returns the maximum length of the queue for a class. An entry without a queue limit queues as many live
// requests as run, so that one waits about as long as a request takes. Beyond that, a refusal that says when to retry is
// better for the caller than a longer wait.
func (e *entry) queueCapacity(class int) int {
	switch {
	case e.queueLimit > 0:
		return e.queueLimit
	case class == classTraining:
		return e.queueDefault
	default:
		return min(max(minLiveQueue, queuedPerRunning*e.inFlight), e.queueDefault)
	}
}

// ahead returns the number of waiting requests that run before r.
func (e *entry) ahead(r *request) int {
	count := 0
	for class := classLive; class < r.class; class++ {
		count += len(e.waiting[class])
	}
	for _, other := range e.waiting[r.class] {
		if before(other, r) {
			count++
		}
	}
	return count
}

func (e *entry) insert(r *request) {
	queue := e.waiting[r.class]
	at := len(queue)
	for at > 0 && before(r, queue[at-1]) {
		at--
	}
	e.waiting[r.class] = slices.Insert(queue, at, r)
	e.clock(r).queue(r, 1)
}

func (e *entry) remove(r *request) {
	e.clock(r).queue(r, -1)
	e.waiting[r.class] = slices.DeleteFunc(e.waiting[r.class], func(other *request) bool { return other == r })
}

// expired returns the waiting requests that would finish after their deadline if they started now.
func (e *entry) expired(now time.Time) []*request {
	var found []*request
	for _, queue := range e.waiting {
		for _, r := range queue {
			if !r.deadline.IsZero() && now.Add(e.expectedDuration).After(r.deadline) {
				found = append(found, r)
			}
		}
	}
	return found
}
