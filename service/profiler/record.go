package profiler

import (
	"math"
	"time"

	"celerygap.example/lib/identifier"
)

const (
	// longRunTime is the time over which the long-run speed is averaged. A machine that is four times slower for eight seconds
	// changes it by about a tenth.
	longRunTime = time.Minute
	// presentTime is the time over which the present speed is averaged: a few events of each run.
	presentTime = 250 * time.Millisecond
	// presentMaxAge is how long an observation or a statement tells the present speed, which changes within 600 ms.
	presentMaxAge = 600 * time.Millisecond
	// priorTime is how much observed work the typical speed of the pool counts for in the estimate of one upstream.
	priorTime = 2 * time.Second
	// roughPriorTime is the same for work whose amount is an estimate: ten calls of a usual plain service.
	roughPriorTime = 250 * time.Millisecond
	// maxWorkRatio caps a single observation at this multiple of the expected time: a change of weights is not a speed.
	maxWorkRatio = 6
	// usualMaxAge is how long an estimate of the long-run speed is used, because it takes longer than the rest of a snapshot.
	usualMaxAge = 50 * time.Millisecond
	// slowRatio is the ratio of the present to the long-run time per work above which an upstream counts as slow.
	slowRatio = 1.6
	// othersMeanTime is the time over which the mean load of the pool is averaged.
	othersMeanTime = 5 * time.Second
	// minPersistence is how long any present speed is expected to hold: half of the interval at which speeds change.
	minPersistence = 300 * time.Millisecond
	// maxPersistence bounds it for an upstream that has been slow for long; its long-run speed follows by then.
	maxPersistence = 8 * time.Second
	// speedSpread is the relative deviation of one upstream's speed from that of its pool, for upstreams without observations.
	speedSpread = 0.4
	// deviationWeight is the weight of the newest deviation of a statement from what is observed.
	deviationWeight = 0.1
	// minDeviations is the number of compared statements from which on they may be found to be false.
	minDeviations = 10
	// minFalseQueues is the number of attempts in a row that began within queueTime although as many others waited as there are
	// slots, from which on the stated load is not believed.
	minFalseQueues = 3
	queueTime      = 200 * time.Millisecond
	// maxStarts bounds the remembered start times of own attempts; more than that count as older than a statement.
	maxStarts = 32
	defSlots  = 8
)

// rate is a mean time per work that forgets exponentially.
type rate struct {
	amount, seconds float64
	at              time.Time
}

func (r *rate) add(now time.Time, amount float64, took, memory time.Duration) {
	if !r.at.IsZero() {
		keep := math.Exp(-now.Sub(r.at).Seconds() / memory.Seconds())
		r.amount *= keep
		r.seconds *= keep
	}
	r.amount += amount
	r.seconds += took.Seconds()
	r.at = now
}

// perWork returns the seconds per unit of work, or zero without work.
func (r *rate) perWork() float64 {
	if r.amount <= 0 {
		return 0
	}
	return r.seconds / r.amount
}

// average is a mean that forgets exponentially.
type average struct {
	mean, weight float64
	at           time.Time
}

func (a *average) add(now time.Time, value float64, memory time.Duration) {
	if !a.at.IsZero() {
		a.weight *= math.Exp(-now.Sub(a.at).Seconds() / memory.Seconds())
	}
	a.weight++
	a.mean += (value - a.mean) / a.weight
	a.at = now
}

// record is the state of one upstream.
type record struct {
	pool                     identifier.PoolName
	listedSlots, statedSlots int
	running, waiting, others int
	statedAt                 time.Time
	own                      int
	recent                   int

	longRun, present rate
	// usual is the estimate of the long-run speed, which is renewed when it is used after usualMaxAge.
	usual     usualSpeed
	slowSince time.Time
	// slowness is the last statement of the speed, zero if the last statement had none, and statements the mean of all.
	slowness   float64
	statements average
	// deviation is the mean deviation of statements from observations, as a logarithm.
	deviation  float64
	deviations int
	// falseQueues counts the attempts in a row that did not wait in the stated queue.
	falseQueues int
	// starts holds the start times of the newest own attempts in progress, oldest first. It is last, so that the fields of a
	// snapshot are close together in memory.
	starts [maxStarts]time.Time
}

func (r *record) slots() int {
	switch {
	case r.statedSlots > 0:
		return r.statedSlots
	case r.listedSlots > 0:
		return r.listedSlots
	default:
		return defSlots
	}
}

func (r *record) start(now time.Time) {
	r.own++
	if r.recent == maxStarts {
		copy(r.starts[:], r.starts[1:])
		r.recent--
	}
	r.starts[r.recent] = now
	r.recent++
}

func (r *record) end(startedAt time.Time) {
	r.own = max(0, r.own-1)
	for i := range r.recent {
		if r.starts[i].Equal(startedAt) {
			copy(r.starts[i:], r.starts[i+1:r.recent])
			r.recent--
			return
		}
	}
	if r.recent > r.own {
		// The start is not known, so the oldest one goes.
		copy(r.starts[:], r.starts[1:r.recent])
		r.recent--
	}
}

// ownAt returns the number of the attempts in progress that were started by then.
func (r *record) ownAt(at time.Time) int {
	later := 0
	for later < r.recent && r.starts[r.recent-1-later].After(at) {
		later++
	}
	return max(0, r.own-later)
}

// began compares the time after which an attempt began with the queue that was stated after its start.
func (r *record) began(now, startedAt time.Time) {
	switch {
	case r.statedAt.Before(startedAt) || r.waiting < r.slots():
	case now.Sub(startedAt) < queueTime:
		r.falseQueues++
	default:
		r.falseQueues = 0
	}
}

func (r *record) worked(now time.Time, e Worked) {
	if e.Amount <= 0 || e.Took < 0 {
		return
	}
	took := e.Took
	if usual := r.longRun.perWork(); usual > 0 {
		took = min(took, time.Duration(maxWorkRatio*usual*e.Amount*float64(time.Second)))
	}
	r.longRun.add(now, e.Amount, took, longRunTime)
	if e.Rough {
		return
	}
	r.present.add(now, e.Amount, took, presentTime)
	switch ratio := r.observedRatio(); {
	case ratio < slowRatio:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = now
	}
}

// observedRatio returns the observed present time per work in relation to the long-run one.
func (r *record) observedRatio() float64 {
	usual := r.longRun.perWork()
	if usual <= 0 {
		return 1
	}
	return r.present.perWork() / usual
}

func (r *record) stateSlowness(now time.Time, slowness float64) {
	r.statements.add(now, slowness, longRunTime)
	r.slowness = slowness
	if now.Sub(r.present.at) > presentMaxAge || r.longRun.seconds < priorTime.Seconds() {
		return
	}
	deviation := math.Abs(math.Log(r.statedRatio() / r.observedRatio()))
	r.deviation += deviationWeight * (deviation - r.deviation)
	r.deviations++
}

// statedRatio returns the stated slowness in relation to the mean of the upstream's statements. Whether the figure includes a
// lasting difference between machines is not specified; the ratio does not depend on it.
func (r *record) statedRatio() float64 { return r.slowness / r.statements.mean }

func (r *record) contradicted() bool {
	return r.deviations >= minDeviations && r.deviation > falseStatements || r.falseQueues >= minFalseQueues
}

// usualSpeed is the estimate of the long-run speed at a time: the seconds per work, those that are typical of the pool, and the
// relative error.
type usualSpeed struct {
	perWork, typical, err float64
	at                    time.Time
}

// setUsual estimates the long-run speed. The estimate begins with that of the pool, which counts as work of priorTime.
func (r *record) setUsual(now time.Time, pool *poolRecord, contradicted bool) {
	typical := pool.work.perWork()
	r.usual = usualSpeed{typical: typical, at: now}
	if typical <= 0 {
		return
	}
	prior := typical
	if r.statements.weight > 0 && !contradicted && pool.statements.mean > 0 {
		// The mean of few statements is mostly the noise of the moment, so its root counts.
		prior *= math.Sqrt(r.statements.mean / pool.statements.mean)
	}
	priorSeconds := priorTime.Seconds()
	if pool.rough {
		priorSeconds = roughPriorTime.Seconds()
	}
	r.usual.perWork = (r.longRun.seconds + priorSeconds) / (r.longRun.amount + priorSeconds/prior)
	r.usual.err = speedSpread * math.Sqrt(priorSeconds/(r.longRun.seconds+priorSeconds))
}

// speeds sets the speeds of a snapshot. Observed work of the last moments tells the present speed, else a statement that is not
// older and not contradicted; without both the long-run speed holds.
func (r *record) speeds(now time.Time, pool *poolRecord, v *Snapshot) {
	if r.usual.at.IsZero() || now.Sub(r.usual.at) > usualMaxAge {
		r.setUsual(now, pool, v.FalseStatements)
	}
	if r.usual.typical <= 0 {
		return
	}
	usual := r.usual.perWork
	v.LongRunError = r.usual.err
	ratio := 1.0
	v.PresentError = speedSpread
	v.Persists = minPersistence
	presentAge := presentMaxAge + 1
	if r.present.amount > 0 {
		presentAge = now.Sub(r.present.at)
	}
	statementAge := presentMaxAge + 1
	if r.slowness > 0 && !v.FalseStatements {
		// A statement of the speed comes with one of the load.
		statementAge = v.StatedAge
	}
	slow := !r.slowSince.IsZero()
	switch {
	case presentAge <= presentMaxAge:
		ratio = r.observedRatio()
		v.PresentError = speedSpread * float64(presentAge) / float64(presentMaxAge)
	case slow && presentAge <= now.Sub(r.slowSince)/2+presentMaxAge:
		// An upstream that was slow for long is expected to remain so although nothing runs there now.
		ratio = r.observedRatio()
	case statementAge <= presentMaxAge:
		ratio = r.statedRatio()
		v.PresentError = speedSpread * float64(statementAge) / float64(presentMaxAge)
	}
	if slow && ratio >= slowRatio {
		v.SlowFor = now.Sub(r.slowSince)
		// A slow phase of unknown length is expected to last once more as long as it has lasted.
		v.Persists = min(max(v.SlowFor, minPersistence), maxPersistence)
	}
	v.Typical = time.Duration(r.usual.typical * float64(time.Second))
	v.LongRun = time.Duration(usual * float64(time.Second))
	v.Present = time.Duration(usual * ratio * float64(time.Second))
}
